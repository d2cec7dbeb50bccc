/**
 * How many tokens does a record of a holding count as committed before anybody asks for them?
 *
 * Load pattern: requests are large beside what is spent in a second. A record allows its writer a rate until the next
 * one, and each record begins it anew, so just after a record a holding would refuse a request of a small part of its
 * tokens. While the store is slow it is worse: records come rarely, and requests that the holdings cover are refused.
 *
 * So a record counts a few requests of the size that callers make as committed already; they are served at once, and
 * the next record counts anew. It is taken back with the first record after callers have gone. The stored form
 * stays what it was: whoever takes a dead instance's holding over counts those tokens as spent.
 *
 * Limits: a death loses what is written ahead, so it is a small part of the holding, and nothing of a budget that is
 * nearly used up. Where a whole request is more than that, nothing is written: a part of one serves nobody.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { BudgetView } from '../placing/holdingPolicy.js'
import { secondsToExhaustion } from '../placing/holdingPolicy.js'
import { exhaustionDistance } from './spendingBound.js'

/** Requests that are written ahead. */
const REQUESTS_AHEAD = 1
/** Part of what is unspent that is written ahead at the most: a death loses it. */
const LARGEST_SHARE = 0.05
/** Demand below this, in tokens a second, is nobody's: rows round to whole tokens. */
const LEAST_DEMAND_PER_SECOND = 1

/** Tokens that a record counts as committed ahead, of so many that are unspent. */
export function precommittedTokens(unspent: TokenCount, view: BudgetView): TokenCount {
  if (view.ownDemandPerSecond < LEAST_DEMAND_PER_SECOND) return 0
  const most = LARGEST_SHARE * Math.max(0, unspent) * exhaustionDistance(secondsToExhaustion(view))
  const wanted = Math.ceil(REQUESTS_AHEAD * view.largestRequest)
  return wanted <= most ? wanted : 0
}
