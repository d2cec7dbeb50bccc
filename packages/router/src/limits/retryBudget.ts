/**
 * May a request that failed be tried again, and after how long? Owns the retries that this instance has
 * saved up.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Retries that may be saved up while nothing fails. */
const MAXIMUM_SAVED = 50
/** Retries a second that are granted whatever the traffic, so that a quiet fleet retries too. */
const BASE_RETRIES_PER_SECOND = 1

/**
 * Limits retries to a share of requests, so that a failing endpoint does not have its load
 * multiplied just when it can bear it least.
 */
export class RetryBudget {
  private saved = 10
  private countedAt: Milliseconds

  constructor(private readonly clock: Clock) {
    this.countedAt = clock.monotonic()
  }

  /** Each request earns a share of a retry. */
  deposit(share: number): void {
    this.earnByTime()
    this.saved = Math.min(MAXIMUM_SAVED, this.saved + share)
  }

  /** Takes one retry, if there is one. */
  withdraw(): boolean {
    this.earnByTime()
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }

  private earnByTime(): void {
    const now = this.clock.monotonic()
    const earned = ((now - this.countedAt) * BASE_RETRIES_PER_SECOND) / 1000
    this.saved = Math.min(MAXIMUM_SAVED, this.saved + earned)
    this.countedAt = now
  }
}

const FIRST_BACKOFF_MILLISECONDS = 20
const LONGEST_BACKOFF_MILLISECONDS = 500

/** Exponential backoff with full jitter; `chance` is in [0, 1). */
export function backoffMilliseconds(attempt: number, chance: number): Milliseconds {
  const ceiling = Math.min(LONGEST_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** attempt)
  return ceiling * chance
}
