/**
 * Reads the body of a caller's request within limits of size, time and memory, so that a slow or endless
 * body, or a crowd of them, does not hold resources for long.
 */

import type { Readable } from 'node:stream'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Bytes, Clock, Milliseconds } from '@rackwalk/shared'
import type { BodyLease } from './bodyMemory.js'

/** Limits on one body. */
export interface BodyLimits {
  /** Most bytes that the body may have. */
  readonly bytes: Bytes
  /** Time within which the body must have arrived completely. */
  readonly timeout: Milliseconds
  /** Holds the body. The caller of `readBody` releases it. */
  readonly memory: BodyLease
}

type BodyRefusal = ResultCode.RequestTimeout | ResultCode.BodyTooLarge | ResultCode.BodyMemoryFull

/**
 * Resolves with the whole body. Rejects if the body exceeds a limit, is given up because the memory for bodies is in
 * use, or is interrupted.
 */
export function readBody(body: Readable, limits: BodyLimits, clock: Clock): Promise<Buffer> {
  const { bytes: limit, timeout, memory } = limits
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeout, () => fail(ResultCode.RequestTimeout))
    const fail = (code: BodyRefusal) => {
      body.pause()
      finish()
      memory.release()
      reject(new NotRunError(code))
    }
    const finish = () => {
      timer.cancel()
      memory.onGivenUp = () => {}
      body.removeListener('data', onData)
    }
    const onData = (chunk: Buffer) => {
      if (memory.length + chunk.length > limit) fail(ResultCode.BodyTooLarge)
      else memory.append(chunk)
    }
    memory.onGivenUp = () => fail(ResultCode.BodyMemoryFull)
    body.on('data', onData)
    body.once('end', () => {
      finish()
      resolve(memory.finish())
    })
    body.once('error', () => {
      finish()
      reject(new NotRunError(ResultCode.MalformedRequest, 'the body broke off'))
    })
  })
}
