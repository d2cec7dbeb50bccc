/**
 * Updates an asymmetric mean of scattered observations: a moving average that gives unequal weights
 * to the differences of larger and of smaller observations (an expectile). It keeps one number and
 * forgets old observations. With a larger weight for larger observations the mean settles among
 * these, but in general less far out than the quantile of the same ratio, since the weights apply
 * to the differences and not to the number of observations.
 */

/** Weights of an observation above the known mean and of one not above it, each in (0, 1]. */
export interface AsymmetricWeights {
  readonly above: number
  readonly below: number
}

/** Returns the mean after one more observation; the first observation, if none is known yet. */
export function updateAsymmetricMean(
  known: number | undefined,
  observed: number,
  { above, below }: AsymmetricWeights,
): number {
  if (known === undefined) return observed
  return known + (observed > known ? above : below) * (observed - known)
}
