/**
 * Decides by how much a holding may differ from its target before tokens are moved.
 *
 * Load pattern: eight instances hold parts of two dozen budgets, and demand shifts a little between
 * them all the time. Each move changes the pool's row, on which every other move of that budget
 * depends, so without a tolerance half of the calls to the store would be writes that meet a
 * conflict while nothing else happens.
 *
 * Where tokens are held matters when a budget is nearly used up, and little while it lasts: each
 * holding then covers the demand of its instance through a cut. So the longer a budget lasts, the
 * larger the tolerance.
 *
 * Inputs: the view of the budget; the result is a share of the target.
 *
 * Limits: a holding that cannot cover a request is filled in any case, by the write that the
 * request waits for.
 */

import { exhaustionDistance } from '../admitting/spendingBound.js'
import { secondsToExhaustion } from './holdingPolicy.js'
import type { BudgetView } from './holdingPolicy.js'

/** Share of its target by which a holding may differ while the budget is nearly used up. */
const SCARCE_TOLERANCE = 0.12
/**
 * The same for a budget that lasts: each move changes the pool's row, and moves that conflict there
 * are repeated.
 */
const PLENTY_TOLERANCE = 0.4

/** Returns the share of its target by which a holding may differ from it. */
export function rebalanceTolerance(view: BudgetView): number {
  const share = exhaustionDistance(secondsToExhaustion(view))
  return SCARCE_TOLERANCE + (PLENTY_TOLERANCE - SCARCE_TOLERANCE) * share
}
