/**
 * Decides how long a request waits for tokens of its prepaid budget, and after how many seconds a
 * refused caller should retry.
 *
 * Inputs: the route's goal for the first byte and the time left until the request's deadline, both
 * in milliseconds, and the time in milliseconds after which this instance expects to be able to
 * serve the caller.
 *
 * A caller that is refused early can still be served by another instance within the goal; one that
 * is refused late cannot. So a request waits only for a part of the goal for the store, and for
 * tokens that other instances lend.
 *
 * Load pattern: a fleet has just started, no instance holds tokens, and all of them wait for the
 * same writes to the store. No other instance could serve a refused caller, so the request waits
 * longer (`extendedBudgetWaitLimit`).
 *
 * A caller whose budget is used up for good is given no retry time, since no retry would succeed.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Part of a route's goal for which a request may wait; the rest is left for another instance. */
const GOAL_SHARE = 0.2
/**
 * The longest wait for the store and for loans in milliseconds; a loan that is granted at all
 * arrives within this time.
 */
const MAXIMUM_WAIT_MILLISECONDS = 120
/**
 * Part of a route's goal or, if that is shorter, of the time to the deadline for which a request
 * may wait where no instance lends; the rest is left for the answer.
 */
const EXTENDED_SHARE = 0.8
/** The longest wait where no instance lends; a call to the store that takes longer has failed. */
const MAXIMUM_EXTENDED_WAIT_MILLISECONDS: Milliseconds = 300
/**
 * The shortest retry time, also given where the wait is unknown: other instances that hold tokens
 * may have released some by then.
 */
const MINIMUM_RETRY_AFTER_SECONDS = 0.25
/** Retry times are rounded to hundredths of a second. */
const HUNDREDTHS_IN_SECOND = 100

/**
 * Returns the longest time for which a request may wait for tokens that other instances may lend.
 */
export function budgetWaitLimit(goalMilliseconds: Milliseconds): Milliseconds {
  return Math.min(MAXIMUM_WAIT_MILLISECONDS, GOAL_SHARE * goalMilliseconds)
}

/**
 * Returns the longest time for which a request waits for a write to the store, where the pool has
 * the tokens and no instance lends them: a refusal would send the caller to other instances that
 * wait for the same store. The time includes `budgetWaitLimit` and does not pass the deadline.
 */
export function extendedBudgetWaitLimit(
  goalMilliseconds: Milliseconds,
  remainingMilliseconds: Milliseconds,
): Milliseconds {
  const share = EXTENDED_SHARE * Math.min(goalMilliseconds, remainingMilliseconds)
  const extended = Math.min(MAXIMUM_EXTENDED_WAIT_MILLISECONDS, share)
  return Math.min(remainingMilliseconds, Math.max(budgetWaitLimit(goalMilliseconds), extended))
}

/**
 * Returns the seconds after which a refused caller should retry, rounded to hundredths.
 * `waitMilliseconds` is the time after which this instance expects to be able to serve the caller,
 * for example to have the tokens; undefined where that is not known.
 */
export function toRetryAfterSeconds(waitMilliseconds: Milliseconds | undefined): number {
  const wait = (waitMilliseconds ?? 0) / 1000
  return Math.max(
    MINIMUM_RETRY_AFTER_SECONDS,
    Math.round(wait * HUNDREDTHS_IN_SECOND) / HUNDREDTHS_IN_SECOND,
  )
}
