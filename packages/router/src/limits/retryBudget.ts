/**
 * Limits and delays retries. Each request earns a share of a retry, and each second earns
 * `BASE_RETRIES_PER_SECOND`. Owns the number of retries that this instance has accumulated and not
 * used.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Maximum number of unused retries, which bounds a burst of retries after a quiet time. */
const MAXIMUM_AVAILABLE = 50
/**
 * Retries per second granted regardless of traffic, so that a fleet with little traffic can retry
 * too.
 */
const BASE_RETRIES_PER_SECOND = 1

/**
 * Limits retries to a share of requests, so that retries do not multiply the load of an overloaded
 * endpoint.
 */
export class RetryBudget {
  private available = 10
  private countedAt: Milliseconds

  constructor(private readonly clock: Clock) {
    this.countedAt = clock.monotonic()
  }

  /** Adds the share of a retry that a request earns; called once for each request. */
  deposit(share: number): void {
    this.earnByTime()
    this.available = Math.min(MAXIMUM_AVAILABLE, this.available + share)
  }

  /** Takes one retry. Returns false if none is available. */
  withdraw(): boolean {
    this.earnByTime()
    if (this.available < 1) return false
    this.available -= 1
    return true
  }

  private earnByTime(): void {
    const now = this.clock.monotonic()
    const earned = ((now - this.countedAt) * BASE_RETRIES_PER_SECOND) / 1000
    this.available = Math.min(MAXIMUM_AVAILABLE, this.available + earned)
    this.countedAt = now
  }
}

const FIRST_BACKOFF_MILLISECONDS = 20
const LONGEST_BACKOFF_MILLISECONDS = 500

/**
 * Returns an exponential backoff with full jitter, in milliseconds. `attempt` is the number of the
 * failed attempt, and `chance` a random number in [0, 1).
 */
export function backoffMilliseconds(attempt: number, chance: number): Milliseconds {
  const ceiling = Math.min(LONGEST_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** attempt)
  return ceiling * chance
}
