/**
 * Decides how many tokens a record of a holding counts as committed before any request asks for
 * them.
 *
 * Load pattern: requests are large beside what is spent in a second. A record allows its writer a
 * rate until the next record, and each record starts the rate anew, so just after a record a
 * holding would refuse a request for a small part of its tokens. While the store is slow this is
 * worse: records are rare, and requests that the holdings cover are refused.
 *
 * So a record counts a request of the size that callers send as already committed. Such a request
 * is served at once, and the next record counts anew. The first record after callers have gone
 * takes the tokens back. The stored form of a record is unchanged: an instance that takes over the
 * holding of a crashed one counts those tokens as spent.
 *
 * Inputs: the unspent tokens of the holding and the view of its budget.
 *
 * Limits: a crash loses the precommitted tokens, so they are a small part of the holding, and none
 * of a budget that is nearly used up. Where a whole request is larger than that part, nothing is
 * precommitted: a part of a request serves no caller.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { BudgetView } from '../placing/holdingPolicy.js'
import { secondsToExhaustion } from '../placing/holdingPolicy.js'
import { exhaustionDistance } from './spendingBound.js'

/** Number of largest requests that are precommitted. */
const PRECOMMITTED_REQUESTS = 1
/** Largest part of the unspent tokens that is precommitted; a crash loses them. */
const MAXIMUM_SHARE = 0.05
/** Demand below this, in tokens a second, comes from no caller: rows round to whole tokens. */
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
