/**
 * Decides how slow an endpoint is relative to the others of its service.
 *
 * Load pattern: endpoints of different speed, or one that becomes slow. The speed of an endpoint is
 * the shorter of the intervals between an answer's events, those during which no prompt is read, so
 * that load does not look like slowness. Without this factor, a slow endpoint would get as many
 * requests as a fast one with the same load.
 *
 * Inputs: intervals between events, in milliseconds an event; the result is a factor.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { updateAsymmetricMean } from './asymmetricMean.js'

/**
 * Share of the endpoints that are faster than the baseline. The share is below a half because most
 * endpoints may be slow for a while.
 */
const BASELINE_QUANTILE = 0.25

/**
 * Weights of an interval that is longer than the estimate, and of one that is not. Prefill beside a
 * stream lengthens most of its intervals, so the estimate settles among the shortest ones, in
 * general above their tenth percentile. An endpoint with five streams a second that becomes slow is
 * known to be slow after about two seconds.
 */
const INTERVAL_WEIGHTS = { above: 0.03, below: 0.3 }

/**
 * Returns the estimate of an endpoint's interval after one more observation; milliseconds an event.
 */
export function nextEventInterval(
  known: Milliseconds | undefined,
  observed: Milliseconds,
): Milliseconds {
  return updateAsymmetricMean(known, observed, INTERVAL_WEIGHTS)
}

/** Returns the interval of a usual endpoint among these; undefined where `intervals` is empty. */
export function baselineEventInterval(
  intervals: readonly Milliseconds[],
): Milliseconds | undefined {
  const sorted = [...intervals].sort((left, right) => left - right)
  return sorted[Math.floor(BASELINE_QUANTILE * sorted.length)]
}

/**
 * Returns how many times as long as a usual endpoint this one takes for an event; 1 if it is not
 * slower, or if either interval is unknown.
 */
export function slownessFactor(
  interval: Milliseconds | undefined,
  baseline: Milliseconds | undefined,
): number {
  if (interval === undefined || baseline === undefined || baseline <= 0) return 1
  return Math.max(1, interval / baseline)
}
