/**
 * Decides how long a request waits for tokens of its budget, and after how many seconds a refused
 * caller should retry.
 *
 * Inputs: the route's goal for the first byte and the time left until the request's deadline, both
 * in milliseconds, and the time after which this instance may spend the tokens by itself.
 *
 * A caller that is refused early can still be served by another instance within its goal; one that
 * is refused late misses it. So a request waits for the store and for loans from other instances
 * only for a part of the goal.
 *
 * Load pattern: a fleet has just started, no instance holds tokens, and all of them wait for the
 * same writes. No other instance could serve a refused caller then, so the request waits longer
 * (`extendedBudgetWaitLimit`). A budget that is used up for good gets no retry time: there is no
 * time after which a retry would succeed.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Part of a route's goal that may pass before a refusal. */
const GOAL_SHARE = 0.2
/**
 * The longest wait for the store and for loans; a loan that is granted at all arrives within it.
 */
const MAXIMUM_WAIT_MILLISECONDS = 120
/**
 * Part of a route's goal, and of the time to the deadline, that may pass where no instance lends;
 * the rest is left for the answer.
 */
const EXTENDED_SHARE = 0.8
/** The longest wait where no instance lends; a call to the store that takes longer has failed. */
const MAXIMUM_EXTENDED_WAIT_MILLISECONDS: Milliseconds = 300
/**
 * The shortest retry time, for tokens that other instances hold: they may have released some by
 * then.
 */
const MINIMUM_RETRY_AFTER_SECONDS = 0.25
/** Retry times are rounded to hundredths of a second. */
const HUNDREDTHS_IN_SECOND = 100

/** Returns the longest time for which a request may wait for tokens. */
export function budgetWaitLimit(goalMilliseconds: Milliseconds): Milliseconds {
  return Math.min(MAXIMUM_WAIT_MILLISECONDS, GOAL_SHARE * goalMilliseconds)
}

/**
 * Returns the longest time for which a request waits for a write, `budgetWaitLimit` included, where
 * the pool has the tokens and no instance lends them: a refusal would send its caller to other
 * instances that wait for the same store.
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
 * Returns the seconds after which a caller should retry. `waitMilliseconds` is the time after which
 * this instance may spend the tokens by itself; undefined where it cannot tell.
 */
export function toRetryAfterSeconds(waitMilliseconds: Milliseconds | undefined): number {
  const wait = (waitMilliseconds ?? 0) / 1000
  return Math.max(
    MINIMUM_RETRY_AFTER_SECONDS,
    Math.round(wait * HUNDREDTHS_IN_SECOND) / HUNDREDTHS_IN_SECOND,
  )
}
