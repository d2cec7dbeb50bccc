/** Asks an endpoint for its state, without a bound of time of its own. Sends no request that would run. */

import { request } from 'node:http'
import { isServerError } from '@rackwalk/decisions'
import type { StateProbeResult } from '@rackwalk/decisions'
import { deferred } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** A question that is open until it is answered or withdrawn. */
export interface StateProbe {
  /** What it has come to so far. */
  readonly sign: StateProbeResult
  /** Resolves once it is written on a connection that was seen up, or has failed: its time to be answered begins. */
  readonly written: Promise<void>
  /** Resolves once it is answered or has failed. */
  readonly answered: Promise<void>
  /** On a busy processor an answer may be there and wait to be read: resolves after that. */
  readAll(): Promise<void>
  cancel(): void
}

/** Whoever waits takes so many timers that prove nothing, and then knows nothing. */
const UNPROVEN_WAITS = 5
/** A timer that fires later than this was held up by its own loop. */
const LATE_MILLISECONDS: Milliseconds = 25
/** The timers of Node.js count whole milliseconds, and fire so much early. */
const EARLY_MILLISECONDS: Milliseconds = 1

/**
 * Whether a timer that fired after so long says something of who did not answer. One that was late says only that its loop
 * was held, and one that was armed at the end of a long turn of it fires early.
 */
function isTimely(waited: Milliseconds, delay: Milliseconds): boolean {
  return waited >= delay - EARLY_MILLISECONDS && waited <= delay + LATE_MILLISECONDS
}

/** Asks at IP:PORT for the state under a path. */
export function startStateProbe(address: string, path: string): StateProbe {
  const [host, port] = address.split(':')
  const call = request({ host, port: Number(port), path, agent: false })
  let sign: StateProbeResult = 'no-connection'
  const written = deferred<void>()
  const answered = new Promise<void>(resolve => {
    const finish = (found: StateProbeResult) => {
      sign = found
      written.resolve()
      resolve()
    }
    const noteConnected = () => {
      sign = 'held'
      written.resolve()
    }
    call.on('socket', socket => socket.once('connect', noteConnected))
    call.on('response', response => {
      response.resume()
      finish(isServerError(response.statusCode ?? 0) ? 'fails' : 'lives')
    })
    call.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') finish('nobody-listens')
      else finish(sign === 'held' ? 'turned-away' : sign)
    })
  })
  call.end()
  return {
    get sign() {
      return sign
    },
    written: written.promise,
    answered,
    readAll: () => new Promise(resolve => setImmediate(resolve)),
    cancel: () => call.destroy(),
  }
}

/** Whether something comes of a question within a time; undefined where this process was too busy to know. */
export async function settlesWithin(
  question: StateProbe,
  event: Promise<void>,
  { clock, delay }: { clock: Clock; delay: Milliseconds },
): Promise<boolean | undefined> {
  let hasCome = false
  const coming = event.then(() => {
    hasCome = true
  })
  for (let wait = 0; wait < UNPROVEN_WAITS; wait += 1) {
    const waited = await waitFor(coming, { clock, delay })
    // What came while the loop was held is read first.
    await question.readAll()
    if (hasCome) return true
    if (isTimely(waited, delay)) return false
  }
  return undefined
}

/** Resolves with the time that it took. */
async function waitFor(
  coming: Promise<void>,
  { clock, delay }: { clock: Clock; delay: Milliseconds },
): Promise<Milliseconds> {
  const armedAt = clock.monotonic()
  const over = deferred<void>()
  const timer = clock.after(delay, () => over.resolve())
  await Promise.race([coming, over.promise])
  timer.cancel()
  return clock.monotonic() - armedAt
}
