/**
 * Which value do scattered observations point to, when the larger or the smaller ones count more? An
 * average with unlike weights follows a quantile, keeps one number, and forgets what is long past.
 */

/** Weights of observations above the value known and below it, each in (0, 1]. */
export interface QuantileWeights {
  readonly above: number
  readonly below: number
}

/** The value to believe in after one more observation; the first one is believed as it is. */
export function trackQuantile(
  known: number | undefined,
  observed: number,
  { above, below }: QuantileWeights,
): number {
  if (known === undefined) return observed
  return known + (observed > known ? above : below) * (observed - known)
}
