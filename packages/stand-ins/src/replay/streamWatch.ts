/** Compares the first event and the pauses of one replayed stream with the caller's goals. */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** The longest times until the first event and between two events that a caller accepts. */
interface StreamGoals {
  readonly goalMilliseconds: Milliseconds
  readonly pauseGoalMilliseconds: Milliseconds
}

/** Tracks one stream from the arrival of its request. */
export class StreamMonitor {
  private tokens = 0
  private readonly startedAt: Milliseconds
  private lastEventAt: Milliseconds
  isFirstLate = false
  isPauseLate = false

  constructor(
    private readonly goals: StreamGoals,
    private readonly tokensPerEvent: TokenCount,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.monotonic()
    this.lastEventAt = this.startedAt
  }

  /** Time since the request arrived. */
  get duration(): Milliseconds {
    return this.clock.monotonic() - this.startedAt
  }

  /** Records one more token. Returns whether the token completes an event. */
  noteToken(): boolean {
    this.tokens += 1
    if (this.tokens % this.tokensPerEvent !== 0) return false
    const pause = this.clock.monotonic() - this.lastEventAt
    this.lastEventAt = this.clock.monotonic()
    const isFirst = this.tokens === this.tokensPerEvent
    if (isFirst) this.isFirstLate = pause > this.goals.goalMilliseconds
    else this.isPauseLate ||= pause > this.goals.pauseGoalMilliseconds
    return true
  }
}
