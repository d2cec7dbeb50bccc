/**
 * May one more request of a service be sent again, by the bound that holds for the whole fleet?
 *
 * Requests seen by this instance earn retries for it; the fixed extra is divided by all instances
 * that could be running, so that the sum holds without a word between them. Both are counted in a
 * sliding window. The OpenAI-style kind bounds retries by a token bucket instead
 * (router/limits/retryBudget.ts), since no window and no extra are set for it.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Bounds on requests sent again, for the whole fleet and one service; from the settings. */
export interface RetryBounds {
  /** Retries allowed for each request, */
  readonly ratio: number
  /** and beyond that for all instances together, */
  readonly extra: number
  /** in any window of this length. */
  readonly windowMilliseconds: Milliseconds
}

/**
 * Part of the bound that is used: whoever checks it counts requests at slightly other moments.
 * Chosen, not measured.
 */
const USED_SHARE = 0.8
/** Parts into which the window is cut; a count leaves with its part. Chosen: a twentieth is lost. */
const SLICES = 20

/** This instance's part of the fleet's retries of one service. */
export class FleetRetryBudget {
  private readonly requests = new Map<number, number>()
  private readonly retries = new Map<number, number>()

  constructor(private readonly bounds: RetryBounds) {}

  /** A request came; `now` is monotonic. */
  noteRequest(now: Milliseconds): void {
    this.add(this.requests, this.sliceAt(now))
  }

  /** Takes one retry, if there is one; `instances` are those that share the extra. */
  take(now: Milliseconds, instances: number): boolean {
    const slice = this.sliceAt(now)
    const earned = this.bounds.ratio * count(this.requests, slice)
    const share = this.bounds.extra / Math.max(1, instances)
    if (count(this.retries, slice) + 1 > USED_SHARE * (earned + share)) return false
    this.add(this.retries, slice)
    return true
  }

  private add(counts: Map<number, number>, slice: number): void {
    counts.set(slice, (counts.get(slice) ?? 0) + 1)
    for (const old of counts.keys()) if (old <= slice - SLICES) counts.delete(old)
  }

  private sliceAt(now: Milliseconds): number {
    return Math.floor((now * SLICES) / this.bounds.windowMilliseconds)
  }
}

function count(counts: ReadonlyMap<number, number>, slice: number): number {
  const oldest = slice - SLICES
  let sum = 0
  for (const [counted, number] of counts) if (counted > oldest) sum += number
  return sum
}
