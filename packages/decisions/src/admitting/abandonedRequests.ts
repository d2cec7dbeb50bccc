/**
 * Decides how long an instance waits before it sends a request to an endpoint, so that requests
 * whose callers have already left are not sent.
 *
 * Load pattern: all callers of a busy team stay with one instance whose processor or link is too
 * slow for them. Once requests queue at the instance for longer than their callers wait, the
 * instance reads each request after its caller has left. If it sends these requests all the same,
 * they take its processor, its link and an endpoint's time, and the callers try again. The rate of
 * served requests then falls while the offered rate rises, in the worst case from a hundred a
 * second to none. The process learns that a caller has left only one turn of the event loop after
 * it has read the request.
 *
 * Inputs: the time at which each request was read and, where its caller left, the delay from
 * reading the request to noticing that the caller had left, in milliseconds on a monotonic clock.
 * Only callers that are noticed to have left within `ABANDONED_BEFORE_READ_MILLISECONDS` count.
 * While their share is above `ELEVATED_SHARE`, each request waits a little longer than that notice
 * usually takes, but at most `LONGEST_CONFIRMATION_MILLISECONDS`, before it is sent to an endpoint.
 * `ProcessorLoadShedder` takes the same share as a sign of a queue and admits less.
 *
 * Limits: under normal load a few callers leave just after they have sent a request. Their share
 * stays below `ELEVATED_SHARE`, so no request waits for them. An instance that reads few requests
 * is not overloaded, so the share is 0 while fewer than `MINIMUM_REQUESTS` are in the window.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { updateAsymmetricMean } from '../choosing/asymmetricMean.js'
import { SlidingShare } from '../slidingCount.js'

/**
 * A caller that leaves within this time after its request was read is taken to have left before
 * that. The time covers a few round trips to any caller.
 */
const ABANDONED_BEFORE_READ_MILLISECONDS: Milliseconds = 100
/**
 * Time over which requests are counted: about the time after which callers of a collapsing instance
 * try again.
 */
const WINDOW_MILLISECONDS: Milliseconds = 1_000
/** Parts of the window; a count expires together with its part. */
const WINDOW_PARTS = 10
/**
 * With fewer requests in the window, the share is taken as 0: a collapsing instance reads dozens a
 * second.
 */
const MINIMUM_REQUESTS = 8
/** Above this share requests are delayed; under normal load a smaller share of callers leaves. */
const ELEVATED_SHARE = 0.05
/**
 * Weights of a delay above the estimate `leaveDelay` and of one below it. A difference upwards
 * counts nine times as much, so the estimate settles among the longer delays, in general below
 * their 90th percentile.
 */
const DELAY_WEIGHTS = { above: 0.18, below: 0.02 }
/** Factor on `leaveDelay` that gives the wait: some delays are longer than the estimate. */
const DELAY_MARGIN = 1.25
/**
 * Longest wait before a request is sent to an endpoint; the wait delays requests of all callers.
 */
const LONGEST_CONFIRMATION_MILLISECONDS: Milliseconds = 60

/** Measures the share of requests whose callers had left before the requests were read. */
export class AbandonedRequests {
  private readonly requests = new SlidingShare(WINDOW_MILLISECONDS, WINDOW_PARTS, MINIMUM_REQUESTS)
  /** Estimated delay until a caller is noticed to have left; undefined before the first one. */
  private leaveDelay: Milliseconds | undefined

  /** Counts a request that was read; `now` is monotonic. */
  noteRead(now: Milliseconds): void {
    this.requests.note(now)
  }

  /**
   * Counts a caller that was noticed to have left `delay` after its request was read; one that left
   * later than `ABANDONED_BEFORE_READ_MILLISECONDS` is ignored. `now` is monotonic.
   */
  noteLeft(delay: Milliseconds, now: Milliseconds): void {
    if (delay > ABANDONED_BEFORE_READ_MILLISECONDS) return
    this.requests.noteCounted(now)
    this.leaveDelay = updateAsymmetricMean(this.leaveDelay, delay, DELAY_WEIGHTS)
  }

  /** Returns the share of requests read in the last second whose callers had left, in [0, 1]. */
  share(now: Milliseconds): number {
    return this.requests.at(now)
  }

  /** Whether the share is so high that the caller of a request just read may have left. */
  isShareElevated(now: Milliseconds): boolean {
    return this.share(now) > ELEVATED_SHARE
  }

  /**
   * Returns how long a request waits for a notice that its caller has left, before it is sent to an
   * endpoint; 0 while the share is not elevated.
   */
  leaveNoticeMilliseconds(now: Milliseconds): Milliseconds {
    if (!this.isShareElevated(now)) return 0
    return Math.min(LONGEST_CONFIRMATION_MILLISECONDS, DELAY_MARGIN * (this.leaveDelay ?? 0))
  }
}
