/**
 * Estimates a quantile of scattered observations. A moving average that gives unequal weights to
 * larger and smaller observations follows a quantile, keeps one number, and forgets old
 * observations.
 */

/** Weights of observations above the known value and below it, each in (0, 1]. */
export interface QuantileWeights {
  readonly above: number
  readonly below: number
}

/** Returns the estimate after one more observation; the first observation is returned as it is. */
export function trackQuantile(
  known: number | undefined,
  observed: number,
  { above, below }: QuantileWeights,
): number {
  if (known === undefined) return observed
  return known + (observed > known ? above : below) * (observed - known)
}
