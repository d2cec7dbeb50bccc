/**
 * Reads the body of a caller's request within limits of size and time, so that a slow or endless
 * body does not hold resources for long.
 */

import type { Readable } from 'node:stream'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Bytes, Clock, Milliseconds } from '@rackwalk/shared'

/**
 * Resolves with the whole body. Rejects if the body exceeds `limit`, does not arrive completely
 * within `timeout`, or is interrupted.
 */
export function readBody(
  body: Readable,
  limit: Bytes,
  timeout: Milliseconds,
  clock: Clock,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const timer = clock.after(timeout, () => fail(ResultCode.RequestTimeout))
    const fail = (code: ResultCode.RequestTimeout | ResultCode.BodyTooLarge) => {
      body.pause()
      finish()
      reject(new NotRunError(code))
    }
    const finish = () => {
      timer.cancel()
      body.removeListener('data', onData)
    }
    const onData = (chunk: Buffer) => {
      size += chunk.length
      if (size > limit) fail(ResultCode.BodyTooLarge)
      else chunks.push(chunk)
    }
    body.on('data', onData)
    body.once('end', () => {
      finish()
      resolve(Buffer.concat(chunks))
    })
    body.once('error', () => {
      finish()
      reject(new NotRunError(ResultCode.MalformedRequest, 'the body broke off'))
    })
  })
}
