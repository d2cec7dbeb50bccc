/**
 * Decides how slow an endpoint is relative to the others of its service.
 *
 * Load pattern: endpoints of different speed, or one that becomes slow. The speed of an endpoint is
 * the shorter of the intervals between an answer's events, those during which no prompt is read, so
 * that load does not look like slowness. Without this factor, a slow endpoint would get as many
 * requests as a fast one with the same load. Some endpoints also report how long work currently
 * takes there. Their speed may change several times a second, which the intervals show too late.
 *
 * Inputs: intervals between events, in milliseconds an event, and reported paces, in percent of the
 * normal time; the result is a factor.
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

/** An estimate of the time that work takes at an endpoint, from its reports. */
export interface PaceEstimate {
  /** Percent of the normal time. */
  readonly pace: number
  /** Monotonic time of the newest report. */
  readonly at: Milliseconds
}

/** Pace of an endpoint at which work takes as long as usual. */
const NORMAL_PACE = 100
/** Larger paces count as this one, so that a senseless report cannot exclude an endpoint for long. */
const MAXIMUM_PACE = 1_000
/** Half-life in milliseconds of what an estimate says beyond the normal pace. */
const PACE_HALF_LIFE_MILLISECONDS = 300
/** Least weight of a new report: reports in quick succession are averaged, since each is noisy. */
const MINIMUM_PACE_WEIGHT = 0.8

/**
 * Returns the estimate after one more report. The older the known estimate, the more the report
 * counts. `now` is monotonic.
 */
export function nextPace(
  known: PaceEstimate | undefined,
  reported: number,
  now: Milliseconds,
): PaceEstimate {
  const pace = Math.min(MAXIMUM_PACE, reported)
  if (known === undefined) return { pace, at: now }
  const kept = (1 - MINIMUM_PACE_WEIGHT) * remainingShare(known, now)
  return { pace: pace + kept * (known.pace - pace), at: now }
}

/**
 * Returns how many times as long as normal work takes at an endpoint by its reports, ageing towards
 * 1; 1 if it is not slower or never reported a pace. `now` is monotonic.
 */
export function paceSlowness(known: PaceEstimate | undefined, now: Milliseconds): number {
  if (known === undefined) return 1
  const beyond = (known.pace - NORMAL_PACE) * remainingShare(known, now)
  return Math.max(1, (NORMAL_PACE + beyond) / NORMAL_PACE)
}

function remainingShare({ at }: PaceEstimate, now: Milliseconds): number {
  return 0.5 ** (Math.max(0, now - at) / PACE_HALF_LIFE_MILLISECONDS)
}
