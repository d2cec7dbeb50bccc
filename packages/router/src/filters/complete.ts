/**
 * Ends the answer to the caller. The end is withheld until the bill would survive a crash of this
 * instance, so that no caller gets a complete answer that is never billed.
 */

import { DispatchedError, ResultCode } from '@rackwalk/shared'
import { errorEvent } from '../errorBody.js'
import { completeAnswerHeaders } from './answerHeaders.js'
import type { Filter, SettledRequest } from './stages.js'

/**
 * Releases the end of a complete answer whose bill is durable, and ends any other answer with an
 * error.
 */
export class CompleteFilter implements Filter<SettledRequest, SettledRequest> {
  async apply(request: SettledRequest): Promise<SettledRequest> {
    const { caller } = request.incoming
    if (request.code === ResultCode.CallerLeft) return request
    const isWhole = request.code === ResultCode.Ok || request.code === ResultCode.EndpointError
    if (isWhole && request.isBillDurable) {
      this.begin(request)
      for (const chunk of request.withheldChunks) caller.write(chunk)
      await caller.end()
      return request
    }
    const code = isWhole ? ResultCode.BillNotDurable : request.code
    await this.cutOff(request, new DispatchedError(code, request.detail))
    return { ...request, code }
  }

  /** Sends the head of an answer that was withheld completely. */
  private begin(request: SettledRequest): void {
    const { caller } = request.incoming
    const { status, isDelimited } = request.answer
    if (caller.hasSentHead) return
    caller.writeHead(status, completeAnswerHeaders(request, request.withheldChunks), isDelimited)
  }

  /**
   * Reports an error to the caller. Throws the error if the head was not sent, since an error
   * answer can still be sent then. Otherwise an event stream ends with an error event, and for any
   * other answer the connection is closed.
   */
  private async cutOff(request: SettledRequest, error: DispatchedError): Promise<void> {
    const { caller } = request.incoming
    if (!caller.hasSentHead) throw error
    const type = request.answer.headers['content-type'] ?? ''
    if (type.startsWith('text/event-stream')) await caller.end(errorEvent(error, request.requestId))
    else caller.destroy()
  }
}
