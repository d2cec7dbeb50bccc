/**
 * How much of a budget should an instance hold, and how much stays in the pool? Pure policies over a
 * view of the budget; the setting `budgets.policy` chooses one.
 */

import type { TokenCount } from '@rackwalk/shared'

/** What one instance knows about a budget when it decides how much of it to hold. */
export interface BudgetView {
  /** Tokens in the pool. */
  readonly free: TokenCount
  /** This instance's holding that nobody has spent or reserved. */
  readonly ownUnspent: TokenCount
  readonly ownDemandPerSecond: number
  /** Live instances other than this one; those without a holding count with zeros. */
  readonly others: readonly { readonly unspent: TokenCount; readonly demandPerSecond: number }[]
  /** Whether callers are sent elsewhere; then only what is asked for here is held. */
  readonly isStandby: boolean
  /** The largest request lately seen here. */
  readonly largestRequest: TokenCount
}

/** How much of a budget an instance should hold, and how much has to stay in the pool. */
export interface HoldingPolicy {
  /** Unspent tokens that this instance should hold. */
  target(view: BudgetView): TokenCount
  /** Tokens that stay in the pool, so that any instance can cover a large request from it. */
  poolFloor(view: BudgetView): TokenCount
}

/** The same for every instance, whatever the demand: the baseline for measurements. */
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
 * Share of the mean demand that every instance is given beyond its own, so that a shift of demand
 * finds tokens there.
 */
const BASE_SHARE = 0.35
/** The same while there is plenty: every instance can then take a shift of demand. */
const PLENTY_BASE_SHARE = 1
/**
 * A budget that lasts this many seconds at the present demand is scarce, and one that lasts
 * `PLENTY_SECONDS` is plentiful: a trade between calm days, which need tokens at hand, and days with deaths, which lose
 * those held.
 */
const SCARCE_SECONDS = 15
const PLENTY_SECONDS = 50
/** A standby instance holds at most what its callers ask for in this time. */
const STANDBY_SECONDS = 40
/** The pool keeps this many largest requests, but not more than a share of what is unspent. */
const FLOOR_REQUESTS = 2
const FLOOR_SHARE = 0.25

/**
 * Holdings follow demand. While there is plenty nearly all of a budget is held, so that an instance
 * that is cut off from the store refuses no request; towards the end of a budget a growing part
 * stays in the pool, where any instance reaches it with one transaction.
 */
export class DemandHoldingPolicy implements HoldingPolicy {
  target(view: BudgetView): TokenCount {
    const total = unspentTotal(view)
    const holdable = Math.max(0, total - this.poolFloor(view))
    const demands = view.others.map(other => other.demandPerSecond)
    const sum = demands.reduce((left, right) => left + right, view.ownDemandPerSecond)
    const count = view.others.length + 1
    const evenness = BASE_SHARE + (PLENTY_BASE_SHARE - BASE_SHARE) * budgetPlenty(view)
    const base = sum > 0 ? (evenness * sum) / count : 1
    const whole = sum + base * count
    if (!view.isStandby) return Math.floor((holdable * (view.ownDemandPerSecond + base)) / whole)
    // A standby instance gets a share of observed demand only, and 40 s of it at most, because the
    // directory sends it no new callers.
    const share = (holdable * view.ownDemandPerSecond) / whole
    return Math.floor(Math.min(share, STANDBY_SECONDS * view.ownDemandPerSecond))
  }

  poolFloor(view: BudgetView): TokenCount {
    const total = Math.max(0, unspentTotal(view))
    return Math.floor(Math.min(FLOOR_SHARE * total, FLOOR_REQUESTS * view.largestRequest))
  }
}

/**
 * How long a budget will last at the present demand, from 0 (scarce: where its tokens are held
 * matters) to 1 (plentiful: it does not).
 */
export function budgetPlenty(view: BudgetView): number {
  const position = (secondsToExhaustion(view) - SCARCE_SECONDS) / (PLENTY_SECONDS - SCARCE_SECONDS)
  return Math.max(0, Math.min(1, position))
}

/** Seconds for which a budget will last at the present demand; infinite where there is none. */
export function secondsToExhaustion(view: BudgetView): number {
  const demands = view.others.map(other => other.demandPerSecond)
  const demand = demands.reduce((left, right) => left + right, view.ownDemandPerSecond)
  return demand <= 0 ? Number.POSITIVE_INFINITY : unspentTotal(view) / demand
}

function unspentTotal(view: BudgetView): TokenCount {
  const others = view.others.reduce((sum, other) => sum + other.unspent, 0)
  return view.free + view.ownUnspent + others
}
