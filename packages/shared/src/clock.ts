/** Time as an interface, so that tests and simulations can drive it. Owns no timers itself. */

import type { Milliseconds } from './quantities.js'

/** A pending timer; cancelling one that fired is harmless. */
export interface Timer {
  cancel(): void
}

/**
 * Time as the decisions see it. Whatever orders or expires something uses `monotonic`,
 * since a wall clock that is set back would revive what had expired.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonic(): Milliseconds
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

/** The clock of the process. */
export class SystemClock implements Clock {
  constructor(private readonly sources: TimeSources = PROCESS_TIME) {}

  monotonic(): Milliseconds {
    return this.sources.steady()
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
