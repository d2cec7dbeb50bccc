/**
 * A clock for tests and simulations: hours of simulated time take milliseconds, and timers fire in
 * a fixed order.
 */

import TinyQueue from 'tinyqueue'
import type { Clock, Timer } from './clock.js'
import type { Milliseconds } from './quantities.js'

/** A timer that has not fired yet. */
interface ScheduledTimer {
  readonly due: Milliseconds
  /** Number of the call of `after`, which orders timers that are due at the same time. */
  readonly order: number
  readonly run: () => void
  isCancelled: boolean
}

/**
 * A clock that advances only on request; tests and benches run the production code on it. All three
 * times begin at 0.
 */
export class VirtualClock implements Clock {
  private now: Milliseconds = 0
  private suspended: Milliseconds = 0
  private order = 0
  private readonly timers = new TinyQueue<ScheduledTimer>([], compareTimers)

  monotonic(): Milliseconds {
    return this.now
  }

  sinceStart(): Milliseconds {
    return this.now + this.suspended
  }

  wallTime(): Milliseconds {
    return this.now + this.suspended
  }

  /** Simulates a suspension of the machine for this long, during which no timer advances. */
  suspend(duration: Milliseconds): void {
    this.suspended += duration
  }

  after(delay: Milliseconds, run: () => void): Timer {
    this.order += 1
    const due = this.now + Math.max(0, delay)
    const timer: ScheduledTimer = { due, order: this.order, run, isCancelled: false }
    this.timers.push(timer)
    return {
      cancel: () => {
        timer.isCancelled = true
      },
    }
  }

  /**
   * Advances time and runs the timers that become due, also those that are set meanwhile, in order
   * of their due times; lets promises settle before and after each of them.
   */
  async advance(duration: Milliseconds): Promise<void> {
    const end = this.now + duration
    await settlePromises()
    for (let timer = this.timers.peek(); timer !== undefined; timer = this.timers.peek()) {
      if (timer.due > end) break
      this.timers.pop()
      if (timer.isCancelled) continue
      this.now = timer.due
      timer.run()
      await settlePromises()
    }
    this.now = end
    await settlePromises()
  }
}

function compareTimers(left: ScheduledTimer, right: ScheduledTimer): number {
  return left.due - right.due || left.order - right.order
}

/** Resolves after all promise callbacks that are ready have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
