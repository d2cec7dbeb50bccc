/**
 * How long does a request wait for its budget, and when is a refused caller told to come back?
 *
 * A refusal that comes early can still be made good elsewhere; one that comes late costs the caller its goal. So others are
 * asked for a loan after a part of the goal.
 *
 * Load pattern: a fleet has just started, nobody holds anything, and all wait for the same writes. A refusal is made good
 * nowhere then, so a request waits on. Where the budget is used up for good there is no time to come back at.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Part of a route's goal that may pass before a refusal. */
const REFUSAL_SHARE = 0.2
/** The longest wait for the store and for loans: a loan that comes at all comes within it. */
const LONGEST_PATIENCE_MILLISECONDS = 120
/** Part of a route's goal, and of the time to the deadline, that may pass where nobody lends: the rest is the answer's. */
const LAST_SHARE = 0.8
/** The longest wait where nobody lends: a call to the store that takes longer has failed. */
const LAST_PATIENCE_MILLISECONDS: Milliseconds = 300
/** Where other instances hold the tokens: they may have given some by then. */
const RETURN_AFTER_SECONDS = 0.25
/** Callers are told hundredths of a second. */
const HUNDREDTHS = 100

/** The longest time for which a request may wait for tokens. */
export function budgetWaitLimit(goalMilliseconds: Milliseconds): Milliseconds {
  return Math.min(LONGEST_PATIENCE_MILLISECONDS, REFUSAL_SHARE * goalMilliseconds)
}

/**
 * The longest time for which a request waits for a write, its patience included, where the pool has the tokens and nobody
 * lends them: a refusal would send its caller to others that wait for the same store.
 */
export function extendedBudgetWaitLimit(
  goalMilliseconds: Milliseconds,
  remainingMilliseconds: Milliseconds,
): Milliseconds {
  const share = LAST_SHARE * Math.min(goalMilliseconds, remainingMilliseconds)
  const last = Math.min(LAST_PATIENCE_MILLISECONDS, share)
  return Math.min(remainingMilliseconds, Math.max(budgetWaitLimit(goalMilliseconds), last))
}

/**
 * Seconds after which a caller should come back; `waitMilliseconds` is when this instance may spend
 * the tokens by itself, undefined where it cannot tell.
 */
export function toRetryAfterSeconds(waitMilliseconds: Milliseconds | undefined): number {
  const wait = (waitMilliseconds ?? 0) / 1000
  return Math.max(RETURN_AFTER_SECONDS, Math.round(wait * HUNDREDTHS) / HUNDREDTHS)
}
