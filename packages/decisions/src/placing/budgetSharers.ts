/**
 * Who shares a budget with this instance, and whom may it ask for tokens?
 *
 * Membership tells who serves callers, but seconds late of callers that come to an instance which
 * stands by, and rows seen long ago tell nothing of who holds tokens now. Both errors leave tokens
 * where nobody asks for them.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * A holder whose row tells of demand shares the budget for this long after the row was written: longer than any time
 * between two records, so that a late record takes nothing from it.
 */
const ASKING_MILLISECONDS = 15_000
/** Who holds nothing by rows seen longer ago may hold something now: some reads of an active one. */
const TRUSTED_SIGHT_MILLISECONDS = 5_000

/** The time of the store from which on a row's demand counts; infinite before any time is known. */
export function demandValidSince(storeTime: Milliseconds | undefined): Milliseconds {
  return (storeTime ?? Number.POSITIVE_INFINITY) - ASKING_MILLISECONDS
}

/**
 * The other instances with which this one shares a budget: those that serve callers, and those whose
 * rows tell of demand. Without the latter a team whose callers all come to an instance that stands by
 * would be refused what the others hold.
 */
export function budgetSharers(
  working: readonly string[],
  askers: readonly string[],
): readonly string[] {
  return [...working, ...askers.filter(asker => !working.includes(asker))]
}

/**
 * Instances to ask for tokens, in this order: `known` are those that hold some as last seen, the most
 * first. Where that was too long ago, as on an instance that stood by until the store went away,
 * any other may hold some by now.
 */
export function budgetLenders(
  known: readonly string[],
  sharers: readonly string[],
  sightAge: Milliseconds | undefined,
): readonly string[] {
  if ((sightAge ?? Number.POSITIVE_INFINITY) < TRUSTED_SIGHT_MILLISECONDS) return known
  return [...known, ...sharers.filter(sharer => !known.includes(sharer))]
}
