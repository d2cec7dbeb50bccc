/** When requests were sent to one endpoint from here, as far back as licences look. Owns these times. */

import type { RateQuota } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Times that are remembered at the most: no licence allows more in its window. */
const REMEMBERED_SENDS = 64

/** The sends to one endpoint. */
export class SendHistory {
  /** The newest last. */
  private readonly times: Milliseconds[] = []

  constructor(private readonly clock: Clock) {}

  /** A request goes there now. */
  note(): void {
    this.times.push(this.clock.monotonic())
    if (this.times.length > REMEMBERED_SENDS) this.times.shift()
  }

  /** Time until fewer than so many were sent within a window; 0 where that is so now. */
  waitFor({ requests, windowMilliseconds }: RateQuota): Milliseconds {
    const sentAt = this.times.at(-requests) ?? Number.NEGATIVE_INFINITY
    return Math.max(0, sentAt + windowMilliseconds - this.clock.monotonic())
  }
}
