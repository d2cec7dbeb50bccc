/**
 * Decides how often an instance records what it has spent of a holding.
 *
 * Load pattern: hundreds of instances, dozens of budgets, and a dozen instances that hold tokens.
 * Spending that is not recorded is lost at a crash and unknown to other instances, so records are
 * written as often as the store accepts them from all holders together. If all serving instances
 * counted as holders, a holding would be recorded so rarely that the tokens which a refused caller
 * needs would be at instances whose rows are seconds old.
 *
 * Inputs: the numbers of recorded holdings, and the writes a second that the store accepts; the
 * result is in milliseconds.
 *
 * Limits: all records together use a part of the store's writes, and those of one budget a part of
 * what its partition accepts. The rest is for requests that cannot be covered without a write.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Numbers of holdings that all instances together record. */
export interface RecordedHoldings {
  readonly inAll: number
  /** Holdings of the budget that the most instances hold. */
  readonly inOneBudget: number
}

/** Writes a second that the store accepts, in all and for one partition; from the settings. */
export interface RecordBounds {
  readonly writesPerSecond: number
  readonly partitionWritesPerSecond: number
}

/** Shortest time between two records of one holding. */
const SHORTEST_RECORD_MILLISECONDS = 500
/** Share of the store's writes that periodic records may take. */
const RECORD_SHARE = 0.3

/** Returns the time between two records of one holding. */
export function recordInterval(holdings: RecordedHoldings, bounds: RecordBounds): Milliseconds {
  const { writesPerSecond, partitionWritesPerSecond } = bounds
  const fleetInterval = (holdings.inAll * 1000) / (RECORD_SHARE * writesPerSecond)
  const budgetInterval = (holdings.inOneBudget * 1000) / (RECORD_SHARE * partitionWritesPerSecond)
  return Math.max(SHORTEST_RECORD_MILLISECONDS, fleetInterval, budgetInterval)
}
