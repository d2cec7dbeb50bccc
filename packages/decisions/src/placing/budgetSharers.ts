/**
 * Decides which instances share a budget with this one, and which of them it asks for tokens.
 *
 * Inputs: the instances that serve callers by the membership, the instances whose rows in the store
 * show demand for the budget, and the age of those rows in milliseconds.
 *
 * The membership shows only seconds later that callers have moved to a standby instance, and rows
 * that were read long ago do not show which instances hold tokens now. Both errors leave tokens at
 * instances whose callers do not ask for them.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * A holder whose row shows demand shares the budget for this long after the row was written: longer
 * than any time between two records, so that a late record does not end its share.
 */
const DEMAND_TTL_MILLISECONDS = 15_000
/**
 * An instance that holds nothing by rows older than this may hold something now; an active instance
 * reads the rows a few times in this span.
 */
const TRUSTED_ROWS_AGE_MILLISECONDS = 5_000

/**
 * Returns the store's time from which on the demand in a row counts; infinite before any time of
 * the store is known.
 */
export function demandValidSince(storeTime: Milliseconds | undefined): Milliseconds {
  return (storeTime ?? Number.POSITIVE_INFINITY) - DEMAND_TTL_MILLISECONDS
}

/**
 * Returns the other instances with which this one shares a budget: those that serve callers, and
 * those whose rows show demand. Without the latter, a team whose callers all come to a standby
 * instance would be refused tokens that the others hold.
 */
export function budgetSharers(
  serving: readonly string[],
  requesters: readonly string[],
): readonly string[] {
  return [...serving, ...requesters.filter(requester => !serving.includes(requester))]
}

/**
 * Returns the instances to ask for tokens, in this order. `knownHolders` are those that held tokens
 * when the rows were last read, the largest holding first. Where that was too long ago, as on an
 * instance that stood by until the store was out of reach, any other instance may hold tokens by
 * now.
 */
export function budgetLenders(
  knownHolders: readonly string[],
  sharers: readonly string[],
  rowsAge: Milliseconds | undefined,
): readonly string[] {
  if ((rowsAge ?? Number.POSITIVE_INFINITY) < TRUSTED_ROWS_AGE_MILLISECONDS) return knownHolders
  return [...knownHolders, ...sharers.filter(sharer => !knownHolders.includes(sharer))]
}
