/** Tokens or requests a second, averaged over the last seconds. Owns one decaying sum. */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time over which demand is averaged. */
const WINDOW_MILLISECONDS = 6_000

/** After so long without demand the next one is taken for the beginning of another. Chosen. */
const IDLE_MILLISECONDS = 2 * WINDOW_MILLISECONDS
/** The first demand is not taken for that of less than this time. Chosen. */
const SHORTEST_SEEN_MILLISECONDS = 1_000

/** Measures tokens a second with exponential forgetting. */
export class DemandMeter {
  private weighted = 0
  private countedAt: Milliseconds
  private addedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Beginning of the present demand. */
  private startedAt: Milliseconds

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic()
    this.countedAt = this.startedAt
  }

  add(tokens: TokenCount): void {
    this.forget()
    if (this.countedAt - this.addedAt > IDLE_MILLISECONDS) this.startedAt = this.countedAt
    this.addedAt = this.countedAt
    this.weighted = Math.max(0, this.weighted + tokens)
  }

  get perSecond(): number {
    this.forget()
    return (this.weighted * 1000) / Math.max(SHORTEST_SEEN_MILLISECONDS, this.seenMilliseconds)
  }

  /**
   * What the window has seen of the present demand, weighted as the demand is. Counted from the start of
   * the process instead, the first second of demand reads as a sixth of it.
   */
  private get seenMilliseconds(): Milliseconds {
    const age = this.countedAt - this.startedAt
    return WINDOW_MILLISECONDS * (1 - Math.exp(-age / WINDOW_MILLISECONDS))
  }

  private forget(): void {
    const now = this.clock.monotonic()
    this.weighted *= Math.exp((this.countedAt - now) / WINDOW_MILLISECONDS)
    this.countedAt = now
  }
}
