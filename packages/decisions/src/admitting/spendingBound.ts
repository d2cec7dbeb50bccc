/**
 * How much of a budget may an instance spend while the store is away?
 *
 * The instance wrote its bound into its row before: a rate for the first two seconds, in which the
 * store normally takes the next row, then a burst and another rate, since by then the store is
 * evidently out of reach. The instance never goes beyond the bound, counted from before the row
 * was sent. Whether a row is old because its writer was cut off or because it died cannot be told,
 * so what a cut may spend is also what a death loses: the next incarnation counts the bound as
 * spent up to its own start. How the rates are set: coordination/prepaid/writePlan.ts. While the
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
  /** which is so long; */
  readonly strictMilliseconds: Milliseconds
  /** after it, so many at once, */
  readonly cutBurst: TokenCount
  /** and so many a second. */
  readonly cutRate: number
}

/** The most that may have been committed, `elapsed` milliseconds after the row's base time. */
export function committedBound(bound: SpendingBound, elapsed: Milliseconds): TokenCount {
  const strict = Math.max(0, Math.min(elapsed, bound.strictMilliseconds))
  const cut = Math.max(0, elapsed - bound.strictMilliseconds)
  const growth = (bound.strictRate * strict + bound.cutRate * cut) / 1000
  const burst = cut > 0 ? bound.cutBurst : 0
  return Math.min(bound.granted, Math.floor(bound.committed + burst + growth))
}

/** Time after the row's base time at which the bound reaches `committed`; undefined for never. */
export function timeOfBound(bound: SpendingBound, committed: TokenCount): Milliseconds | undefined {
  if (committed > bound.granted) return undefined
  const missing = (committed - bound.committed) * 1000
  const byStrict = bound.strictRate * bound.strictMilliseconds
  if (missing <= byStrict) return missing <= 0 ? 0 : missing / bound.strictRate
  const beyond = missing - byStrict - bound.cutBurst * 1000
  if (beyond <= 0) return bound.strictMilliseconds + 1
  return bound.cutRate > 0 ? bound.strictMilliseconds + beyond / bound.cutRate : undefined
}
