/**
 * Decides how much of a budget an instance may spend while the store is out of reach.
 *
 * The instance writes its bound into its row beforehand: a rate for the strict window, in which the
 * store normally takes the next row; then, once the store is evidently out of reach, a burst and
 * another rate, which run out before the holding does. The strict window is shorter where the
 * budget will soon be used up. The instance never spends beyond the bound, counted from before the
 * row was sent.
 *
 * Other instances cannot tell whether a row is old because its writer was cut off or because it
 * crashed. So what a cut may spend is also what a crash loses: the next incarnation counts the
 * bound as spent up to its own start. For how the rates are set see
 * coordination/prepaid/writePlan.ts and disconnectedAllowance.ts. While the outcome of a write is
 * unknown, the smallest bound of all rows that may be in force applies
 * (coordination/prepaid/holdingState.ts).
 *
 * Inputs: the row's bound in tokens and tokens a second, and the milliseconds since its base time.
 * Without the bound, instances that are cut off or crash could together spend more than the budget.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** What a row allows its writer, from the row's base time on. */
export interface SpendingBound {
  /** Tokens held; no more than these may ever be committed. */
  readonly granted: TokenCount
  /** Tokens spent or reserved when the row was written. */
  readonly committed: TokenCount
  /** Tokens a second beyond `committed` within the strict window. */
  readonly strictRate: number
  /** Length of the strict window, after which no more is allowed until a cut is evident. */
  readonly strictMilliseconds: Milliseconds
  /** Time after the base time at which a cut is evident. */
  readonly cutAfterMilliseconds: Milliseconds
  /** Tokens allowed at once when a cut is evident. */
  readonly cutBurst: TokenCount
  /** Tokens a second from then on. */
  readonly cutRate: number
  /** Limit that burst and rate together approach and never reach; without it the rate goes on. */
  readonly cutTokens?: TokenCount | undefined
}

/**
 * Returns the most tokens that may have been committed `elapsed` milliseconds after the row's base
 * time.
 */
export function committedBound(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const strictElapsed = Math.max(0, Math.min(elapsed, bound.strictMilliseconds))
  const growth =
    (bound.strictRate * strictElapsed) / 1000 + allowedWhileDisconnected(bound, elapsed)
  return Math.min(bound.granted, Math.floor(bound.committed + growth))
}

/** Returns the tokens that burst and rate of a cut allow, which approach `cutTokens`. */
function allowedWhileDisconnected(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const cutMilliseconds = elapsed - bound.cutAfterMilliseconds
  if (cutMilliseconds <= 0) return 0
  const steady = bound.cutBurst + (bound.cutRate * cutMilliseconds) / 1000
  const { cutTokens } = bound
  if (cutTokens === undefined) return steady
  return cutTokens > 0 ? cutTokens * (1 - Math.exp(-steady / cutTokens)) : 0
}

/**
 * Inverse of the approach to `cutTokens`: returns what burst and rate would allow without that
 * limit when they allow `tokens` with it; infinite where they never do.
 */
function toSteadyTokens(tokens: TokenCount, cutTokens: TokenCount | undefined): TokenCount {
  if (cutTokens === undefined) return tokens
  return tokens < cutTokens ? -cutTokens * Math.log(1 - tokens / cutTokens) : Infinity
}

/**
 * Returns the time after the row's base time at which the bound reaches `committed`; undefined
 * where it never does.
 */
export function timeUntilCommitted(
  bound: SpendingBound,
  committed: TokenCount,
): Milliseconds | undefined {
  if (committed > bound.granted) return undefined
  const missing = committed - bound.committed
  const strictTokens = (bound.strictRate * bound.strictMilliseconds) / 1000
  if (missing <= strictTokens) return missing <= 0 ? 0 : (missing * 1000) / bound.strictRate
  const beyond = toSteadyTokens(missing - strictTokens, bound.cutTokens) - bound.cutBurst
  if (beyond <= 0) return bound.cutAfterMilliseconds + 1
  if (bound.cutRate <= 0 || !Number.isFinite(beyond)) return undefined
  return bound.cutAfterMilliseconds + (beyond * 1000) / bound.cutRate
}

/**
 * A row of this age shows that the store is out of reach: while the store answers, no row is older.
 */
export const DISCONNECTED_AFTER_MILLISECONDS = 2_000
/**
 * Intervals between two records that the strict window covers at least: a write that is due takes a
 * part of one.
 */
const COVERED_RECORD_INTERVALS = 1.5
/**
 * A budget that will be used up within `NEAR_EXHAUSTION_SECONDS` lacks the tokens that a crash
 * hides for seconds, and spends later the tokens that a cut refuses. One that lasts
 * `FAR_FROM_EXHAUSTION_SECONDS` does neither.
 */
const NEAR_EXHAUSTION_SECONDS = 8
const FAR_FROM_EXHAUSTION_SECONDS = 14

/**
 * Returns how long an instance may go on spending by a row before it waits for the next one, or for
 * evidence of a cut. All that a row allows after its writer's crash counts as spent: machines that
 * lost power for a second would cost their teams a second's tokens that no caller was given.
 */
export function strictWindowMilliseconds(
  secondsLeft: number,
  recordMilliseconds: Milliseconds,
): Milliseconds {
  const least = Math.min(
    DISCONNECTED_AFTER_MILLISECONDS,
    COVERED_RECORD_INTERVALS * recordMilliseconds,
  )
  return Math.round(
    least + exhaustionDistance(secondsLeft) * (DISCONNECTED_AFTER_MILLISECONDS - least),
  )
}

/**
 * Returns how far a budget is from being used up so soon that hidden tokens are missed: 0 (soon) to
 * 1.
 */
export function exhaustionDistance(secondsLeft: number): number {
  const position =
    (secondsLeft - NEAR_EXHAUSTION_SECONDS) /
    (FAR_FROM_EXHAUSTION_SECONDS - NEAR_EXHAUSTION_SECONDS)
  return Math.max(0, Math.min(1, position))
}
