/**
 * Decides how many tokens a holder's row allows its writer to spend while the store is out of
 * reach.
 *
 * Load pattern: all instances are cut off from the store for seconds, callers go on sending
 * requests, and then all instances crash. No instance is left that knows what was spent, so
 * everything that the rows allowed counts as spent. If a row allowed its whole holding within
 * seconds, whatever the demand, a cut of ten seconds would use up every budget whole.
 *
 * So the allowance follows demand: its rate is a multiple of the demand, and the total approaches a
 * part of the holding. What a crash loses follows demand as well, whatever the length of the cut,
 * and the last part of a holding is never lost.
 *
 * Inputs: the view of the budget, the unspent tokens of the holding and the tokens that its row
 * allows in the strict window, before the cut is evident. Output: a burst in tokens, a rate in
 * tokens a second and a limit in tokens.
 *
 * Limits: the multiple covers demand that grows during a cut or moves to another holder. A holding
 * without demand gets a slow rate of its own, since callers may move to it. The part of a holding
 * that no cut allows stays unspent until the store returns: requests that are refused for it during
 * a cut can use its tokens afterwards.
 */

import type { TokenCount } from '@rackwalk/shared'
import { budgetPlenty } from '../placing/holdingPolicy.js'
import type { BudgetView } from '../placing/holdingPolicy.js'

/** What a row allows beyond its strict window. */
export interface DisconnectedAllowance {
  /** Tokens allowed at once when the cut becomes evident. */
  readonly cutBurst: TokenCount
  /** Tokens a second from then on. */
  readonly cutRate: number
  /** Limit that burst and rate together approach and never reach. */
  readonly cutTokens: TokenCount
}

/** Factor on the demand at the time at which the row is written. */
const DEMAND_FACTOR = 3
/** Seconds in which a holding without demand would be spent at its initial rate. */
const IDLE_HOLDING_SECONDS = 60
/** Largest part of a holding that a row allows until the next row. */
const LARGEST_SHARE = 0.75
/** Number of largest requests that may be committed at once while tokens are plentiful. */
const BURST_REQUESTS = 2

/**
 * Returns the allowance of a holding with `unspent` tokens, of which the strict window allows
 * `strictTokens`.
 */
export function disconnectedAllowance(
  view: BudgetView,
  unspent: TokenCount,
  strictTokens: TokenCount,
): DisconnectedAllowance {
  const cutTokens = Math.max(0, LARGEST_SHARE * unspent - strictTokens)
  const burst = budgetPlenty(view) * BURST_REQUESTS * view.largestRequest
  const rate = Math.max(DEMAND_FACTOR * view.ownDemandPerSecond, unspent / IDLE_HOLDING_SECONDS)
  return {
    cutBurst: Math.floor(Math.min(cutTokens / 2, burst)),
    cutRate: Math.ceil(rate),
    cutTokens: Math.floor(cutTokens),
  }
}
