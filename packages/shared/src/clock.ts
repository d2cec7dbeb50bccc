/** Clocks and timers behind an interface, so that tests and simulations can control time. */

import { uptime } from 'node:os'
import type { Milliseconds } from './quantities.js'

/** A pending timer; cancelling a timer that has fired has no effect. */
export interface Timer {
  cancel(): void
}

/**
 * Sources of time. Code that orders events or lets data expire uses `monotonic` or `sinceStart`,
 * which never go back: with a wall clock that is set back, expired data would count again. The two
 * differ by the time for which the machine was suspended.
 */
export interface Clock {
  /**
   * Milliseconds since an arbitrary start, not counting suspensions of the machine. For limits that
   * allow more as time passes: spending, retries, requests to an endpoint that is warming up.
   */
  monotonic(): Milliseconds
  /**
   * Milliseconds since an arbitrary start, counting suspensions and unaffected by changes to the
   * time of day. For data that must not be trusted, and events that must not be awaited, for too
   * long: ages of rows, leases, deadlines. Suspensions below half a second may be missed.
   */
  sinceStart(): Milliseconds
  /** Milliseconds since 1970, for records that people read. */
  wallTime(): Milliseconds
  /** Calls `run` once, after the delay has passed by `monotonic`, never earlier. */
  after(delay: Milliseconds, run: () => void): Timer
}

/** The sources from which `SystemClock` reads time, in milliseconds. */
export interface TimeSources {
  /** Time that never goes back and stops while the machine is suspended. */
  steady(): Milliseconds
  /** Time that continues while the machine is suspended and may be set forward or back. */
  timeOfDay(): Milliseconds
  /**
   * Time that continues while the machine is suspended and is never set. A read costs more than a
   * read of the other sources.
   */
  sinceBoot(): Milliseconds
}

const MILLISECONDS_IN_SECOND = 1_000

const PROCESS_TIME: TimeSources = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_IN_SECOND,
}

/**
 * Shortest suspension that is detected: between two reads, the time of day has to advance by at
 * least this much more than the steady clock. Slewing of the time of day never advances it so much,
 * and no age of rows, lease or deadline needs to be exact to half a second.
 */
const SUSPENSION_MILLISECONDS: Milliseconds = 500

/**
 * The clock of the process. The steady clock of Node.js does not count suspensions. The time of day
 * continues during a suspension, but also jumps when it is set; the time since boot distinguishes
 * the two cases. The time since boot is read only after a forward jump of the time of day, since
 * reading it is a system call.
 */
export class SystemClock implements Clock {
  /** Total length of the suspensions that were detected. */
  private suspended: Milliseconds = 0
  /** The time of day minus the steady clock, at the last read of `sinceStart`. */
  private dayTimeOffset: Milliseconds
  /** The time since boot minus the steady clock, at the last forward jump of the time of day. */
  private bootTimeOffset: Milliseconds

  constructor(private readonly sources: TimeSources = PROCESS_TIME) {
    this.dayTimeOffset = sources.timeOfDay() - sources.steady()
    this.bootTimeOffset = sources.sinceBoot() - sources.steady()
  }

  monotonic(): Milliseconds {
    return this.sources.steady()
  }

  sinceStart(): Milliseconds {
    const steady = this.sources.steady()
    const dayTimeOffset = this.sources.timeOfDay() - steady
    const jump = dayTimeOffset - this.dayTimeOffset
    if (jump >= SUSPENSION_MILLISECONDS) this.suspended += Math.min(jump, this.takeSuspension())
    this.dayTimeOffset = dayTimeOffset
    return steady + this.suspended
  }

  /**
   * Returns the time for which the machine was suspended since the last forward jump of the time of
   * day; 0 if that is too short to count as a suspension.
   */
  private takeSuspension(): Milliseconds {
    const bootTimeOffset = this.sources.sinceBoot() - this.sources.steady()
    const suspended = bootTimeOffset - this.bootTimeOffset
    this.bootTimeOffset = bootTimeOffset
    return suspended >= SUSPENSION_MILLISECONDS ? suspended : 0
  }

  wallTime(): Milliseconds {
    return this.sources.timeOfDay()
  }

  after(delay: Milliseconds, run: () => void): Timer {
    const timer = new SystemTimer(this.sources, this.sources.steady() + delay, run)
    timer.wait()
    return timer
  }
}

/** The longest delay that Node.js accepts; a timer with a longer delay would fire at once. */
const MAXIMUM_TIMEOUT_MILLISECONDS: Milliseconds = 2 ** 31 - 1

/**
 * A timer that never fires early. Timers of Node.js count whole milliseconds and may fire up to two
 * milliseconds early. Code that then read the clock would find that a deadline has not been
 * reached, and would report another cause for a request that ended at its deadline. So this timer
 * waits again if it is not due yet. A delay that Node.js does not accept is waited for in parts.
 */
class SystemTimer implements Timer {
  private handle: NodeJS.Timeout | undefined

  constructor(
    private readonly sources: TimeSources,
    /** Due time by the steady clock. */
    private readonly due: Milliseconds,
    private readonly run: () => void,
  ) {}

  cancel(): void {
    clearTimeout(this.handle)
  }

  /** Waits until the timer is due, or for the longest delay that Node.js accepts. */
  readonly wait = (): void => {
    this.handle = setTimeout(this.fire, Math.min(this.remaining(), MAXIMUM_TIMEOUT_MILLISECONDS))
  }

  private readonly fire = (): void => {
    if (this.remaining() > 0) this.wait()
    else this.run()
  }

  private remaining(): Milliseconds {
    return this.due - this.sources.steady()
  }
}

/** Resolves after a delay by the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(delay, resolve))
}
