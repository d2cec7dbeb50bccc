/**
 * Allocation policies for budgets of the OpenAI-style kind. A policy decides how many tokens an
 * instance takes out of a budget's row, when it gives tokens back, and how much it lends to peers.
 * The setting `budgetPolicy` selects one, and decision records keep the policy's inputs.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Inputs of an allocation decision; all of them are kept in decision records. */
export interface AllocationView {
  readonly limit: TokenCount
  /** Tokens settled in the row when it was last read. */
  readonly settled: TokenCount
  /** Tokens free in the row when it was last read. */
  readonly free: TokenCount
  readonly available: TokenCount
  readonly reserved: TokenCount
  /** Tokens that the row granted to this incarnation since it started. */
  readonly grantedTotal: TokenCount
  /** Average number of tokens that this incarnation spends per second. */
  readonly ratePerSecond: number
  /** Time since the last reservation. */
  readonly idleMilliseconds: Milliseconds
  /** Live instances that may use the budget, including this one. */
  readonly instances: number
}

/** Decides how large allocations are, when they are given back, and how much is lent. */
export interface AllocationPolicy {
  readonly name: string
  /** Tokens that should be available on this instance now. */
  target(view: AllocationView): TokenCount
  /** Tokens to request from the row when waiting requests lack `needed` tokens. */
  tokensToRequest(view: AllocationView, needed: TokenCount): TokenCount
  /** Tokens to request from a peer when `needed` are missing. */
  tokensToBorrow(view: AllocationView, needed: TokenCount): TokenCount
  /** Tokens to give back to the row now. */
  tokensToReturn(view: AllocationView): TokenCount
  /** Tokens to lend to a peer that requests `asked`. */
  tokensToLend(view: AllocationView, asked: TokenCount): TokenCount
  /** How long a request may wait for tokens that other requests free when they finish. */
  readonly patienceMilliseconds: Milliseconds
}

/**
 * The baseline: each instance takes an equal share once and neither gives back nor lends tokens.
 * Tokens that one instance does not use are lost to the others.
 */
export class EqualSplitPolicy implements AllocationPolicy {
  readonly name = 'equal-split'
  readonly patienceMilliseconds = 0

  target(view: AllocationView): TokenCount {
    return this.remainingShare(view)
  }

  tokensToRequest(view: AllocationView): TokenCount {
    return this.remainingShare(view)
  }

  tokensToBorrow(_view: AllocationView, needed: TokenCount): TokenCount {
    return needed
  }

  tokensToReturn(): TokenCount {
    return 0
  }

  tokensToLend(): TokenCount {
    return 0
  }

  private remainingShare(view: AllocationView): TokenCount {
    const share = Math.floor(view.limit / Math.max(1, view.instances))
    return Math.max(0, share - view.grantedTotal)
  }
}

/** Seconds of spending at the recent rate that the rate-proportional policy holds. */
const RATE_HORIZON_SECONDS = 60

/**
 * Holds one minute of spending at the recent rate, but at most half of the instance's equal share
 * of the remaining tokens.
 */
export class RateProportionalPolicy implements AllocationPolicy {
  readonly name = 'rate-proportional'
  readonly patienceMilliseconds = 0

  target(view: AllocationView): TokenCount {
    return capToFairShare(view, Math.ceil(view.ratePerSecond * RATE_HORIZON_SECONDS))
  }

  tokensToRequest(view: AllocationView, needed: TokenCount): TokenCount {
    return Math.max(needed, this.target(view) - view.available)
  }

  tokensToBorrow(_view: AllocationView, needed: TokenCount): TokenCount {
    return needed
  }

  tokensToReturn(view: AllocationView): TokenCount {
    const surplus = view.available - 2 * this.target(view)
    return view.idleMilliseconds > IDLE_MILLISECONDS ? view.available : Math.max(0, surplus)
  }

  tokensToLend(view: AllocationView, asked: TokenCount): TokenCount {
    return Math.min(asked, Math.max(0, view.available - this.target(view)))
  }
}

/**
 * Under the rate-proportional policy, an allocation without a reservation for longer than this is
 * given back entirely.
 */
const IDLE_MILLISECONDS = 10 * 60_000
/** A budget whose unspent share of the limit is below this counts as near exhaustion. */
const NEAR_END_SHARE = 0.1
/**
 * Share of the unspent tokens that all instances together hold under the cost-weighted policy while
 * the budget is not near exhaustion.
 */
const HELD_SHARE = 0.95
/** Seconds of its own spending that an instance does not lend. */
const KEPT_SECONDS = 5
/**
 * Seconds of spending that a borrower requests at once, so that it does not have to ask again soon.
 */
const BORROWED_SECONDS = 10

/** Relative costs of the two kinds of error: overspending, and refusing an affordable request. */
export interface ErrorCostWeights {
  readonly overspend: number
  readonly falseRefusal: number
}

/**
 * Weighs the costs of the two kinds of error as configured. Overspending is impossible by
 * construction, so the weights determine only how long a request that lacks tokens may wait: up to
 * 1.5 s, in proportion to the share of `falseRefusal` in the sum of both weights. While a
 * budget is not near exhaustion, nearly all of it is held by the instances: tokens in the row
 * cannot be reached in an outage, whereas tokens that a peer holds can be lent without the store.
 * Near exhaustion, each instance holds what it needs immediately, and instances with waiting
 * requests get what others do not use.
 */
export class CostWeightedPolicy implements AllocationPolicy {
  readonly name = 'weighed'
  readonly patienceMilliseconds: Milliseconds

  constructor(weights: ErrorCostWeights) {
    const sum = weights.overspend + weights.falseRefusal
    const caution = sum === 0 ? 0.5 : weights.falseRefusal / sum
    this.patienceMilliseconds = Math.round(1500 * caution)
  }

  target(view: AllocationView): TokenCount {
    if (isNearExhaustion(view)) return capToFairShare(view, Math.ceil(view.ratePerSecond))
    const unspent = view.limit - view.settled
    return Math.floor((unspent * HELD_SHARE) / Math.max(1, view.instances))
  }

  tokensToRequest(view: AllocationView, needed: TokenCount): TokenCount {
    return Math.max(needed, this.target(view) - view.available)
  }

  tokensToBorrow(view: AllocationView, needed: TokenCount): TokenCount {
    if (isNearExhaustion(view)) return needed
    return Math.max(needed, Math.ceil(view.ratePerSecond * BORROWED_SECONDS))
  }

  tokensToReturn(view: AllocationView): TokenCount {
    const target = this.target(view)
    const tolerated = isNearExhaustion(view) ? target : 1.5 * target
    return Math.max(0, Math.floor(view.available - tolerated))
  }

  /** Near exhaustion, lends all unreserved tokens to an instance with a waiting request. */
  tokensToLend(view: AllocationView, asked: TokenCount): TokenCount {
    if (isNearExhaustion(view)) return Math.min(asked, view.available)
    const kept = Math.ceil(view.ratePerSecond * KEPT_SECONDS)
    return Math.min(asked, Math.max(0, view.available - kept))
  }
}

/** Limits `tokens` to half of the instance's equal share of the free and its available tokens. */
function capToFairShare(view: AllocationView, tokens: TokenCount): TokenCount {
  const left = view.free + view.available
  return Math.min(tokens, Math.floor(left / (2 * Math.max(1, view.instances))))
}

function isNearExhaustion(view: AllocationView): boolean {
  return view.limit - view.settled < view.limit * NEAR_END_SHARE
}
