/**
 * Lets another engine continue a streamed chat whose answer was interrupted. Creates the record of
 * what the caller has received, decides whether the answer is continued, closed or left incomplete,
 * and has dispatch send the request for the remaining output. The rule is in
 * decisions/retrying/continuation.
 */

import { continuationStep } from '@rackwalk/decisions'
import type { AnswerEnd, ContinuationStep } from '@rackwalk/decisions'
import type { Clock } from '@rackwalk/shared'
import type { AnswerBufferPool } from '../engine/answerBuffer.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import { continuationBody } from '../engine/chatContinuation.js'
import { DeliveredChat } from '../engine/deliveredChat.js'
import type { ReportedUsage } from '../engine/usage.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { DispatchFilter } from './dispatch.js'
import type { ChatEventDelivery } from './chatEventDelivery.js'
import type { DispatchedRequest, ContinuationRequest } from './stages.js'

/** Dependencies of answer continuation. */
export interface ContinuationParts {
  readonly dispatch: Pick<DispatchFilter, 'dispatchContinuation' | 'noteContinuationFailure'>
  readonly catalogue: Catalogue
  readonly space: AnswerBufferPool
  readonly clock: Clock
  /** Called when an engine continues another engine's answer. */
  readonly onContinued: () => void
}

/**
 * Ends of an answer after which another engine may continue the answer, because the engine or the
 * connection to the engine caused the end. An answer without its end marker is incomplete even if
 * its framing is complete.
 */
const CONTINUABLE_ENDS: ReadonlySet<AnswerEnd> = new Set([
  'complete',
  'closed',
  'reset',
  'silence',
  'endpoint-ended',
])

/** Continues interrupted answers. */
export class AnswerContinuation {
  constructor(private readonly parts: ContinuationParts) {}

  /**
   * Creates the record of what the caller receives; undefined if the chat cannot be continued or no
   * other configured engine could continue the answer.
   */
  trackDelivered(request: DispatchedRequest, chat: ChatRequest): DeliveredChat | undefined {
    if (!isContinuable(request, chat) || !this.hasEngine(request, chat)) return undefined
    const { endpointId } = request.answer
    const softwareVersion = this.parts.catalogue.softwareVersionOf(endpointId)
    const deliveredChat = new DeliveredChat(this.parts.space, softwareVersion)
    request.scope.onEnd(() => deliveredChat.release())
    return deliveredChat
  }

  /**
   * Returns the answer of the engine that continues the interrupted answer; undefined if no engine
   * does. If only the closing events are missing, appends them to the delivery and returns
   * undefined.
   */
  async continueAnswer(
    interrupted: DispatchedRequest,
    chat: ChatRequest,
    delivery: ChatEventDelivery,
  ): Promise<DispatchedRequest | undefined> {
    const { deliveredChat } = delivery
    const step = this.stepOf(interrupted, chat, delivery)
    if (deliveredChat?.usage === undefined || step.kind === 'cut') return undefined
    if (step.kind === 'close') {
      delivery.appendClosingEvents(deliveredChat.usage, step.finishReason)
      return undefined
    }
    return this.dispatchRemainder(interrupted, delivery, {
      body: bodyOf(chat, deliveredChat, step.outputTokens),
      softwareVersion: deliveredChat.softwareVersion,
      usage: deliveredChat.usage,
    })
  }

  /**
   * Records that the answer stays interrupted. If the continuing engine failed before its first
   * output, the crash guard checks whether the request may have crashed the engine.
   */
  noteInterrupted(interrupted: DispatchedRequest, delivery: ChatEventDelivery): void {
    const { continuation } = delivery
    const isBeforeOutput = continuation !== undefined && !continuation.hasBegun
    if (isBeforeOutput && isCausedByEngine(interrupted))
      this.parts.dispatch.noteContinuationFailure(interrupted)
  }

  private async dispatchRemainder(
    interrupted: DispatchedRequest,
    delivery: ChatEventDelivery,
    remainder: ContinuationRequest & { readonly usage: ReportedUsage },
  ): Promise<DispatchedRequest | undefined> {
    const routing = interrupted.record.routing.at(-1)
    const { framing, end = 'aborted' } = interrupted.answer
    const next = await this.parts.dispatch.dispatchContinuation(interrupted, remainder)
    if (routing) routing.answer = { framing, end, fate: next === undefined ? 'cut' : 'continued' }
    if (next === undefined) return undefined
    delivery.startContinuation(remainder.usage)
    this.parts.onContinued()
    return next
  }

  private stepOf(
    interrupted: DispatchedRequest,
    chat: ChatRequest,
    delivery: ChatEventDelivery,
  ): ContinuationStep {
    const { deliveredChat, continuation } = delivery
    const isLate = this.parts.clock.sinceStart() >= interrupted.deadline
    return continuationStep({
      isContinuable: deliveredChat !== undefined && isContinuable(interrupted, chat),
      isFullyKnown: deliveredChat?.isReconstructible === true,
      isFinished: deliveredChat?.isFinished === true,
      generatedTokens: deliveredChat?.usage?.generatedTokens,
      outputTokenLimit: chat.outputTokenLimit,
      continuations: continuation === undefined ? 0 : 1,
      isAbandoned:
        isLate ||
        interrupted.incoming.caller.disconnectSignal.aborted ||
        !isCausedByEngine(interrupted),
    })
  }

  private hasEngine({ answer }: DispatchedRequest, { modelId }: ChatRequest): boolean {
    const { catalogue } = this.parts
    const softwareVersion = catalogue.softwareVersionOf(answer.endpointId)
    return catalogue.endpoints.some(
      ({ endpointId, spec }) =>
        endpointId !== answer.endpointId &&
        spec.kind === 'model' &&
        spec.continuesAnswers === true &&
        catalogue.softwareVersionOf(endpointId) === softwareVersion &&
        spec.models.includes(modelId),
    )
  }
}

function isContinuable({ repeatable }: DispatchedRequest, { isContinuable }: ChatRequest): boolean {
  return repeatable && isContinuable
}

function isCausedByEngine({ answer }: DispatchedRequest): boolean {
  return answer.end !== undefined && CONTINUABLE_ENDS.has(answer.end)
}

/**
 * Returns the body that requests the remaining output. If no text was delivered yet, the chat is
 * sent again with the remaining output limit.
 */
function bodyOf({ body }: ChatRequest, { text }: DeliveredChat, outputTokens: number) {
  return text === ''
    ? { ...body, max_tokens: outputTokens }
    : continuationBody(body, text, outputTokens)
}
