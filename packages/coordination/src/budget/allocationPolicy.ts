/**
 * How large are allocations, when do they go back, and how much is lent? Policies of the OpenAI-style kind;
 * the setting `budgetPolicy` chooses one, and decision records keep what they looked at.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** What an allocation decision may look at; all of it is kept in decision records. */
export interface AllocationView {
  readonly limit: TokenCount
  /** Settled in the row when it was last read. */
  readonly settled: TokenCount
  /** Free in the row when it was last read. */
  readonly free: TokenCount
  readonly available: TokenCount
  readonly reserved: TokenCount
  /** Granted here since this incarnation began. */
  readonly grantedTotal: TokenCount
  /** Tokens spent here per second, averaged. */
  readonly ratePerSecond: number
  readonly idleMilliseconds: Milliseconds
  /** Live instances that may draw on the budget, this one included. */
  readonly instances: number
}

/** How large allocations are, when they go back, and how much is lent. */
export interface AllocationPolicy {
  readonly name: string
  /** Tokens that should be available here at present. */
  target(view: AllocationView): TokenCount
  /** Tokens to ask for when requests wait for `needed` more than is available. */
  tokensToRequest(view: AllocationView, needed: TokenCount): TokenCount
  /** Tokens to ask a peer for when `needed` are missing. */
  tokensToBorrow(view: AllocationView, needed: TokenCount): TokenCount
  /** Tokens to give back to the row now. */
  tokensToReturn(view: AllocationView): TokenCount
  /** Tokens to lend to a peer that asks for `asked`. */
  tokensToLend(view: AllocationView, asked: TokenCount): TokenCount
  /** How long a request may wait for tokens of requests that are about to end. */
  readonly patienceMilliseconds: Milliseconds
}

/**
 * The baseline: each instance takes an equal share once and neither gives back nor lends.
 * What one instance does not use is lost to the others.
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

/** Seconds of spending that the rate-proportional policy holds. */
const RATE_HORIZON_SECONDS = 60

/** Holds what the recent rate needs for a minute, within a fair part of what is left. */
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

/** An allocation unused for this long goes back whole. */
const IDLE_MILLISECONDS = 10 * 60_000
/** Below this share of the limit unspent, a budget counts as nearing its end. */
const NEAR_END_SHARE = 0.1
/** Share of the unspent tokens that all instances together hold while there is plenty. */
const HELD_SHARE = 0.95
/** Seconds of its own spending that an instance keeps from lending. */
const KEPT_SECONDS = 5
/** Seconds of spending that a borrower asks for at once, so that it need not ask soon again. */
const BORROWED_SECONDS = 10

/** How much one kind of mistake costs against the other. */
export interface ErrorCostWeights {
  readonly overspend: number
  readonly falseRefusal: number
}

/**
 * Weighs what the users weigh. Overspend is impossible by construction, so the weight on it
 * decides only how soon an unclear case is refused. While there is plenty, nearly all of a
 * budget is held by the instances, since what lies in the row is out of reach in an outage,
 * and what a peer holds can be lent without the store. Near the end, each holds what it
 * needs at once, and whoever has a request waiting gets what others do not use.
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

  /** Near the end everything unreserved goes to whoever has a request waiting for it. */
  tokensToLend(view: AllocationView, asked: TokenCount): TokenCount {
    if (isNearExhaustion(view)) return Math.min(asked, view.available)
    const kept = Math.ceil(view.ratePerSecond * KEPT_SECONDS)
    return Math.min(asked, Math.max(0, view.available - kept))
  }
}

/** No instance takes more than half of its equal part of what is left. */
function capToFairShare(view: AllocationView, tokens: TokenCount): TokenCount {
  const left = view.free + view.available
  return Math.min(tokens, Math.floor(left / (2 * Math.max(1, view.instances))))
}

function isNearExhaustion(view: AllocationView): boolean {
  return view.limit - view.settled < view.limit * NEAR_END_SHARE
}
