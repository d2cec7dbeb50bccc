/** Percentiles of durations, and number formatting for pages. */

import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** The histogram stores whole numbers only, so durations are recorded in microseconds. */
const UNITS_PER_MILLISECOND = 1_000

/** Collects durations and gives percentiles in milliseconds. */
export class Durations {
  private readonly histogram: Histogram = build({ lowestDiscernibleValue: 1 })

  add(milliseconds: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(milliseconds * UNITS_PER_MILLISECOND)))
  }

  get count(): number {
    return this.histogram.totalCount
  }

  percentile(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND
  }
}

/** Formats a number with three significant digits, from 100 on as a whole number. */
export function formatShort(value: number): string {
  if (!Number.isFinite(value)) return String(value)
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}
