/**
 * Decides by how much a holding (the part of a budget that an instance holds) may differ from its
 * target before tokens are moved between the holding and the budget's pool.
 *
 * Load pattern: eight instances hold parts of two dozen budgets, and demand shifts a little between
 * them all the time. Each move changes the pool's row, on which every other move of that budget
 * depends. Without a tolerance, half of the calls to the store would be writes that fail with a
 * conflict, even when no request needs a move.
 *
 * Where tokens are held matters when a budget is nearly used up, and little while it lasts: each
 * holding then covers its instance's demand while the store is out of reach. So the tolerance is
 * lowest for a budget that lasts up to 8 s at the present demand, grows linearly up to 14 s, and is
 * the same for all budgets that last longer (`exhaustionDistance`).
 *
 * Inputs: the view of the budget; the result is a share of the target. A holding that is below its
 * target by more than this share is filled. A holding above its target gives tokens back at a
 * difference of more than twice this share, or of more than this share while the pool is nearly
 * empty or other instances lack tokens (coordination/prepaid/writePlan.ts).
 *
 * Limits: the tolerance never delays a request. A holding that cannot cover a request is filled
 * whatever the tolerance, by the write for which the request waits.
 */

import { exhaustionDistance } from '../admitting/spendingBound.js'
import { secondsToExhaustion } from './holdingPolicy.js'
import type { BudgetView } from './holdingPolicy.js'

/** Share of its target by which a holding may differ while the budget is near exhaustion. */
const LOWEST_TOLERANCE = 0.12
/**
 * The same share while the budget is far from exhaustion. The value is larger because each move
 * changes the pool's row, and moves that conflict on that row have to be repeated.
 */
const HIGHEST_TOLERANCE = 0.4

/** Returns the share of its target by which a holding may differ from it. */
export function rebalanceTolerance(view: BudgetView): number {
  const distance = exhaustionDistance(secondsToExhaustion(view))
  return LOWEST_TOLERANCE + (HIGHEST_TOLERANCE - LOWEST_TOLERANCE) * distance
}
