import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Bounds on requests sent again, for the whole fleet. */
export interface RetryBounds {
  /** Retries allowed for each request, */
  readonly ratio: number
  /** and beyond that for all instances together, */
  readonly extra: number
  /** in any window of this length. */
  readonly windowMilliseconds: Milliseconds
}

/** Part of the bound that is used: requests are counted at slightly other moments elsewhere. */
const USED_SHARE = 0.8
const SLICES = 20

/**
 * This instance's part of the fleet's retry budget for one service. Requests seen here earn
 * retries here; the fixed extra is divided by all instances that could be running, so that
 * the sum holds without a word between them.
 */
export class RetryWindow {
  private readonly requests = new Map<number, number>()
  private readonly retries = new Map<number, number>()

  constructor(
    private readonly bounds: RetryBounds,
    private readonly clock: Clock,
    private readonly instances: () => number,
  ) {}

  noteRequest(): void {
    this.add(this.requests)
  }

  /** Takes one retry, if there is one. */
  take(): boolean {
    const earned = this.bounds.ratio * this.count(this.requests)
    const share = this.bounds.extra / Math.max(1, this.instances())
    if (this.count(this.retries) + 1 > USED_SHARE * (earned + share)) return false
    this.add(this.retries)
    return true
  }

  private add(counts: Map<number, number>): void {
    const slice = this.slice
    counts.set(slice, (counts.get(slice) ?? 0) + 1)
    for (const old of counts.keys()) if (old <= slice - SLICES) counts.delete(old)
  }

  private count(counts: ReadonlyMap<number, number>): number {
    const oldest = this.slice - SLICES
    let sum = 0
    for (const [slice, count] of counts) if (slice > oldest) sum += count
    return sum
  }

  private get slice(): number {
    return Math.floor((this.clock.monotonic() * SLICES) / this.bounds.windowMilliseconds)
  }
}
