/** Tokens or requests a second, averaged over the last seconds. Owns one decaying sum. */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time over which demand is averaged. */
const WINDOW_MILLISECONDS = 6_000

/** Measures tokens a second with exponential forgetting. */
export class DemandMeter {
  private weighted = 0
  private countedAt: Milliseconds
  private readonly startedAt: Milliseconds

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic()
    this.countedAt = this.startedAt
  }

  add(tokens: TokenCount): void {
    this.forget()
    this.weighted = Math.max(0, this.weighted + tokens)
  }

  get perSecond(): number {
    this.forget()
    // A young meter has not seen a whole window yet.
    const seen = Math.min(WINDOW_MILLISECONDS, Math.max(1_000, this.countedAt - this.startedAt))
    return (this.weighted * 1000) / seen
  }

  private forget(): void {
    const now = this.clock.monotonic()
    this.weighted *= Math.exp((this.countedAt - now) / WINDOW_MILLISECONDS)
    this.countedAt = now
  }
}
