/** Percentiles of durations, and short numbers for pages. */

import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Microseconds, so that the histogram's whole numbers are fine enough. */
const SCALE = 1_000

/** Collects durations and gives percentiles in milliseconds. */
export class Durations {
  private readonly histogram: Histogram = build({ lowestDiscernibleValue: 1 })

  add(milliseconds: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(milliseconds * SCALE)))
  }

  get count(): number {
    return this.histogram.totalCount
  }

  at(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / SCALE
  }
}

/** A number with few enough digits to read. */
export function short(value: number): string {
  if (!Number.isFinite(value)) return String(value)
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}
