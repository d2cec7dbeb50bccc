/**
 * Decides how slow an endpoint is relative to the others of its service.
 *
 * Load pattern: endpoints of different speed, or one that becomes slow. What counts is the interval
 * between an answer's events at its shortest, when no prompt is read concurrently, so that load
 * does not look like slowness. Without this factor, a slow endpoint would get as many requests as a
 * fast one with the same load.
 *
 * Inputs: intervals in milliseconds an event; the result is a factor.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from './trackQuantile.js'

/**
 * Share of the endpoints that are faster than the baseline; most endpoints may be slow for a while.
 */
const BASELINE_QUANTILE = 0.25

/**
 * Weights of an interval that is longer than the known one, and of one that is shorter. Prefill
 * beside a stream lengthens most of its intervals, so the known value follows about the shortest
 * tenth. An endpoint with five streams a second that becomes slow is known to be so in about two
 * seconds.
 */
const INTERVAL_WEIGHTS = { above: 0.03, below: 0.3 }

/**
 * Returns the estimate of an endpoint's interval after one more observation; milliseconds an event.
 */
export function nextEventInterval(
  known: Milliseconds | undefined,
  observed: Milliseconds,
): Milliseconds {
  return trackQuantile(known, observed, INTERVAL_WEIGHTS)
}

/** Returns the interval of a usual endpoint among these; undefined where none is known. */
export function baselineEventInterval(
  intervals: readonly Milliseconds[],
): Milliseconds | undefined {
  const sorted = [...intervals].sort((left, right) => left - right)
  return sorted[Math.floor(BASELINE_QUANTILE * sorted.length)]
}

/** Returns how many times as long as usual an endpoint takes; 1 for one that is fast or unknown. */
export function slownessFactor(
  interval: Milliseconds | undefined,
  baseline: Milliseconds | undefined,
): number {
  if (interval === undefined || baseline === undefined || baseline <= 0) return 1
  return Math.max(1, interval / baseline)
}
