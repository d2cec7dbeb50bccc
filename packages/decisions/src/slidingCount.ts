/**
 * Counts events over a sliding window of time, which is divided into slices of equal length. Keeps
 * one count for each slice with events.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * A count of events over a sliding window. The window ends with the present slice, which has not
 * passed yet, and events leave the count together with their slice. So the count covers between
 * `(slices - 1) / slices` of the window and the whole window.
 */
export class SlidingCount {
  /** Event counts by slice number; slices are numbered from time 0 of the clock. */
  private readonly counts = new Map<number, number>()

  constructor(
    private readonly windowMilliseconds: Milliseconds,
    /** Number of slices in the window. With more slices, fewer events leave the count at once. */
    private readonly slices: number,
  ) {}

  /** Adds an event; `now` is monotonic. */
  add(now: Milliseconds): void {
    const slice = this.sliceAt(now)
    this.counts.set(slice, (this.counts.get(slice) ?? 0) + 1)
    for (const old of this.counts.keys()) if (old <= slice - this.slices) this.counts.delete(old)
  }

  /** Returns the number of events in the window that ends at `now`, which is monotonic. */
  at(now: Milliseconds): number {
    const oldest = this.sliceAt(now) - this.slices
    let sum = 0
    for (const [slice, count] of this.counts) if (slice > oldest) sum += count
    return sum
  }

  private sliceAt(now: Milliseconds): number {
    return Math.floor((now * this.slices) / this.windowMilliseconds)
  }
}

/** The share of events of one kind among all events in a sliding window. */
export class SlidingShare {
  private readonly all: SlidingCount
  private readonly counted: SlidingCount

  constructor(
    windowMilliseconds: Milliseconds,
    slices: number,
    /** With fewer events of any kind in the window, the share is taken as 0. */
    private readonly minimumEvents: number,
  ) {
    this.all = new SlidingCount(windowMilliseconds, slices)
    this.counted = new SlidingCount(windowMilliseconds, slices)
  }

  /** Adds an event of any kind; `now` is monotonic. */
  note(now: Milliseconds): void {
    this.all.add(now)
  }

  /**
   * Counts one of the noted events as being of the counted kind, at the time of this call. The
   * event may have been noted earlier and have left the window by now.
   */
  noteCounted(now: Milliseconds): void {
    this.counted.add(now)
  }

  /** Whether the window has enough events for the share to be more than chance. */
  hasEnough(now: Milliseconds): boolean {
    return this.all.at(now) >= this.minimumEvents
  }

  /** Returns the share of counted events, in [0, 1]; 0 if the window has too few events. */
  at(now: Milliseconds): number {
    return this.hasEnough(now) ? Math.min(1, this.counted.at(now) / this.all.at(now)) : 0
  }
}
