/**
 * Requests the state of an endpoint (a state probe). The probe has no time limit; `settlesWithin` applies
 * the caller's limits and recognizes waits that a busy process makes inconclusive. Sends no request that an
 * engine would run.
 */

import { request } from 'node:http'
import { isServerError } from '@rackwalk/decisions'
import type { StateProbeResult } from '@rackwalk/decisions'
import { deferred } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** A state request that is pending until it is answered or cancelled. */
export interface StateProbe {
  /** The result so far. */
  readonly result: StateProbeResult
  /**
   * Resolves once the request is written on an established connection, or has failed. The time limit for the
   * answer starts here.
   */
  readonly written: Promise<void>
  /** Resolves once the request is answered or has failed. */
  readonly answered: Promise<void>
  /**
   * Resolves after pending input was read: on a busy processor an answer may have arrived and not been read
   * yet.
   */
  readAll(): Promise<void>
  cancel(): void
}

/** After this many timers that fired at the wrong time, a wait is inconclusive. */
const MAXIMUM_INCONCLUSIVE_WAITS = 5
/** A timer that fires more than this late was delayed by this process's own event loop. */
const LATE_MILLISECONDS: Milliseconds = 25
/** Node.js timers count whole milliseconds and may fire this much early. */
const EARLY_MILLISECONDS: Milliseconds = 1

/**
 * Whether a timer of `delay` that fired after `waited` proves that the other side did not answer. A late
 * timer only shows that this process's event loop was blocked, and a timer armed at the end of a long turn
 * of the loop fires early.
 */
function isTimely(waited: Milliseconds, delay: Milliseconds): boolean {
  return waited >= delay - EARLY_MILLISECONDS && waited <= delay + LATE_MILLISECONDS
}

/** Requests the state at IP:PORT and a path. */
export function startStateProbe(address: string, path: string): StateProbe {
  const [host, port] = address.split(':')
  const call = request({ host, port: Number(port), path, agent: false })
  let result: StateProbeResult = 'no-connection'
  const written = deferred<void>()
  const answered = new Promise<void>(resolve => {
    const finish = (found: StateProbeResult) => {
      result = found
      written.resolve()
      resolve()
    }
    const noteConnected = () => {
      result = 'held'
      written.resolve()
    }
    call.on('socket', socket => socket.once('connect', noteConnected))
    call.on('response', response => {
      response.resume()
      finish(isServerError(response.statusCode ?? 0) ? 'fails' : 'lives')
    })
    call.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') finish('nobody-listens')
      else finish(result === 'held' ? 'turned-away' : result)
    })
  })
  call.end()
  return {
    get result() {
      return result
    },
    written: written.promise,
    answered,
    readAll: () => new Promise(resolve => setImmediate(resolve)),
    cancel: () => call.destroy(),
  }
}

/** Whether an event of a probe occurs within `delay`; undefined if this process was too busy to know. */
export async function settlesWithin(
  probe: StateProbe,
  event: Promise<void>,
  { clock, delay }: { clock: Clock; delay: Milliseconds },
): Promise<boolean | undefined> {
  let hasSettled = false
  const settling = event.then(() => {
    hasSettled = true
  })
  for (let wait = 0; wait < MAXIMUM_INCONCLUSIVE_WAITS; wait += 1) {
    const waited = await waitFor(settling, { clock, delay })
    // Input that arrived while the event loop was blocked is read first.
    await probe.readAll()
    if (hasSettled) return true
    if (isTimely(waited, delay)) return false
  }
  return undefined
}

/** Resolves with the time that the wait took. */
async function waitFor(
  settling: Promise<void>,
  { clock, delay }: { clock: Clock; delay: Milliseconds },
): Promise<Milliseconds> {
  const armedAt = clock.monotonic()
  const over = deferred<void>()
  const timer = clock.after(delay, () => over.resolve())
  await Promise.race([settling, over.promise])
  timer.cancel()
  return clock.monotonic() - armedAt
}
