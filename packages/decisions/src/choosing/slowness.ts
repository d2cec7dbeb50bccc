/**
 * How slow is an endpoint beside the others of its service?
 *
 * Load pattern: endpoints of unlike speed, or one that turns slow. What counts is the pace of answers
 * at their quickest, when nothing is read beside them, so that load does not look like slowness.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from './trackQuantile.js'

/** Part of the endpoints that are quicker than the usual one: most may be slow for a while. */
const QUICKER_SHARE = 0.25

/**
 * Weights of a pace that is slower than the one known, and of one that is quicker. Readings beside a
 * stream slow most of its paces, so the known pace follows the quickest tenth or so. An endpoint with
 * five streams a second that turns slow is known to be so in about two seconds.
 */
const INTERVAL_WEIGHTS = { above: 0.03, below: 0.3 }

/** The pace to believe in after one more was observed; milliseconds an event. */
export function nextEventInterval(
  known: Milliseconds | undefined,
  observed: Milliseconds,
): Milliseconds {
  return trackQuantile(known, observed, INTERVAL_WEIGHTS)
}

/** The pace of a usual endpoint among these; undefined where none is known. */
export function baselineEventInterval(paces: readonly Milliseconds[]): Milliseconds | undefined {
  const sorted = [...paces].sort((left, right) => left - right)
  return sorted[Math.floor(QUICKER_SHARE * sorted.length)]
}

/** How many times as long as usual an endpoint takes; 1 for one that is quick or unknown. */
export function slownessFactor(
  pace: Milliseconds | undefined,
  usual: Milliseconds | undefined,
): number {
  if (pace === undefined || usual === undefined || usual <= 0) return 1
  return Math.max(1, pace / usual)
}
