/** Counts what happened within the last while. Owns the counts of the parts into which that time is cut. */

import type { Milliseconds } from '@rackwalk/shared'

/** A count over a sliding window; what is counted leaves with its part of the window. */
export class SlidingCount {
  /** By number of the part. */
  private readonly counts = new Map<number, number>()

  constructor(
    private readonly windowMilliseconds: Milliseconds,
    /** Parts of the window: the more, the less is lost when one leaves. */
    private readonly parts: number,
  ) {}

  /** One more happened; `now` is monotonic. */
  add(now: Milliseconds): void {
    const part = this.partAt(now)
    this.counts.set(part, (this.counts.get(part) ?? 0) + 1)
    for (const old of this.counts.keys()) if (old <= part - this.parts) this.counts.delete(old)
  }

  /** How many happened within the window that ends now. */
  at(now: Milliseconds): number {
    const oldest = this.partAt(now) - this.parts
    let sum = 0
    for (const [part, count] of this.counts) if (part > oldest) sum += count
    return sum
  }

  private partAt(now: Milliseconds): number {
    return Math.floor((now * this.parts) / this.windowMilliseconds)
  }
}

/** The share of events of one kind among all in a time that goes with the clock. */
export class SlidingShare {
  private readonly all: SlidingCount
  private readonly counted: SlidingCount

  constructor(
    windowMilliseconds: Milliseconds,
    slices: number,
    /** Fewer events in that time tell nothing. */
    private readonly leastEvents: number,
  ) {
    this.all = new SlidingCount(windowMilliseconds, slices)
    this.counted = new SlidingCount(windowMilliseconds, slices)
  }

  /** An event of any kind. */
  note(now: Milliseconds): void {
    this.all.add(now)
  }

  /** One of those noted was of the kind that is counted. */
  noteCounted(now: Milliseconds): void {
    this.counted.add(now)
  }

  /** The share, in [0, 1]; 0 where too few events tell. */
  at(now: Milliseconds): number {
    const all = this.all.at(now)
    return all < this.leastEvents ? 0 : Math.min(1, this.counted.at(now) / all)
  }
}
