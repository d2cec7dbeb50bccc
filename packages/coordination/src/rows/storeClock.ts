/**
 * Bounds of the store's monotonic clock, derived from the times in its answers. Bounds of what an
 * instance may spend, and of when an earlier incarnation had terminated, are stated in this time,
 * which all instances share. Owns the newest bounds.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/**
 * Bounds of the store's monotonic clock, derived from the times in its answers: the store produced
 * an answer after its call was sent and before the answer was received.
 */
export class StoreClock {
  /** Lower bound of the store's time minus the time of this process's monotonic clock. */
  private minimumOffset: Milliseconds | undefined
  /** Upper bound of the same difference. */
  private maximumOffset: Milliseconds | undefined

  constructor(private readonly clock: Clock) {}

  /** Records an answer that has just been received; one without a positive time is ignored. */
  recordAnswer(storeTime: Milliseconds, sentAt: Milliseconds): void {
    if (storeTime <= 0) return
    this.minimumOffset = storeTime - this.clock.monotonic()
    this.maximumOffset = storeTime - sentAt
  }

  /** Lower bound of the store's current time; undefined before the first answer. */
  get lowerBound(): Milliseconds | undefined {
    return this.minimumOffset === undefined
      ? undefined
      : this.minimumOffset + this.clock.monotonic()
  }

  /**
   * Upper bound of the store's time at the given time of this process's monotonic clock; undefined
   * before the first answer.
   */
  upperBoundAt(monotonic: Milliseconds): Milliseconds | undefined {
    return this.maximumOffset === undefined ? undefined : this.maximumOffset + monotonic
  }
}
