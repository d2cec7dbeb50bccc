/**
 * Rejects answers of the platform's services whose framing does not mark their end. If only the end of
 * the connection marks the end of an answer, a truncated object looks like a complete one, and an answer
 * of the table service without its document like an empty list or a committed transaction.
 */

import { IncomingMessage } from 'node:http'
import { answerFraming } from '@rackwalk/decisions'
import { RackwalkError, ResultCode } from '@rackwalk/shared'

/** The client library's raw answer, before its body is read. */
interface RawAnswer {
  readonly body?: unknown
}

/** Where `refuseUnframedAnswers` belongs among a client's middleware. */
export const FRAMING_CHECK = {
  step: 'deserialize',
  priority: 'low',
  name: 'refuseUnframedAnswers',
} as const

/** Middleware of a client that rejects answers that have neither a length nor chunked encoding. */
export function refuseUnframedAnswers<Input, Output extends { readonly response: unknown }>(
  next: (input: Input) => Promise<Output>,
): (input: Input) => Promise<Output> {
  return async input => {
    const output = await next(input)
    checkFraming(output.response as RawAnswer)
    return output
  }
}

function checkFraming({ body }: RawAnswer): void {
  if (!(body instanceof IncomingMessage)) return
  const framing = answerFraming({
    method: 'GET',
    status: body.statusCode ?? 0,
    transferEncoding: body.headers['transfer-encoding'],
    contentLength: body.headers['content-length'],
  })
  if (framing !== 'connection') return
  body.destroy()
  throw new RackwalkError(ResultCode.PlatformAmbiguous, 'an answer without a length')
}
