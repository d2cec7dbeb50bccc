/** Time limits for answers of other processes. */

import type { Clock, Timer } from './clock.js'
import type { Milliseconds } from './quantities.js'

/** A timer that fires more than this late was delayed by this process's own event loop. */
const LATE_MILLISECONDS: Milliseconds = 25
/** Extension of a wait whose timer was late: one exchange with a process of the same network. */
const EXTENSION_MILLISECONDS: Milliseconds = 25

/**
 * Calls `onExpired` if no answer was read within the limit; the caller cancels the timer at the answer. Node.js fires
 * due timers before it reads its sockets, so after a block of the event loop a plain timer would give up an answer that
 * has already arrived. If the timer is late, the sockets are read first and the wait is extended once by
 * `EXTENSION_MILLISECONDS`, for a connection that was established meanwhile and on which the call is yet to be sent.
 */
export function limitAnswer(clock: Clock, limit: Milliseconds, onExpired: () => void): Timer {
  const timer = new AnswerTimer(clock, onExpired)
  timer.wait(limit)
  return timer
}

class AnswerTimer implements Timer {
  private timer: Timer | undefined
  private isCancelled = false
  private isExtended = false

  constructor(
    private readonly clock: Clock,
    private readonly onExpired: () => void,
  ) {}

  wait(delay: Milliseconds): void {
    const dueAt = this.clock.monotonic() + delay
    this.timer = this.clock.after(delay, () => {
      const isLate = this.clock.monotonic() - dueAt > LATE_MILLISECONDS
      if (isLate) setImmediate(() => this.afterRead())
      else this.onExpired()
    })
  }

  cancel(): void {
    this.isCancelled = true
    this.timer?.cancel()
  }

  /** The sockets were read after a late timer. */
  private afterRead(): void {
    if (this.isCancelled) return
    if (this.isExtended) return this.onExpired()
    this.isExtended = true
    this.wait(EXTENSION_MILLISECONDS)
  }
}
