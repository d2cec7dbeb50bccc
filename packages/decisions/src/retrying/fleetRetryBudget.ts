/**
 * Decides whether one more request of a service may be retried, within a bound that holds for the whole fleet. Without the
 * bound, retries would multiply the load of a service that fails.
 *
 * Inputs: the requests and retries that this instance counted, the bounds from the settings, and the number of
 * instances that share them. Windows are in milliseconds and times are monotonic.
 *
 * Each request that this instance receives earns it a part of a retry. The fixed extra is divided by all instances that
 * could be running, so that the sum holds without any communication between them. Both are counted in a sliding window.
 * Requests of the OpenAI-style kind are bounded by a token bucket instead (router/limits/retryBudget.ts), since no
 * window and no extra are set for them.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { SlidingCount } from '../slidingCount.js'

/** Bounds on the retries of one service in the whole fleet, from the settings. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number
  /** Retries allowed beyond the ratio, for all instances together. */
  readonly extra: number
  /** Length of the window in which both bounds hold. */
  readonly windowMilliseconds: Milliseconds
}

/** Share of the bound that is used, since whoever checks the bound counts requests at slightly different moments. */
const USED_SHARE = 0.8
/** Number of slices of the window. A count leaves the window with its slice, so up to a twentieth is lost. */
const SLICES = 20

/** This instance's share of the fleet's retry budget for one service. */
export class FleetRetryBudget {
  private readonly requests: SlidingCount
  private readonly retries: SlidingCount

  constructor(private readonly bounds: RetryBounds) {
    this.requests = new SlidingCount(bounds.windowMilliseconds, SLICES)
    this.retries = new SlidingCount(bounds.windowMilliseconds, SLICES)
  }

  /** Records that a request arrived. `now` is monotonic. */
  noteRequest(now: Milliseconds): void {
    this.requests.add(now)
  }

  /** Takes one retry and returns whether there was one. `instances` is the number of instances that share the extra. */
  take(now: Milliseconds, instances: number): boolean {
    const earned = this.bounds.ratio * this.requests.at(now)
    const share = this.bounds.extra / Math.max(1, instances)
    if (this.retries.at(now) + 1 > USED_SHARE * (earned + share)) return false
    this.retries.add(now)
    return true
  }
}
