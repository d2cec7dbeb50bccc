/** Time as an interface, so that tests and simulations can drive it. Owns no timers itself. */

import { uptime } from 'node:os'
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
   * The same with the time of suspensions, whatever is done to the time of day. For whatever must not be believed or
   * awaited for too long: ages of rows, leases, deadlines.
   */
  sinceStart(): Milliseconds
  /** Milliseconds since 1970, for records that people read. */
  wallTime(): Milliseconds
  /** Runs once the delay has passed by `monotonic`, never earlier. */
  after(delay: Milliseconds, run: () => void): Timer
}

/** Where a clock reads time. */
export interface TimeSources {
  /** Never goes back, and stands still while the machine is suspended. */
  steady(): Milliseconds
  /** Goes on while the machine is suspended; may be set forward or back. */
  timeOfDay(): Milliseconds
  /** Goes on while the machine is suspended, and is never set; costs more than the others. */
  sinceBoot(): Milliseconds
}

const MILLISECONDS_IN_SECOND = 1_000

const PROCESS_TIME: TimeSources = {
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_IN_SECOND,
}

/**
 * By so much more than the steady clock the time of day must have moved between two looks for a suspension: no
 * slewing of the time of day does that, and nothing that ages here is meant to be exact to half a second.
 */
const SUSPENSION_MILLISECONDS: Milliseconds = 500

/**
 * The clock of the process. The steady clock of Node.js doesn't count suspensions. The time of day goes on in one, but also
 * jumps where somebody sets it, so the time since boot tells which of the two it was; it is asked only then, since it is read
 * from the system.
 */
export class SystemClock implements Clock {
  private suspended: Milliseconds = 0
  /** The time of day, less the steady clock, at the last look. */
  private lead: Milliseconds
  /** The time since boot, less the steady clock, at the last jump of the time of day. */
  private bootLead: Milliseconds

  constructor(private readonly sources: TimeSources = PROCESS_TIME) {
    this.lead = sources.timeOfDay() - sources.steady()
    this.bootLead = sources.sinceBoot() - sources.steady()
  }

  monotonic(): Milliseconds {
    return this.sources.steady()
  }

  sinceStart(): Milliseconds {
    const steady = this.sources.steady()
    const lead = this.sources.timeOfDay() - steady
    const jump = lead - this.lead
    if (jump >= SUSPENSION_MILLISECONDS) this.suspended += Math.min(jump, this.suspendedSinceJump())
    this.lead = lead
    return steady + this.suspended
  }

  /** Time for which the machine was suspended since the time of day jumped last. */
  private suspendedSinceJump(): Milliseconds {
    const bootLead = this.sources.sinceBoot() - this.sources.steady()
    const suspended = bootLead - this.bootLead
    this.bootLead = bootLead
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

/** Node.js takes a longer time for none. */
const LONGEST_TIMEOUT_MILLISECONDS: Milliseconds = 2 ** 31 - 1

/**
 * Timers of Node.js count whole milliseconds and may fire up to two early. Whoever then looks at the clock would find that
 * the time is not over yet, and take an end by its deadline for one by something else.
 */
class SystemTimer implements Timer {
  private handle: NodeJS.Timeout | undefined

  constructor(
    private readonly sources: TimeSources,
    /** By the steady clock. */
    private readonly due: Milliseconds,
    private readonly run: () => void,
  ) {}

  cancel(): void {
    clearTimeout(this.handle)
  }

  readonly wait = (): void => {
    this.handle = setTimeout(this.fire, Math.min(this.remaining(), LONGEST_TIMEOUT_MILLISECONDS))
  }

  private readonly fire = (): void => {
    if (this.remaining() > 0) this.wait()
    else this.run()
  }

  private remaining(): Milliseconds {
    return this.due - this.sources.steady()
  }
}

/** Resolves after a delay on the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(delay, resolve))
}
