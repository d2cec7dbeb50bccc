/**
 * Rejects answers of the object store whose framing does not mark their end. If only the end of the
 * connection marks the end of an answer, a truncated object looks like a complete one.
 */

import { IncomingMessage } from 'node:http'
import type { S3Client } from '@aws-sdk/client-s3'
import { answerFraming } from '@rackwalk/decisions'
import { RackwalkError, ResultCode } from '@rackwalk/shared'

/** The client library's raw answer, before its body is read. */
interface RawAnswer {
  readonly body?: unknown
}

/** Makes the client reject answers that have neither a length nor chunked encoding. */
export function refuseUnframedAnswers(client: S3Client): void {
  client.middlewareStack.add(
    next => async input => {
      const output = await next(input)
      checkFraming(output.response as RawAnswer)
      return output
    },
    { step: 'deserialize', priority: 'low', name: 'refuseUnframedAnswers' },
  )
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
