/** Time as an interface, so that tests and simulations can control it. */

import { uptime } from 'node:os'
import type { Milliseconds } from './quantities.js'

/** A pending timer; cancelling one that has fired has no effect. */
export interface Timer {
  cancel(): void
}

/**
 * Sources of time. Code that orders or expires something uses `monotonic` or `sinceStart`, which
 * never go back: a wall clock that is set back would revive what had expired. The two differ where
 * the machine was suspended.
 */
export interface Clock {
  /**
   * Milliseconds since an arbitrary start, not counting suspensions of the machine. For whatever
   * allows more as time passes: spending, retries, requests to an endpoint that is warming up.
   */
  monotonic(): Milliseconds
  /**
   * Milliseconds since an arbitrary start, counting suspensions, whatever is done to the time of
   * day. For whatever must not be trusted or awaited for too long: ages of rows, leases, deadlines.
   */
  sinceStart(): Milliseconds
  /** Milliseconds since 1970, for records that people read. */
  wallTime(): Milliseconds
  /** Calls `run` once the delay has passed by `monotonic`, never earlier. */
  after(delay: Milliseconds, run: () => void): Timer
}

/** Where a clock reads time from. */
export interface TimeSources {
  /** Never goes back, and stops while the machine is suspended. */
  steady(): Milliseconds
  /** Continues while the machine is suspended; may be set forward or back. */
  timeOfDay(): Milliseconds
  /**
   * Continues while the machine is suspended, and is never set; a read costs more than one of the
   * others.
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
 * The time of day must have advanced by this much more than the steady clock between two reads for
 * a suspension to be assumed. Slewing of the time of day never does that, and no age here needs to
 * be exact to half a second.
 */
const SUSPENSION_MILLISECONDS: Milliseconds = 500

/**
 * The clock of the process. The steady clock of Node.js does not count suspensions. The time of day
 * continues during one, but also jumps when it is set, so the time since boot tells the two cases
 * apart. It is read only after a jump, since reading it is a system call.
 */
export class SystemClock implements Clock {
  private suspended: Milliseconds = 0
  /** The time of day minus the steady clock, at the last read. */
  private dayTimeOffset: Milliseconds
  /** The time since boot minus the steady clock, at the last jump of the time of day. */
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
   * Returns the time for which the machine was suspended since the last jump of the time of day.
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

/** The longest delay that Node.js accepts; it fires a timer with a longer one at once. */
const MAXIMUM_TIMEOUT_MILLISECONDS: Milliseconds = 2 ** 31 - 1

/**
 * Timers of Node.js count whole milliseconds and may fire up to two milliseconds early. Code that
 * then read the clock would find that the deadline has not been reached, and attribute an end by
 * deadline to another cause. So a timer that fires early waits for the rest.
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
