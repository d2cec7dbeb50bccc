/**
 * Decides how many tokens of a prepaid budget an instance should hold, and how many stay in the
 * budget's pool, the tokens that no instance holds.
 *
 * The policies are pure functions of a view of the budget, in tokens and tokens a second; the
 * setting `budgets.policy` selects one. A holding that is too small makes requests wait for the
 * store, or be refused while the store is out of reach. A holding that is too large keeps tokens
 * from other instances, and a crash of its holder loses them.
 */

import type { TokenCount } from '@rackwalk/shared'

/** A budget, as one instance knows it when it decides how much of it to hold. */
export interface BudgetView {
  /** Tokens in the pool. */
  readonly free: TokenCount
  /** Tokens that this instance holds and has neither spent nor reserved. */
  readonly ownUnspent: TokenCount
  /** Tokens a second that callers ask this instance for. */
  readonly ownDemandPerSecond: number
  /** The other instances that share the budget; those without a holding count with zeros. */
  readonly others: readonly { readonly unspent: TokenCount; readonly demandPerSecond: number }[]
  /** Whether this instance is on standby: it then holds tokens only for its own demand. */
  readonly isStandby: boolean
  /** The largest request that this instance has seen lately. */
  readonly largestRequest: TokenCount
}

/** How much of a budget an instance should hold, and how much has to stay in the pool. */
export interface HoldingPolicy {
  /** Unspent tokens that this instance should hold. */
  target(view: BudgetView): TokenCount
  /** Tokens that stay in the pool, so that any instance can cover a large request from them. */
  poolFloor(view: BudgetView): TokenCount
}

/**
 * Gives every active instance the same holding, whatever the demand; the baseline for measurements.
 */
export class EqualHoldingPolicy implements HoldingPolicy {
  target(view: BudgetView): TokenCount {
    if (view.isStandby) return 0
    return Math.floor(unspentTotal(view) / (view.others.length + 1))
  }

  poolFloor(): TokenCount {
    return 0
  }
}

/**
 * While tokens are scarce, the weight of each instance is its own demand plus this share of the
 * mean demand of all instances, so that the instance holds tokens for demand that shifts to it.
 */
const SCARCE_BASE_SHARE = 0.35
/** The same share while tokens are plentiful: every instance can then cover a shift of demand. */
const PLENTY_BASE_SHARE = 1
/**
 * A budget that lasts no longer than this at the present demand is scarce. This limit and
 * `PLENTY_SECONDS` trade normal operation, in which instances need tokens at hand, against crashes,
 * which lose held tokens.
 */
const SCARCE_SECONDS = 15
/** A budget that lasts at least this long at the present demand is plentiful. */
const PLENTY_SECONDS = 50
/** A standby instance holds at most what its callers ask for in this time, in seconds. */
const STANDBY_SECONDS = 40
/** The pool keeps tokens for this many requests of the largest size. */
const POOL_FLOOR_REQUESTS = 2
/** The pool keeps no more than this share of the budget's unspent tokens. */
const POOL_FLOOR_SHARE = 0.25

/**
 * Divides a budget by demand. While tokens are plentiful, nearly all of the budget is held, so that
 * an instance that is cut off from the store refuses no request. Towards the end of a budget a
 * growing part stays in the pool, from which any instance gets tokens with one transaction.
 */
export class DemandHoldingPolicy implements HoldingPolicy {
  target(view: BudgetView): TokenCount {
    const total = unspentTotal(view)
    const holdable = Math.max(0, total - this.poolFloor(view))
    const demands = view.others.map(other => other.demandPerSecond)
    const sum = demands.reduce((left, right) => left + right, view.ownDemandPerSecond)
    const count = view.others.length + 1
    const evenness =
      SCARCE_BASE_SHARE + (PLENTY_BASE_SHARE - SCARCE_BASE_SHARE) * budgetPlenty(view)
    const base = sum > 0 ? (evenness * sum) / count : 1
    const totalWeight = sum + base * count
    if (!view.isStandby)
      return Math.floor((holdable * (view.ownDemandPerSecond + base)) / totalWeight)
    // A standby instance gets a share for its own demand only, and no more than this demand needs
    // in `STANDBY_SECONDS`, because the directory sends it no new callers.
    const share = (holdable * view.ownDemandPerSecond) / totalWeight
    return Math.floor(Math.min(share, STANDBY_SECONDS * view.ownDemandPerSecond))
  }

  poolFloor(view: BudgetView): TokenCount {
    const total = Math.max(0, unspentTotal(view))
    return Math.floor(Math.min(POOL_FLOOR_SHARE * total, POOL_FLOOR_REQUESTS * view.largestRequest))
  }
}

/**
 * Returns how plentiful a budget is at the present demand: 0 up to `SCARCE_SECONDS` (it matters
 * which instances hold the tokens), 1 from `PLENTY_SECONDS` on (it does not matter), and linear in
 * between.
 */
export function budgetPlenty(view: BudgetView): number {
  const position = (secondsToExhaustion(view) - SCARCE_SECONDS) / (PLENTY_SECONDS - SCARCE_SECONDS)
  return Math.max(0, Math.min(1, position))
}

/**
 * Returns the seconds for which a budget will last at the present demand; infinite without demand.
 */
export function secondsToExhaustion(view: BudgetView): number {
  const demands = view.others.map(other => other.demandPerSecond)
  const demand = demands.reduce((left, right) => left + right, view.ownDemandPerSecond)
  return demand <= 0 ? Number.POSITIVE_INFINITY : unspentTotal(view) / demand
}

function unspentTotal(view: BudgetView): TokenCount {
  const others = view.others.reduce((sum, other) => sum + other.unspent, 0)
  return view.free + view.ownUnspent + others
}
