/**
 * Decides whether one more request of a service may be retried, within a bound that holds for the whole fleet. Without the
 * bound, retries would multiply the load of a service that fails.
 *
 * Inputs: the requests and retries that this instance counted, the bounds from the settings, and the number of
 * instances that share the bounds. Windows are in milliseconds and times are monotonic.
 *
 * Each request that this instance receives earns it a fraction of a retry (`ratio`). A fixed number of retries (`extra`) is
 * divided by the number of instances that could be running, so that the sum over the fleet holds without any communication
 * between the instances. Requests and retries are counted in a sliding window.
 *
 * Limits: requests of the OpenAI-style kind are bounded by a token bucket instead (router/limits/retryBudget.ts), since no
 * window and no extra are set for them.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { SlidingCount } from '../slidingCount.js'

/** Bounds on the retries of one service in the whole fleet, from the settings. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number
  /** Number of retries allowed beyond the ratio in each window, for all instances together. */
  readonly extra: number
  /** Length of the window in which both bounds hold. */
  readonly windowMilliseconds: Milliseconds
}

/**
 * Share of the bound that this instance uses. An observer that checks the bound counts the same requests at
 * slightly different moments, so its window may hold more retries or fewer requests than the window counted here.
 */
const USED_SHARE = 0.8
/**
 * Number of slices of the window. All counts of a slice leave the window at once, so the effective window is up to one
 * slice, a twentieth, shorter than the set one.
 */
const SLICES = 20

/** This instance's share of the fleet's retry budget for one service. */
export class FleetRetryBudget {
  private readonly requests: SlidingCount
  private readonly retries: SlidingCount

  constructor(private readonly bounds: RetryBounds) {
    this.requests = new SlidingCount(bounds.windowMilliseconds, SLICES)
    this.retries = new SlidingCount(bounds.windowMilliseconds, SLICES)
  }

  /** Records that this instance received a request of the service. `now` is monotonic. */
  noteRequest(now: Milliseconds): void {
    this.requests.add(now)
  }

  /**
   * Takes one retry from the budget and returns whether one was left. `now` is monotonic; `instances` is the number of
   * instances that share the fixed extra.
   */
  take(now: Milliseconds, instances: number): boolean {
    const earned = this.bounds.ratio * this.requests.at(now)
    const extraShare = this.bounds.extra / Math.max(1, instances)
    if (this.retries.at(now) + 1 > USED_SHARE * (earned + extraShare)) return false
    this.retries.add(now)
    return true
  }
}
