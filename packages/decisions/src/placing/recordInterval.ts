/**
 * How often does an instance record what it spent of a holding?
 *
 * Load pattern: hundreds of instances, dozens of budgets, and a dozen instances that hold tokens. What is
 * not recorded is hidden at a death and unknown to the others, so records come as often as the store
 * takes them from all holders together. Reckoned by all instances that serve anybody, a holding would be
 * recorded so rarely that the tokens which a refused caller wants lie with others whose rows are seconds old.
 *
 * Limits: all records together take part of the store's writes, those of one budget part of what its
 * partition takes; the rest is for requests that cannot be covered without a write.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Holdings that are recorded, by all instances together. */
export interface RecordedHoldings {
  readonly inAll: number
  /** Of the budget that most instances hold. */
  readonly inOneBudget: number
}

/** Writes a second that the store takes, in all and for one partition; from the settings. */
export interface RecordBounds {
  readonly writesPerSecond: number
  readonly partitionWritesPerSecond: number
}

/** Least time between two records of one holding. */
const SHORTEST_RECORD_MILLISECONDS = 500
/** Share of the store's writes that periodic records may take. */
const RECORD_SHARE = 0.3

/** Time between two records of one holding. */
export function recordInterval(holdings: RecordedHoldings, bounds: RecordBounds): Milliseconds {
  const { writesPerSecond, partitionWritesPerSecond } = bounds
  const all = (holdings.inAll * 1000) / (RECORD_SHARE * writesPerSecond)
  const one = (holdings.inOneBudget * 1000) / (RECORD_SHARE * partitionWritesPerSecond)
  return Math.max(SHORTEST_RECORD_MILLISECONDS, all, one)
}
