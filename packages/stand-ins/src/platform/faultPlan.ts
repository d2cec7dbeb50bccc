/** What may go wrong with the platform's stand-ins, switched by tests. */

import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'

/** What may go wrong with the platform; tests switch it on and off. */
export class FaultPlan {
  /** Nothing is applied and nothing is answered. */
  outage = false
  /** Share of writes that take effect though their answer is lost. */
  lostAnswers = 0
  /** Share of writes whose question is lost, so that nothing takes effect. */
  lostQuestions = 0
  delayMilliseconds: Milliseconds = 0
  writesPerSecond = Number.POSITIVE_INFINITY
  readsPerSecond = Number.POSITIVE_INFINITY
  private readonly buckets = { read: new Bucket(), write: new Bucket() }

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Whether one more operation fits into the rate of this second. */
  admits(kind: 'read' | 'write'): boolean {
    const rate = kind === 'read' ? this.readsPerSecond : this.writesPerSecond
    return this.buckets[kind].take(rate, this.clock.monotonic())
  }

  losesQuestion(): boolean {
    return this.outage || this.random.next() < this.lostQuestions
  }

  losesAnswer(): boolean {
    return this.random.next() < this.lostAnswers
  }

  delay(): Promise<void> {
    if (this.delayMilliseconds === 0) return Promise.resolve()
    return new Promise(resolve => this.clock.after(this.delayMilliseconds, resolve))
  }
}

class Bucket {
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
