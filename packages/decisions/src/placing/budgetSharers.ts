/**
 * Decides which other instances share a prepaid budget with this one, and which of them it asks for
 * tokens.
 *
 * Inputs: the instances that serve callers according to the list of members, the instances whose
 * rows in the store show demand for the budget, and the age of those rows in milliseconds.
 *
 * The list of members shows only seconds later that callers have moved to a standby instance, and
 * rows that were read long ago do not show which instances hold tokens now. In both cases, without
 * these rules, tokens would stay at instances whose callers do not ask for them, while other
 * instances refuse requests.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * Time in milliseconds after a row was written for which its holder shares the budget, if the row
 * shows demand. The time is longer than any interval between two records of a holding, so that a
 * late record does not end the holder's share.
 */
const DEMAND_TTL_MILLISECONDS = 15_000
/**
 * Age in milliseconds from which on rows are not trusted to show all holders: an instance without a
 * holding in them may hold tokens now. An active instance reads the rows a few times in this time.
 */
const TRUSTED_ROWS_AGE_MILLISECONDS = 5_000

/**
 * Returns the time by the store's clock from which on a row has to be written for its demand to
 * count; infinite, so that no row counts, before any time of the store is known.
 */
export function demandValidSince(storeTime: Milliseconds | undefined): Milliseconds {
  return (storeTime ?? Number.POSITIVE_INFINITY) - DEMAND_TTL_MILLISECONDS
}

/**
 * Returns the other instances with which this one shares a budget: `serving`, which serve callers,
 * and `requesters`, whose rows show demand. Without the latter, a team whose callers all come to a
 * standby instance would be refused although other instances hold tokens of its budget.
 */
export function budgetSharers(
  serving: readonly string[],
  requesters: readonly string[],
): readonly string[] {
  return [...serving, ...requesters.filter(requester => !serving.includes(requester))]
}

/**
 * Returns the instances to ask for tokens, in this order. `knownHolders` are those that held tokens
 * when the rows were last read, the largest holding first. Where the rows were never read or are
 * too old, any other sharer may hold tokens now and is asked as well. This happens on an instance
 * that was on standby until the store was out of reach.
 */
export function budgetLenders(
  knownHolders: readonly string[],
  sharers: readonly string[],
  rowsAge: Milliseconds | undefined,
): readonly string[] {
  if ((rowsAge ?? Number.POSITIVE_INFINITY) < TRUSTED_ROWS_AGE_MILLISECONDS) return knownHolders
  return [...knownHolders, ...sharers.filter(sharer => !knownHolders.includes(sharer))]
}
