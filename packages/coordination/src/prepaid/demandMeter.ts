/**
 * Measures an amount per second (of tokens, requests or streams) as an exponentially weighted
 * average over the last few seconds. Owns one decaying sum.
 *
 * Without the average, decisions that depend on a rate, such as the size of a holding, would follow
 * every single request.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time constant of the exponential decay. */
export const DEMAND_WINDOW_MILLISECONDS = 6_000

/** Demand after a longer idle period than this counts as a new period of demand. */
const IDLE_MILLISECONDS = 2 * DEMAND_WINDOW_MILLISECONDS
/**
 * Default lower bound of the averaging window. With a shorter window, a single request at the start
 * of a period of demand would read as a high rate.
 */
const MINIMUM_WINDOW_MILLISECONDS = 2_000

/** Measures tokens, requests or streams per second with exponential decay. */
export class DemandMeter {
  private decayedTotal = 0
  private countedAt: Milliseconds
  private addedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Start of the current period of demand. */
  private startedAt: Milliseconds

  constructor(
    private readonly clock: Clock,
    /**
     * Lower bound of the averaging window. The longer it is, the less a single request raises the
     * average. With `DEMAND_WINDOW_MILLISECONDS`, demand that has just started is not extrapolated
     * at all.
     */
    private readonly minimumWindowMilliseconds: Milliseconds = MINIMUM_WINDOW_MILLISECONDS,
  ) {
    this.startedAt = clock.monotonic()
    this.countedAt = this.startedAt
  }

  /**
   * Adds an amount, in the unit that this meter measures. A negative amount subtracts from what was
   * added before; the sum does not fall below 0.
   */
  add(amount: TokenCount): void {
    this.decay()
    if (this.countedAt - this.addedAt > IDLE_MILLISECONDS) this.startedAt = this.countedAt
    this.addedAt = this.countedAt
    this.decayedTotal = Math.max(0, this.decayedTotal + amount)
  }

  get perSecond(): number {
    this.decay()
    return (
      (this.decayedTotal * 1000) /
      Math.max(this.minimumWindowMilliseconds, this.effectiveWindowMilliseconds)
    )
  }

  /**
   * The part of the window that covers the current period of demand, with the same exponential
   * weights as the demand. If the period were counted from the start of the process, the first
   * second of demand would read as a sixth of its rate.
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
