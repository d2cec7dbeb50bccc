/**
 * By how much may a holding be off its target before tokens are moved?
 *
 * Load pattern: eight instances hold parts of two dozen budgets, and callers' demand shifts a little between them all
 * the time. Each move changes the pool's row, on which every other move of that budget rests, so in calm seconds half
 * of the calls to the store would be writes that meet a conflict.
 *
 * Where tokens lie matters when a budget is nearly used up, and little while it lasts: each holding then covers
 * what its instance is asked for through a cut. So the more a budget lasts, the less is moved.
 *
 * Limits: a holding that cannot cover what is asked for is filled in any case, by the write that a request waits for.
 */

import { exhaustionDistance } from '../admitting/spendingBound.js'
import { secondsToExhaustion } from './holdingPolicy.js'
import type { BudgetView } from './holdingPolicy.js'

/** Share of its target by which a holding of a budget that is nearly used up may be off. */
const SCARCE_TOLERANCE = 0.12
/** The same for a budget that lasts: each move changes the pool's row, and moves that meet there are made again. */
const LASTING_TOLERANCE = 0.4

/** Share of its target by which a holding may be off. */
export function rebalanceTolerance(view: BudgetView): number {
  const share = exhaustionDistance(secondsToExhaustion(view))
  return SCARCE_TOLERANCE + (LASTING_TOLERANCE - SCARCE_TOLERANCE) * share
}
