/**
 * How much long prompt was sent to each endpoint lately. Owns a fading sum for each endpoint; a sum
 * tells where prompts will be read next, while what is pending tells only of now.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Prompts with less to read than this disturb nobody for long. */
const LONG_TOKENS: TokenCount = 2_000
/**
 * Time in which a sum halves. Not longer: what an endpoint read seconds ago tells little of an endpoint that fails.
 */
const HALF_LIFE_MILLISECONDS = 1_500

interface DecayingSum {
  readonly tokens: TokenCount
  readonly at: Milliseconds
}

/** Fading sums of long prompts, by endpoint. */
export class PrefillTracker {
  private readonly sums = new Map<string, DecayingSum>()

  constructor(private readonly clock: Clock) {}

  /** So many tokens are to be read at an endpoint from now on; short prompts do not count. */
  note(endpoint: string, tokens: TokenCount): void {
    if (tokens < LONG_TOKENS) return
    const sum = this.recentTokens(endpoint) + tokens
    this.sums.set(endpoint, { tokens: sum, at: this.clock.monotonic() })
  }

  /** What was to be read there lately, fading with time. */
  recentTokens(endpoint: string): TokenCount {
    const sum = this.sums.get(endpoint)
    if (sum === undefined) return 0
    const age = this.clock.monotonic() - sum.at
    return sum.tokens * 0.5 ** (age / HALF_LIFE_MILLISECONDS)
  }

  /** An endpoint is gone. */
  forget(endpoint: string): void {
    this.sums.delete(endpoint)
  }
}
