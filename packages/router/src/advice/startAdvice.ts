/**
 * What one start of an endpoint has said of itself in answers, here or to other instances. Owns it for as long as the
 * start is remembered, whatever rows say of it; decides nothing.
 */

import type { AdviceGossip } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** A rate that is named from answer to answer anew is told this often at the most; a stricter one at once. */
const BROADCAST_INTERVAL_MILLISECONDS: Milliseconds = 500

/** Age of what was never said, in news: more than anything is remembered. */
const OLDEST_MILLISECONDS: Milliseconds = 86_400_000

/** The memory of one start. */
export class StartAdvice {
  /** Requests a second that it takes from the whole fleet; undefined where it names none. */
  requestsPerSecond: number | undefined
  /** Whether it said that it leaves: that holds until its end, whatever a row says that was written before. */
  isLeaving = false
  /** Time, suspensions included, of the newest answer that told of a rate or of none. */
  private rateAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time until which it wants nothing from this instance. */
  private retryAfterUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Whether it asked for rest and has taken nothing from here since. */
  isOnTrial = false
  /** Monotonic time at which anything was last heard of it. */
  private heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** What the others were told last, and when. */
  private broadcastRate: number | undefined
  private broadcastAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(
    readonly start: EndpointStart,
    private readonly clock: Clock,
  ) {}

  /** Time since anything was heard of it, without suspensions. */
  get silenceMilliseconds(): Milliseconds {
    return this.clock.monotonic() - this.heardAt
  }

  /** Somebody asked it, and will tell what it answers if that is new. */
  noteActivity(): void {
    this.heardAt = this.clock.monotonic()
  }

  /** An answer told of a rate, or of none; news for the others where they don't know it. */
  noteRate(requestsPerSecond: number | undefined): AdviceGossip | undefined {
    this.noteActivity()
    this.rateAt = this.clock.sinceStart()
    this.requestsPerSecond = requestsPerSecond
    return this.shouldBroadcast ? this.prepareBroadcast() : undefined
  }

  /** Time until it wants something from this instance again; 0 where it does. */
  get retryAfterMilliseconds(): Milliseconds {
    return Math.max(0, this.retryAfterUntil - this.clock.monotonic())
  }

  /** It turned a request from here away and asked for rest; a shorter wish does not end a longer one. */
  noteRetryAfter(milliseconds: Milliseconds): void {
    this.retryAfterUntil = Math.max(this.retryAfterUntil, this.clock.monotonic() + milliseconds)
    this.isOnTrial = true
  }

  /** It took a request from here; one that was sent before it asked for rest says nothing of that. */
  noteAccepted(): void {
    if (this.retryAfterMilliseconds === 0) this.isOnTrial = false
  }

  /** An answer said that it leaves; news for the others where they don't know it. */
  noteLeaving(): AdviceGossip | undefined {
    if (this.isLeaving) return undefined
    this.isLeaving = true
    return this.news
  }

  /** Another instance had such an answer; what is newer here counts. */
  observe({ requestsPerSecond, isLeaving = false, ageMilliseconds }: AdviceGossip): void {
    this.noteActivity()
    this.isLeaving ||= isLeaving
    const saidAt = this.clock.sinceStart() - ageMilliseconds
    if (saidAt < this.rateAt) return
    this.rateAt = saidAt
    this.requestsPerSecond = requestsPerSecond
    this.broadcastRate = requestsPerSecond
  }

  /** What is known, for an instance that may not have heard it; undefined where nothing holds. */
  get newsSnapshot(): AdviceGossip | undefined {
    return this.requestsPerSecond === undefined && !this.isLeaving ? undefined : this.news
  }

  private get shouldBroadcast(): boolean {
    const { requestsPerSecond: now, broadcastRate } = this
    if (now === broadcastRate) return false
    if (now === undefined || broadcastRate === undefined || now < broadcastRate) return true
    return this.clock.monotonic() - this.broadcastAt >= BROADCAST_INTERVAL_MILLISECONDS
  }

  private prepareBroadcast(): AdviceGossip {
    this.broadcastRate = this.requestsPerSecond
    this.broadcastAt = this.clock.monotonic()
    return this.news
  }

  private get news(): AdviceGossip {
    const { start, requestsPerSecond, isLeaving } = this
    return {
      start,
      ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
      ...(isLeaving ? { isLeaving } : {}),
      // What was never said is older than anything.
      ageMilliseconds: Math.min(OLDEST_MILLISECONDS, this.clock.sinceStart() - this.rateAt),
    }
  }
}
