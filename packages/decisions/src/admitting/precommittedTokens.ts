/**
 * Decides how many tokens a record of a holding counts as committed before any request asks for
 * them. A record is the row in which an instance states what it has committed of its holding, its
 * part of a prepaid budget.
 *
 * Load pattern: requests are large compared with what is spent in a second. A record allows its
 * writer a rate until the next record, and each record starts the rate anew. So just after a
 * record, a holding would refuse a request that needs only a small part of its tokens. While the
 * store is slow, records are rare and more requests that the holdings cover are refused.
 *
 * So a record counts one request, as large as the largest that this instance has seen lately, as
 * already committed. Such a request is served at once, and the next record adds the same again. The
 * first record after the demand has ended takes the tokens back. The stored form of a record does
 * not change: an instance that takes over the holding of a crashed one counts those tokens as
 * spent.
 *
 * Inputs: the unspent tokens of the holding and the view of its budget.
 *
 * Limits: a crash loses the precommitted tokens, so they are a small part of the holding, and none
 * while the budget is nearly used up. Where a whole request is larger than that part, nothing is
 * precommitted: a part of a request serves no caller.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { BudgetView } from '../placing/holdingPolicy.js'
import { secondsToExhaustion } from '../placing/holdingPolicy.js'
import { exhaustionDistance } from './spendingBound.js'

/** How many requests of the largest size are precommitted. */
const PRECOMMITTED_REQUESTS = 1
/** Largest part of the unspent tokens that is precommitted; a crash loses these tokens. */
const MAXIMUM_SHARE = 0.05
/** Demand below this, in tokens a second, is no demand of callers: rows round to whole tokens. */
const MINIMUM_DEMAND_PER_SECOND = 1

/**
 * Returns the tokens that a record of a holding with `unspent` tokens counts as committed in
 * advance.
 */
export function precommittedTokens(unspent: TokenCount, view: BudgetView): TokenCount {
  if (view.ownDemandPerSecond < MINIMUM_DEMAND_PER_SECOND) return 0
  const most = MAXIMUM_SHARE * Math.max(0, unspent) * exhaustionDistance(secondsToExhaustion(view))
  const wanted = Math.ceil(PRECOMMITTED_REQUESTS * view.largestRequest)
  return wanted <= most ? wanted : 0
}
