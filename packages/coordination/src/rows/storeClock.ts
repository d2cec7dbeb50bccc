/**
 * Bounds on the store's steady clock, drawn from the times that its answers name. Owns the newest bounds.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/**
 * Bounds on the store's steady clock, drawn from the times that its answers name. An answer
 * was made after its call was sent and before it was received.
 */
export class StoreClock {
  private earliest: Milliseconds | undefined
  private latest: Milliseconds | undefined

  constructor(private readonly clock: Clock) {}

  /** Notes an answer that has just been received. */
  recordAnswer(storeTime: Milliseconds, sentAt: Milliseconds): void {
    if (storeTime <= 0) return
    this.earliest = storeTime - this.clock.monotonic()
    this.latest = storeTime - sentAt
  }

  /** The store's time is at least this now; undefined until an answer came. */
  get lowerBound(): Milliseconds | undefined {
    return this.earliest === undefined ? undefined : this.earliest + this.clock.monotonic()
  }

  /** The store's time was at most this at the given moment of the own monotonic clock. */
  upperBoundAt(monotonic: Milliseconds): Milliseconds | undefined {
    return this.latest === undefined ? undefined : this.latest + monotonic
  }
}
