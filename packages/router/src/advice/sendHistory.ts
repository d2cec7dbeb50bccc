/**
 * Keeps the times at which this instance sent requests to one endpoint, as far back as quotas need them. Owns
 * these times.
 */

import type { RateQuota } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Maximum number of remembered times. No quota allows more sends in its window. */
const MAXIMUM_SENDS = 64

/** Sends to one endpoint. */
export class SendHistory {
  /** The newest last. */
  private readonly times: Milliseconds[] = []

  constructor(private readonly clock: Clock) {}

  /** A request is sent now. */
  note(): void {
    this.times.push(this.clock.monotonic())
    if (this.times.length > MAXIMUM_SENDS) this.times.shift()
  }

  /** Time until the sends are below the quota's limit for its window; 0 if they are now. */
  waitFor({ requests, windowMilliseconds }: RateQuota): Milliseconds {
    const sentAt = this.times.at(-requests) ?? Number.NEGATIVE_INFINITY
    return Math.max(0, sentAt + windowMilliseconds - this.clock.monotonic())
  }
}
