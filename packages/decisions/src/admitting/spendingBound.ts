/**
 * Decides how much an instance may spend of a holding (its part of a prepaid budget) by the row
 * that it last wrote, also while the store is out of reach (during a cut).
 *
 * The instance writes this bound into its row beforehand. The bound has two parts. In the strict
 * window, within which the store normally takes the next row, it allows a rate. Once the row is so
 * old that the store is evidently out of reach, it allows a burst and another rate, which together
 * stay within the holding. The strict window is shorter where the budget will soon be used up. The
 * instance never spends beyond the bound, counted from a time before the row was sent.
 *
 * Other instances cannot distinguish a row that is old because its writer was cut off from one
 * whose writer crashed. So what a cut may spend is also what a crash loses: the next incarnation
 * (run) of the instance counts the bound as spent up to its own start. For how the rates are set
 * see coordination/prepaid/writePlan.ts and disconnectedAllowance.ts. While the outcome of a write
 * is unknown, the smallest bound of all rows that may be in force applies
 * (coordination/prepaid/holdingState.ts).
 *
 * Inputs: the row's bound in tokens and tokens a second, and the milliseconds since its base time.
 * Without the bound, instances that are cut off or crash could together spend more than the budget.
 *
 * This module also decides the length of the strict window and how near a budget is to its end.
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
  /** Time after the base time from which on a cut is evident. */
  readonly cutAfterMilliseconds: Milliseconds
  /** Tokens allowed at once when a cut is evident. */
  readonly cutBurst: TokenCount
  /** Tokens a second that are added once a cut is evident. */
  readonly cutRate: number
  /**
   * Limit that the tokens allowed by burst and rate together approach and never reach. Where the
   * limit is undefined, the rate goes on up to `granted`.
   */
  readonly cutTokens?: TokenCount | undefined
}

/**
 * Returns the most tokens, in whole tokens, that may have been committed `elapsed` milliseconds
 * after the row's base time.
 */
export function committedBound(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const strictElapsed = Math.max(0, Math.min(elapsed, bound.strictMilliseconds))
  const growth =
    (bound.strictRate * strictElapsed) / 1000 + allowedWhileDisconnected(bound, elapsed)
  return Math.min(bound.granted, Math.floor(bound.committed + growth))
}

/**
 * Returns the tokens that burst and rate allow once a cut is evident; they approach `cutTokens`.
 */
function allowedWhileDisconnected(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const cutMilliseconds = elapsed - bound.cutAfterMilliseconds
  if (cutMilliseconds <= 0) return 0
  const steady = bound.cutBurst + (bound.cutRate * cutMilliseconds) / 1000
  const { cutTokens } = bound
  if (cutTokens === undefined) return steady
  return cutTokens > 0 ? cutTokens * (1 - Math.exp(-steady / cutTokens)) : 0
}

/**
 * Inverse of the approach to `cutTokens` in `allowedWhileDisconnected`: returns what burst and rate
 * would allow without that limit at the time at which they allow `tokens` with the limit; infinite
 * where they never allow so many.
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
 * Age in milliseconds from which on a row shows that its writer does not reach the store: while the
 * store answers, no row becomes so old.
 */
export const DISCONNECTED_AFTER_MILLISECONDS = 2_000
/**
 * Number of intervals between two records that the strict window covers at least, up to
 * `DISCONNECTED_AFTER_MILLISECONDS`: more than one, since the write that is due at the end of an
 * interval takes a part of the next.
 */
const COVERED_RECORD_INTERVALS = 1.5
/**
 * A budget that lasts no longer than this at the present demand is near exhaustion: callers would
 * miss the tokens that a crash hides for seconds, while tokens that cannot be spent during a cut
 * are spent after the cut.
 */
const NEAR_EXHAUSTION_SECONDS = 8
/** A budget that lasts at least this long is not near exhaustion: neither reason applies to it. */
const FAR_FROM_EXHAUSTION_SECONDS = 14

/**
 * Returns the length of the strict window of a row: how long its writer may go on spending before
 * it waits for the next row to be written, or for evidence of a cut. The window is longest for a
 * budget far from exhaustion. It is limited because all that a row allows after its writer's crash
 * counts as spent: machines that lost power for a second would cost their teams the tokens of a
 * second that no caller was given. `secondsLeft` is the time for which the budget lasts,
 * `recordMilliseconds` the interval between two records.
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
 * Returns how far a budget that lasts for `secondsLeft` is from exhaustion: 0 up to
 * `NEAR_EXHAUSTION_SECONDS`, 1 from `FAR_FROM_EXHAUSTION_SECONDS` on, and linear in between.
 */
export function exhaustionDistance(secondsLeft: number): number {
  const position =
    (secondsLeft - NEAR_EXHAUSTION_SECONDS) /
    (FAR_FROM_EXHAUSTION_SECONDS - NEAR_EXHAUSTION_SECONDS)
  return Math.max(0, Math.min(1, position))
}
