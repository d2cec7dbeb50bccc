/**
 * Keeps the advice that one run (start) of an endpoint gave in its answers to this and other instances: a
 * rate limit, a backoff (Retry-After), and that the start leaves. Owns the advice for as long as the start
 * is remembered, whatever its row says, and when a changed rate limit is broadcast.
 */

import type { AdviceGossip } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** Minimum time between two broadcasts of a changing rate limit. A lower limit is broadcast at once. */
const BROADCAST_INTERVAL_MILLISECONDS: Milliseconds = 500

/** Age that a broadcast states for a rate that was never advertised: longer than advice is remembered. */
const OLDEST_MILLISECONDS: Milliseconds = 86_400_000

/** The advice of one start. */
export class StartAdvice {
  /** Requests per second that the start accepts from the whole fleet; undefined if it advertises no limit. */
  requestsPerSecond: number | undefined
  /**
   * Whether the start announced that it leaves. The announcement holds until the start terminates, whatever a
   * row written earlier says.
   */
  isLeaving = false
  /** Time, suspensions included, of the newest answer that advertised a rate limit or none. */
  private rateAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time until which the start asked this instance to send it nothing. */
  private retryAfterUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Whether the start asked this instance for a backoff and has accepted no request of it since. */
  isOnTrial = false
  /** Monotonic time at which advice about the start, or a sign of requests in flight to it, last arrived. */
  private heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** The rate limit that the other instances know from the newest broadcast. */
  private broadcastRate: number | undefined
  /** Monotonic time of this instance's newest broadcast of a rate limit. */
  private broadcastAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(
    readonly start: EndpointStart,
    private readonly clock: Clock,
  ) {}

  /**
   * Time, without suspensions, since advice about the start or a sign of requests in flight to it arrived.
   */
  get silenceMilliseconds(): Milliseconds {
    return this.clock.monotonic() - this.heardAt
  }

  /**
   * An instance received advice from the start, or has requests in flight to it and will broadcast new
   * advice.
   */
  noteActivity(): void {
    this.heardAt = this.clock.monotonic()
  }

  /**
   * An answer advertised this rate limit; undefined if none. Returns the message to broadcast if the other
   * instances have to know the change now.
   */
  noteRate(requestsPerSecond: number | undefined): AdviceGossip | undefined {
    this.noteActivity()
    this.rateAt = this.clock.sinceStart()
    this.requestsPerSecond = requestsPerSecond
    return this.shouldBroadcast ? this.prepareBroadcast() : undefined
  }

  /** Time until the start's backoff is over; 0 if there is none. */
  get retryAfterMilliseconds(): Milliseconds {
    return Math.max(0, this.retryAfterUntil - this.clock.monotonic())
  }

  /** The start asked this instance for a backoff. A shorter backoff does not end a longer one. */
  noteRetryAfter(milliseconds: Milliseconds): void {
    this.retryAfterUntil = Math.max(this.retryAfterUntil, this.clock.monotonic() + milliseconds)
    this.isOnTrial = true
  }

  /**
   * The start accepted a request of this instance, which ends the trial after a backoff. An acceptance during
   * the backoff does not, since the request was sent before the backoff began.
   */
  noteAccepted(): void {
    if (this.retryAfterMilliseconds === 0) this.isOnTrial = false
  }

  /** An answer announced that the start leaves. Returns the message to broadcast, once. */
  noteLeaving(): AdviceGossip | undefined {
    if (this.isLeaving) return undefined
    this.isLeaving = true
    return this.gossip
  }

  /**
   * Applies advice that another instance received; its rate limit only if none is known from a newer answer.
   */
  observe({ requestsPerSecond, isLeaving = false, ageMilliseconds }: AdviceGossip): void {
    this.noteActivity()
    this.isLeaving ||= isLeaving
    const advertisedAt = this.clock.sinceStart() - ageMilliseconds
    if (advertisedAt < this.rateAt) return
    this.rateAt = advertisedAt
    this.requestsPerSecond = requestsPerSecond
    this.broadcastRate = requestsPerSecond
  }

  /** Current advice, for an instance that may not have received it; undefined if there is none. */
  get gossipSnapshot(): AdviceGossip | undefined {
    return this.requestsPerSecond === undefined && !this.isLeaving ? undefined : this.gossip
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
    return this.gossip
  }

  private get gossip(): AdviceGossip {
    const { start, requestsPerSecond, isLeaving } = this
    return {
      start,
      ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
      ...(isLeaving ? { isLeaving } : {}),
      // A rate that was never advertised counts as older than anything.
      ageMilliseconds: Math.min(OLDEST_MILLISECONDS, this.clock.sinceStart() - this.rateAt),
    }
  }
}
