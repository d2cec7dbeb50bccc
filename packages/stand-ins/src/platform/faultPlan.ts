/** The configurable faults of the platform's stand-ins. */

import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'

/** The faults of a stand-in of the platform; tests switch them on and off. */
export class FaultPlan {
  /** Whether all requests are dropped without an effect and without an answer. */
  outage = false
  /** Share of writes that take effect although their answer is lost. */
  lostAnswers = 0
  /** Share of requests that are lost before they take effect. */
  lostRequests = 0
  delayMilliseconds: Milliseconds = 0
  writesPerSecond = Number.POSITIVE_INFINITY
  readsPerSecond = Number.POSITIVE_INFINITY
  private readonly buckets = { read: new TokenBucket(), write: new TokenBucket() }

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Whether the rate limit allows one more operation. */
  admits(kind: 'read' | 'write'): boolean {
    const rate = kind === 'read' ? this.readsPerSecond : this.writesPerSecond
    return this.buckets[kind].take(rate, this.clock.monotonic())
  }

  losesRequest(): boolean {
    return this.outage || this.random.next() < this.lostRequests
  }

  losesAnswer(): boolean {
    return this.random.next() < this.lostAnswers
  }

  delay(): Promise<void> {
    if (this.delayMilliseconds === 0) return Promise.resolve()
    return new Promise(resolve => this.clock.after(this.delayMilliseconds, resolve))
  }
}

class TokenBucket {
  private tokens: number | undefined
  private at: Milliseconds = 0

  take(perSecond: number, now: Milliseconds): boolean {
    if (!Number.isFinite(perSecond)) return true
    const filled = (this.tokens ?? perSecond) + ((now - this.at) * perSecond) / 1000
    this.tokens = Math.min(perSecond, filled)
    this.at = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
