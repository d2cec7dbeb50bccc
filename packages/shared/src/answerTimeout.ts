/** Time limits for answers of other processes. */

import type { Clock, Timer } from './clock.js'
import type { Milliseconds } from './quantities.js'

/** A timer that fires more than this late was delayed by this process's own event loop. */
const LATE_MILLISECONDS: Milliseconds = 25

/**
 * Calls `onExpired` if no answer was read within the limit; the caller cancels the timer at the answer. Node.js fires
 * due timers before it reads its sockets, so after a block of the event loop a plain timer would give up an answer that
 * has already arrived. If the timer is late, the sockets are read first and the wait is extended once by the time in
 * which this process did not run, at most by the limit: a connection may have been established meanwhile on which the
 * call is yet to be sent.
 */
export function limitAnswer(clock: Clock, limit: Milliseconds, onExpired: () => void): Timer {
  const timer = new AnswerTimer(clock, limit, onExpired)
  timer.wait(limit)
  return timer
}

class AnswerTimer implements Timer {
  private timer: Timer | undefined
  private isCancelled = false
  private isExtended = false

  constructor(
    private readonly clock: Clock,
    private readonly limit: Milliseconds,
    private readonly onExpired: () => void,
  ) {}

  wait(delay: Milliseconds): void {
    const dueAt = this.clock.monotonic() + delay
    this.timer = this.clock.after(delay, () => {
      const lateness = this.clock.monotonic() - dueAt
      if (lateness > LATE_MILLISECONDS) setImmediate(() => this.afterRead(lateness))
      else this.onExpired()
    })
  }

  cancel(): void {
    this.isCancelled = true
    this.timer?.cancel()
  }

  /** The sockets were read after a late timer. */
  private afterRead(lateness: Milliseconds): void {
    if (this.isCancelled) return
    if (this.isExtended) return this.onExpired()
    this.isExtended = true
    this.wait(Math.min(lateness, this.limit))
  }
}
