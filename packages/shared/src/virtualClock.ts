/** A clock for tests and simulations: hours pass in milliseconds, and timers fire in a fixed order. */

import TinyQueue from 'tinyqueue'
import type { Clock, Timer } from './clock.js'
import type { Milliseconds } from './quantities.js'

interface ScheduledTimer {
  readonly due: Milliseconds
  readonly order: number
  readonly run: () => void
  isCancelled: boolean
}

/** A clock that moves only when told to; tests and benches drive the real code on it. */
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

  /** The machine was suspended for so long, just now: no timer counts that time. */
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

  /** Moves time on, running what falls due in order and letting promises settle between. */
  async advance(duration: Milliseconds): Promise<void> {
    const end = this.now + duration
    await settlePromises()
    for (let next = this.timers.peek(); next !== undefined; next = this.timers.peek()) {
      if (next.due > end) break
      this.timers.pop()
      if (next.isCancelled) continue
      this.now = next.due
      next.run()
      await settlePromises()
    }
    this.now = end
    await settlePromises()
  }
}

function compareTimers(left: ScheduledTimer, right: ScheduledTimer): number {
  return left.due - right.due || left.order - right.order
}

function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
