/**
 * Decides how many tokens a holder's row allows its writer to spend while the store is out of
 * reach. A holding is the part of a prepaid budget that an instance may spend without a call to the
 * store; the cut is the time for which its holder does not reach the store.
 *
 * Load pattern: all instances are cut off from the store for seconds, callers go on sending
 * requests, and then all instances crash. No instance is left that knows what was spent, so
 * everything that the rows allowed counts as spent. If a row allowed its whole holding within
 * seconds, whatever the demand, a cut of ten seconds would use up every budget completely.
 *
 * So the allowance follows demand: its rate is a multiple of the demand, and its sum approaches a
 * part of the holding. What a crash loses is bounded by the demand as well, however long the cut
 * lasts, and a part of each holding is never lost.
 *
 * Inputs: the view of the budget, the unspent tokens of the holding and the tokens that its row
 * allows in the strict window (`spendingBound.ts`), before the cut is evident. Output: a burst in
 * tokens, a rate in tokens a second and a limit in tokens.
 *
 * Limits: the multiple covers demand that grows during a cut or moves to this holder. A holding
 * without demand gets a slow rate, since callers may move to its holder. The part of a holding that
 * its row does not allow stays unspent until the store returns; the requests that are refused
 * because of that during a cut can use these tokens after the cut.
 */

import type { TokenCount } from '@rackwalk/shared'
import { budgetPlenty } from '../placing/holdingPolicy.js'
import type { BudgetView } from '../placing/holdingPolicy.js'

/** What a row allows its writer to spend beyond its strict window. */
export interface DisconnectedAllowance {
  /** Tokens allowed at once when the cut becomes evident. */
  readonly cutBurst: TokenCount
  /** Tokens a second that are added once the cut is evident. */
  readonly cutRate: number
  /** Limit that the tokens allowed by burst and rate together approach and never reach. */
  readonly cutTokens: TokenCount
}

/** Factor on the demand at the time at which the row is written. */
const DEMAND_FACTOR = 3
/** Seconds in which a holding would be spent at the lowest rate, which is that of no demand. */
const IDLE_HOLDING_SECONDS = 60
/**
 * Largest part of the unspent tokens that a row allows until the next row, strict window included.
 */
const LARGEST_SHARE = 0.75
/** How many requests of the largest size may be committed at once while tokens are plentiful. */
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
