/**
 * Decides how often an instance records what it has spent of a holding, its part of a prepaid
 * budget.
 *
 * Load pattern: hundreds of instances, dozens of budgets, and a dozen instances that hold tokens.
 * Spending that is not recorded is lost at a crash and unknown to other instances, so records are
 * written as often as the store accepts them from all holders together. If all serving instances
 * counted as holders, each holding would be recorded too rarely. The tokens that a refused caller
 * needs would then be at instances whose rows are seconds old.
 *
 * Inputs: the numbers of recorded holdings, and the writes a second that the store accepts; the
 * result is in milliseconds.
 *
 * Limits: all records together use a part of the store's writes, and those of one budget a part of
 * what the budget's partition of the store accepts. The rest is for requests that cannot be covered
 * without a write.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Numbers of holdings that all instances together record. */
export interface RecordedHoldings {
  /** Holdings of all budgets. */
  readonly inAll: number
  /** Holdings of the budget that is held by the largest number of instances. */
  readonly inOneBudget: number
}

/** Writes a second that the store accepts, in all and for one partition; from the settings. */
export interface RecordBounds {
  readonly writesPerSecond: number
  readonly partitionWritesPerSecond: number
}

/** Shortest time in milliseconds between two records of one holding. */
const SHORTEST_RECORD_MILLISECONDS = 500
/** Share of the writes, of the store and of each partition, that periodic records may take. */
const RECORD_SHARE = 0.3

/** Returns the time between two records of one holding. */
export function recordInterval(holdings: RecordedHoldings, bounds: RecordBounds): Milliseconds {
  const { writesPerSecond, partitionWritesPerSecond } = bounds
  const fleetInterval = (holdings.inAll * 1000) / (RECORD_SHARE * writesPerSecond)
  const budgetInterval = (holdings.inOneBudget * 1000) / (RECORD_SHARE * partitionWritesPerSecond)
  return Math.max(SHORTEST_RECORD_MILLISECONDS, fleetInterval, budgetInterval)
}
