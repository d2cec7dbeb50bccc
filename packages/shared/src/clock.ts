/** Time as an interface, so that tests and simulations can drive it. Owns no timers itself. */

import type { Milliseconds } from './quantities.js'

/** A pending timer; cancelling one that fired is harmless. */
export interface Timer {
  cancel(): void
}

/**
 * Time as the decisions see it. Whatever orders or expires something uses one of the two that never go back, since a wall
 * clock that is set back would revive what had expired. They differ where the machine was suspended.
 */
export interface Clock {
  /**
   * Milliseconds since an arbitrary start, without the time of suspensions. For whatever allows more the longer it takes:
   * spending, retries, sends to an endpoint that warms up.
   */
  monotonic(): Milliseconds
  /**
   * The same with the time of suspensions, and ahead of it where the time of day was set forward. For whatever must not be
   * believed or awaited for too long: ages of rows, leases, deadlines.
   */
  sinceStart(): Milliseconds
  /** Milliseconds since 1970, for records that people read. */
  wallTime(): Milliseconds
  after(delay: Milliseconds, run: () => void): Timer
}

/** Where a clock reads time. */
export interface TimeSources {
  /** Never goes back, and stands still while the machine is suspended. */
  steady(): Milliseconds
  /** Goes on while the machine is suspended; may be set forward or back. */
  timeOfDay(): Milliseconds
}

const PROCESS_TIME: TimeSources = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
}

/**
 * By so much more than the steady clock the time of day must have moved between two looks for a suspension: no
 * slewing of the time of day does that, and nothing that ages here is meant to be exact to half a second.
 */
const SUSPENSION_MILLISECONDS: Milliseconds = 500

/**
 * The clock of the process. Node.js gives no clock that counts suspensions, so they are read from the time of day: it goes
 * on, and the steady clock does not. A time of day that is set forward looks the same; what it makes look old is read or
 * taken again within a round trip. One that is set back changes nothing.
 */
export class SystemClock implements Clock {
  private suspended: Milliseconds = 0
  /** The time of day, less the steady clock, at the last look. */
  private lead: Milliseconds

  constructor(private readonly sources: TimeSources = PROCESS_TIME) {
    this.lead = sources.timeOfDay() - sources.steady()
  }

  monotonic(): Milliseconds {
    return this.sources.steady()
  }

  sinceStart(): Milliseconds {
    const steady = this.sources.steady()
    const lead = this.sources.timeOfDay() - steady
    const jump = lead - this.lead
    if (jump >= SUSPENSION_MILLISECONDS) this.suspended += jump
    this.lead = lead
    return steady + this.suspended
  }

  wallTime(): Milliseconds {
    return this.sources.timeOfDay()
  }

  after(delay: Milliseconds, run: () => void): Timer {
    const handle = setTimeout(run, delay)
    return { cancel: () => clearTimeout(handle) }
  }
}

/** Resolves after a delay on the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(delay, resolve))
}
