/**
 * May one more request of a service be sent again, by the bound that holds for the whole fleet?
 *
 * Requests seen by this instance earn retries for it; the fixed extra is divided by all instances
 * that could be running, so that the sum holds without a word between them. Both are counted in a
 * sliding window. The OpenAI-style kind bounds retries by a token bucket instead
 * (router/limits/retryBudget.ts), since no window and no extra are set for it.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { SlidingCount } from '../slidingCount.js'

/** Bounds on requests sent again, for the whole fleet and one service; from the settings. */
export interface RetryBounds {
  /** Retries allowed for each request, */
  readonly ratio: number
  /** and beyond that for all instances together, */
  readonly extra: number
  /** in any window of this length. */
  readonly windowMilliseconds: Milliseconds
}

/**
 * Part of the bound that is used: whoever checks it counts requests at slightly other moments.
 *
 */
const USED_SHARE = 0.8
/** Parts into which the window is cut; a count leaves with its part: a twentieth is lost. */
const SLICES = 20

/** This instance's part of the fleet's retries of one service. */
export class FleetRetryBudget {
  private readonly requests: SlidingCount
  private readonly retries: SlidingCount

  constructor(private readonly bounds: RetryBounds) {
    this.requests = new SlidingCount(bounds.windowMilliseconds, SLICES)
    this.retries = new SlidingCount(bounds.windowMilliseconds, SLICES)
  }

  /** A request came; `now` is monotonic. */
  noteRequest(now: Milliseconds): void {
    this.requests.add(now)
  }

  /** Takes one retry, if there is one; `instances` are those that share the extra. */
  take(now: Milliseconds, instances: number): boolean {
    const earned = this.bounds.ratio * this.requests.at(now)
    const share = this.bounds.extra / Math.max(1, instances)
    if (this.retries.at(now) + 1 > USED_SHARE * (earned + share)) return false
    this.retries.add(now)
    return true
  }
}
