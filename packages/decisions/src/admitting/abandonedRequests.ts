/**
 * Decides how long an instance waits before it sends a request on, so that requests whose callers
 * have already given up are not sent.
 *
 * Load pattern: all callers of a busy team stay with one weak instance. Once requests queue at the
 * instance for longer than their callers wait, each request is read after its caller has left. If
 * the instance sends these requests on all the same, they take the processor, the link and an
 * endpoint's time, and the callers try again. Served work then falls while offered work rises, down
 * to none of a hundred requests a second. The process learns that a caller has left only one turn
 * of the event loop after it has read the request.
 *
 * Inputs: for each request, the time at which it was read and, where its caller left, the delay
 * from reading the request to noticing that, in milliseconds on a monotonic clock. Only callers
 * that leave within `ABANDONED_BEFORE_READ_MILLISECONDS` count. While their share is above
 * `SUSPECT_SHARE`, each request waits for the usual delay of such a notice before it is sent on,
 * and `ProcessorLoadShedder` takes the share as a sign of a queue and admits less.
 *
 * Limits: a few callers in each second leave of their own accord, which does no harm. An instance
 * that reads few requests does not collapse, so the share is 0 below `MINIMUM_REQUESTS`.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from '../choosing/trackQuantile.js'
import { SlidingShare } from '../slidingCount.js'

/**
 * A caller that leaves within this time of its request being read had given up before; the time
 * covers a few round trips to any caller.
 */
const ABANDONED_BEFORE_READ_MILLISECONDS: Milliseconds = 100
/**
 * Time over which requests are counted: about the time after which callers of a collapsing instance
 * try again.
 */
const WINDOW_MILLISECONDS: Milliseconds = 1_000
/** Parts of the window; a count expires together with its part. */
const WINDOW_PARTS = 10
/** Fewer requests in the window say nothing: a collapsing instance reads dozens a second. */
const MINIMUM_REQUESTS = 8
/** Above this share requests are delayed; fewer callers leave of their own accord. */
const SUSPECT_SHARE = 0.05
/**
 * Weights that make `leaveDelay` follow the 90th percentile: a delay above the known value counts
 * nine times as much as one below it.
 */
const DELAY_WEIGHTS = { above: 0.18, below: 0.02 }
/** Factor on that delay, and the longest wait. */
const DELAY_MARGIN = 1.25
const LONGEST_CONFIRMATION_MILLISECONDS: Milliseconds = 60

/** Measures the share of requests whose callers had left before the requests were read. */
export class AbandonedRequests {
  private readonly requests = new SlidingShare(WINDOW_MILLISECONDS, WINDOW_PARTS, MINIMUM_REQUESTS)
  private leaveDelay: Milliseconds | undefined

  /** Counts a request that was read; `now` is monotonic. */
  noteRead(now: Milliseconds): void {
    this.requests.note(now)
  }

  /** Counts a caller that left `delay` after its request was read. */
  noteLeft(delay: Milliseconds, now: Milliseconds): void {
    if (delay > ABANDONED_BEFORE_READ_MILLISECONDS) return
    this.requests.noteCounted(now)
    this.leaveDelay = trackQuantile(this.leaveDelay, delay, DELAY_WEIGHTS)
  }

  /** Returns the share of recently read requests whose callers had left, in [0, 1]. */
  share(now: Milliseconds): number {
    return this.requests.at(now)
  }

  /** Whether so many callers have left that a request just read may have no caller any more. */
  isElevated(now: Milliseconds): boolean {
    return this.share(now) > SUSPECT_SHARE
  }

  /**
   * Returns how long to wait for a notice that the caller has left before its request is sent on; 0
   * while the share is not elevated.
   */
  confirmationMilliseconds(now: Milliseconds): Milliseconds {
    if (!this.isElevated(now)) return 0
    return Math.min(LONGEST_CONFIRMATION_MILLISECONDS, DELAY_MARGIN * (this.leaveDelay ?? 0))
  }
}
