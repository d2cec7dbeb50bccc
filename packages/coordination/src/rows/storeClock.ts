/**
 * Bounds of the store's steady clock, derived from the times in its answers. Owns the newest
 * bounds.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/**
 * Bounds of the store's steady clock, derived from the times in its answers: an answer was produced
 * after its call was sent and before it was received.
 */
export class StoreClock {
  private earliest: Milliseconds | undefined
  private latest: Milliseconds | undefined

  constructor(private readonly clock: Clock) {}

  /** Records an answer that has just been received. */
  recordAnswer(storeTime: Milliseconds, sentAt: Milliseconds): void {
    if (storeTime <= 0) return
    this.earliest = storeTime - this.clock.monotonic()
    this.latest = storeTime - sentAt
  }

  /** Lower bound of the store's current time; undefined before the first answer. */
  get lowerBound(): Milliseconds | undefined {
    return this.earliest === undefined ? undefined : this.earliest + this.clock.monotonic()
  }

  /**
   * Upper bound of the store's time at the given time of this process's monotonic clock; undefined
   * before the first answer.
   */
  upperBoundAt(monotonic: Milliseconds): Milliseconds | undefined {
    return this.latest === undefined ? undefined : this.latest + monotonic
  }
}
