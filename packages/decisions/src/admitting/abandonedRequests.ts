/**
 * How many of the requests that are read here has their caller already given up, and how long does it take to know?
 *
 * Load pattern: all callers of a busy team stay with one weak instance. Once what they send waits before it for
 * longer than they do, each request is read after its caller has left. Sent on all the same, it takes the
 * processor, the link and an endpoint's time, callers try again, and served work falls while offered work
 * rises, down to none of a hundred requests a second. The word that a caller has left is read a turn of the loop
 * after its request.
 *
 * So an instance counts which callers leave within moments of being read. While more than a few do, it waits
 * for that moment before it sends anything on, and takes less (processorBudget).
 *
 * Limits: callers that leave by themselves are a few in each second, and harm nothing; an instance that reads few
 * requests does not collapse and judges by nothing.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from '../choosing/trackQuantile.js'
import { SlidingShare } from '../slidingCount.js'

/** A caller that leaves within this time of being read had given up before: a few round trips of any. */
const PROMPT_LEAVE_MILLISECONDS: Milliseconds = 100
/** Time over which requests are counted: as long as callers of a collapsing instance take to come again. */
const WINDOW_MILLISECONDS: Milliseconds = 1_000
/** Parts into which that is cut; a count leaves with its part. */
const SLICES = 10
/** Fewer requests in that time tell nothing: a collapse takes dozens a second. */
const LEAST_REQUESTS = 8
/** Above this share callers are waited for: more than those who leave by themselves. */
const SUSPECT_SHARE = 0.05
/** The delay that nine in ten leavers stay under: one above it counts nine times as much as one below. */
const DELAY_WEIGHTS = { above: 0.18, below: 0.02 }
/** Margin on that delay, and the longest wait. */
const DELAY_MARGIN = 1.25
const LONGEST_CONFIRMATION_MILLISECONDS: Milliseconds = 60

/** Counts requests whose callers left before they were read. */
export class AbandonedRequests {
  private readonly requests = new SlidingShare(WINDOW_MILLISECONDS, SLICES, LEAST_REQUESTS)
  private leaveDelay: Milliseconds | undefined

  /** A request was read; `now` is monotonic. */
  noteRead(now: Milliseconds): void {
    this.requests.note(now)
  }

  /** Its caller left so long after. */
  noteLeft(delay: Milliseconds, now: Milliseconds): void {
    if (delay > PROMPT_LEAVE_MILLISECONDS) return
    this.requests.noteCounted(now)
    this.leaveDelay = trackQuantile(this.leaveDelay, delay, DELAY_WEIGHTS)
  }

  /** The share of requests read lately whose callers had left, in [0, 1]. */
  share(now: Milliseconds): number {
    return this.requests.at(now)
  }

  /** Whether so many callers have left that what is read cannot be taken for wanted. */
  isElevated(now: Milliseconds): boolean {
    return this.share(now) > SUSPECT_SHARE
  }

  /** How long to wait for the word that a caller has left before its request is sent on; 0 where none is awaited. */
  confirmationMilliseconds(now: Milliseconds): Milliseconds {
    if (!this.isElevated(now)) return 0
    return Math.min(LONGEST_CONFIRMATION_MILLISECONDS, DELAY_MARGIN * (this.leaveDelay ?? 0))
  }
}
