/** Tokens or requests a second, averaged over the last seconds. Owns one decaying sum. */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time over which demand is averaged. */
export const DEMAND_WINDOW_MILLISECONDS = 6_000

/** After so long without demand the next one is taken for the beginning of another. */
const IDLE_MILLISECONDS = 2 * DEMAND_WINDOW_MILLISECONDS
/** A single request is not taken for the demand of less time than this. */
const MINIMUM_WINDOW_MILLISECONDS = 2_000

/** Measures tokens a second with exponential forgetting. */
export class DemandMeter {
  private decayedTotal = 0
  private countedAt: Milliseconds
  private addedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Beginning of the present demand. */
  private startedAt: Milliseconds

  constructor(
    private readonly clock: Clock,
    /** The longer, the less a single request says; the window's length takes each for one of many. */
    private readonly shortestSeen: Milliseconds = MINIMUM_WINDOW_MILLISECONDS,
  ) {
    this.startedAt = clock.monotonic()
    this.countedAt = this.startedAt
  }

  add(tokens: TokenCount): void {
    this.decay()
    if (this.countedAt - this.addedAt > IDLE_MILLISECONDS) this.startedAt = this.countedAt
    this.addedAt = this.countedAt
    this.decayedTotal = Math.max(0, this.decayedTotal + tokens)
  }

  get perSecond(): number {
    this.decay()
    return (
      (this.decayedTotal * 1000) / Math.max(this.shortestSeen, this.effectiveWindowMilliseconds)
    )
  }

  /**
   * What the window has seen of the present demand, weighted as the demand is. Counted from the start of
   * the process instead, the first second of demand reads as a sixth of it.
   */
  private get effectiveWindowMilliseconds(): Milliseconds {
    const age = this.countedAt - this.startedAt
    return DEMAND_WINDOW_MILLISECONDS * (1 - Math.exp(-age / DEMAND_WINDOW_MILLISECONDS))
  }

  private decay(): void {
    const now = this.clock.monotonic()
    this.decayedTotal *= Math.exp((this.countedAt - now) / DEMAND_WINDOW_MILLISECONDS)
    this.countedAt = now
  }
}
