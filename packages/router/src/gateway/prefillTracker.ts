/**
 * Tracks the uncached tokens of long prompts that were recently sent to each endpoint. Owns an exponentially
 * decaying sum for each endpoint. The sum predicts at which endpoints long prompts will be read next; pending
 * tokens describe only the present.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Prompts with fewer uncached tokens disturb other requests only briefly and are not counted. */
const LONG_TOKENS: TokenCount = 2_000
/**
 * Half-life of a sum. It is not longer because tokens read seconds ago say little about an endpoint that
 * fails.
 */
const HALF_LIFE_MILLISECONDS = 1_500

interface DecayingSum {
  readonly tokens: TokenCount
  readonly at: Milliseconds
}

/** Decaying sums of long prompts, by endpoint. */
export class PrefillTracker {
  private readonly totals = new Map<string, DecayingSum>()

  constructor(private readonly clock: Clock) {}

  /** Adds tokens that an endpoint has to read from now on; short prompts are ignored. */
  note(endpoint: string, tokens: TokenCount): void {
    if (tokens < LONG_TOKENS) return
    const total = this.recentTokens(endpoint) + tokens
    this.totals.set(endpoint, { tokens: total, at: this.clock.monotonic() })
  }

  /** Uncached tokens of long prompts recently sent to the endpoint, decaying with time. */
  recentTokens(endpoint: string): TokenCount {
    const total = this.totals.get(endpoint)
    if (total === undefined) return 0
    const age = this.clock.monotonic() - total.at
    return total.tokens * 0.5 ** (age / HALF_LIFE_MILLISECONDS)
  }

  /** The endpoint was removed. */
  forget(endpoint: string): void {
    this.totals.delete(endpoint)
  }
}
