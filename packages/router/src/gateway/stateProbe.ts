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

/** A wait is inconclusive after this many late timers and this many times its delay. */
const MAXIMUM_INCONCLUSIVE_WAITS = 5
/** A timer that fires more than this late was delayed by this process's own event loop. */
const LATE_MILLISECONDS: Milliseconds = 25
/** Node.js timers count whole milliseconds and may fire this much early. */
const EARLY_MILLISECONDS: Milliseconds = 1
/** After a late timer, a wait goes on for this long, so that an answer can be read. */
const READ_MILLISECONDS: Milliseconds = 25

/**
 * The end of a wait for an answer. The other side has all of the wait to answer, but only an event loop that is
 * free at its end has read the answer: a late timer only shows that the loop was blocked.
 */
class WaitEnd {
  private readonly startedAt: Milliseconds
  private endsAt: Milliseconds
  private lateTimers = 0

  constructor(
    private readonly clock: Clock,
    private readonly delay: Milliseconds,
  ) {
    this.startedAt = clock.monotonic()
    this.endsAt = this.startedAt + delay
  }

  /** Time to the end; 0 if the wait is over. */
  get remaining(): Milliseconds {
    const remaining = this.endsAt - this.clock.monotonic()
    return remaining <= EARLY_MILLISECONDS ? 0 : remaining
  }

  /** Whether the event loop was blocked too often to tell. */
  get isInconclusive(): boolean {
    const elapsed = this.clock.monotonic() - this.startedAt
    return (
      this.lateTimers >= MAXIMUM_INCONCLUSIVE_WAITS &&
      elapsed >= MAXIMUM_INCONCLUSIVE_WAITS * this.delay
    )
  }

  /** A timer fired this long after it was due. */
  noteTimer(late: Milliseconds): void {
    if (late <= LATE_MILLISECONDS) return
    this.lateTimers += 1
    // The whole machine may have been suspended, and what was sent to it meanwhile is yet to arrive.
    const rest = late > this.delay ? this.delay : Math.min(READ_MILLISECONDS, this.delay)
    this.endsAt = Math.max(this.endsAt, this.clock.monotonic() + rest)
  }
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
  const wait = new WaitEnd(clock, delay)
  while (!wait.isInconclusive) {
    const { remaining } = wait
    if (remaining === 0) return false
    const waited = await waitFor(settling, { clock, delay: remaining })
    // Input that arrived while the event loop was blocked is read first.
    await probe.readAll()
    if (hasSettled) return true
    wait.noteTimer(waited - remaining)
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
