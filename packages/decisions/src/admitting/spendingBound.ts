/**
 * How much of a budget may an instance spend while the store is away?
 *
 * The instance wrote its bound into its row before: a rate for the first time, in which the store
 * normally takes the next row, then a burst and another rate from when the store is evidently out
 * of reach, which run out before the holding does. The first time is shorter where the budget will
 * soon be used up. The instance never goes beyond the bound, counted from before the row was sent.
 * Whether a row is old because its writer was cut off or because it died cannot be told, so what a
 * cut may spend is also what a death loses: the next incarnation counts the bound as spent up to its
 * own start. How the rates are set: coordination/prepaid/writePlan.ts and cutAllowance.ts. While the
 * outcome of a write is unknown, the smallest bound of all rows that may be in force holds
 * (coordination/prepaid/holdingState.ts).
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** What a row allows its writer, from its base time on. */
export interface SpendingBound {
  /** Tokens held; nothing beyond them may ever be committed. */
  readonly granted: TokenCount
  /** Handed out or reserved when the row was written. */
  readonly committed: TokenCount
  /** Tokens a second beyond `committed` in the first time, */
  readonly strictRate: number
  /** which is so long; then no more until a cut is evident, */
  readonly strictMilliseconds: Milliseconds
  /** which is at this time; */
  readonly cutAfterMilliseconds: Milliseconds
  /** from then on, so many at once, */
  readonly cutBurst: TokenCount
  /** and so many a second, */
  readonly cutRate: number
  /** ever fewer, so that burst and rate never come to this; without it they run on. */
  readonly cutTokens?: TokenCount | undefined
}

/** The most that may have been committed, `elapsed` milliseconds after the row's base time. */
export function committedBound(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const strict = Math.max(0, Math.min(elapsed, bound.strictMilliseconds))
  const growth = (bound.strictRate * strict) / 1000 + allowedWhileDisconnected(bound, elapsed)
  return Math.min(bound.granted, Math.floor(bound.committed + growth))
}

/** Burst and rate of a cut, which run out towards `cutTokens`. */
function allowedWhileDisconnected(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const cut = elapsed - bound.cutAfterMilliseconds
  if (cut <= 0) return 0
  const steady = bound.cutBurst + (bound.cutRate * cut) / 1000
  const { cutTokens } = bound
  if (cutTokens === undefined) return steady
  return cutTokens > 0 ? cutTokens * (1 - Math.exp(-steady / cutTokens)) : 0
}

/** What burst and rate come to without running out when they allow so many tokens; infinite for never. */
function steadyOf(tokens: TokenCount, cutTokens: TokenCount | undefined): TokenCount {
  if (cutTokens === undefined) return tokens
  return tokens < cutTokens ? -cutTokens * Math.log(1 - tokens / cutTokens) : Infinity
}

/** Time after the row's base time at which the bound reaches `committed`; undefined for never. */
export function timeUntilCommitted(
  bound: SpendingBound,
  committed: TokenCount,
): Milliseconds | undefined {
  if (committed > bound.granted) return undefined
  const missing = committed - bound.committed
  const byStrict = (bound.strictRate * bound.strictMilliseconds) / 1000
  if (missing <= byStrict) return missing <= 0 ? 0 : (missing * 1000) / bound.strictRate
  const beyond = steadyOf(missing - byStrict, bound.cutTokens) - bound.cutBurst
  if (beyond <= 0) return bound.cutAfterMilliseconds + 1
  if (bound.cutRate <= 0 || !Number.isFinite(beyond)) return undefined
  return bound.cutAfterMilliseconds + (beyond * 1000) / bound.cutRate
}

/** A row this old says that the store is out of reach: while it answers, no row is older. */
export const DISCONNECTED_AFTER_MILLISECONDS = 2_000
/**
 * Times between two records that the first time covers at least: a write that is due takes a part of
 * one.
 */
const COVERED_RECORDS = 1.5
/**
 * A budget that will be used up in `MISSED_SECONDS` misses what a death hides within seconds, and
 * spends later what a cut refuses; one that lasts `UNMISSED_SECONDS` does neither.
 */
const MISSED_SECONDS = 8
const UNMISSED_SECONDS = 14

/**
 * How long an instance may go on spending by a row before it waits for the next one, or for the
 * evidence of a cut. All that it may spend after its death counts as spent: machines that were
 * without power for a second cost their teams a second's tokens that nobody got.
 */
export function strictWindowMilliseconds(
  secondsLeft: number,
  recordMilliseconds: Milliseconds,
): Milliseconds {
  const least = Math.min(DISCONNECTED_AFTER_MILLISECONDS, COVERED_RECORDS * recordMilliseconds)
  return Math.round(
    least + exhaustionDistance(secondsLeft) * (DISCONNECTED_AFTER_MILLISECONDS - least),
  )
}

/** How far a budget is from being used up so soon that hidden tokens are missed: 0 (soon) to 1. */
export function exhaustionDistance(secondsLeft: number): number {
  const position = (secondsLeft - MISSED_SECONDS) / (UNMISSED_SECONDS - MISSED_SECONDS)
  return Math.max(0, Math.min(1, position))
}
