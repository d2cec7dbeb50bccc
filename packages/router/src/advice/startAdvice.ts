/**
 * Advice that one start of an endpoint gave in answers, here or to other instances. Owns it for as long as
 * the start is remembered, whatever its row says; decides nothing.
 */

import type { AdviceGossip } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** Minimum time between two broadcasts of a changing rate limit. A lower limit is broadcast at once. */
const BROADCAST_INTERVAL_MILLISECONDS: Milliseconds = 500

/** Age in gossip of a rate that was never advertised: more than anything is remembered. */
const OLDEST_MILLISECONDS: Milliseconds = 86_400_000

/** The advice of one start. */
export class StartAdvice {
  /** Requests per second that the start accepts from the whole fleet; undefined if it advertises no limit. */
  requestsPerSecond: number | undefined
  /**
   * Whether the start announced that it leaves. That holds until it terminates, whatever a row written
   * earlier says.
   */
  isLeaving = false
  /** Time, suspensions included, of the newest answer that advertised a rate limit or none. */
  private rateAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time until which this instance sends it nothing. */
  private retryAfterUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Whether it asked this instance to back off and has accepted no request from here since. */
  isOnTrial = false
  /** Monotonic time at which advice about it was last received. */
  private heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** The rate limit last broadcast, and when. */
  private broadcastRate: number | undefined
  private broadcastAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(
    readonly start: EndpointStart,
    private readonly clock: Clock,
  ) {}

  /** Time since advice about it was last received, suspensions excluded. */
  get silenceMilliseconds(): Milliseconds {
    return this.clock.monotonic() - this.heardAt
  }

  /** An instance has sent it a request and will broadcast new advice from the answer. */
  noteActivity(): void {
    this.heardAt = this.clock.monotonic()
  }

  /** An answer advertised a rate limit or none. Returns gossip if the other instances do not know it. */
  noteRate(requestsPerSecond: number | undefined): AdviceGossip | undefined {
    this.noteActivity()
    this.rateAt = this.clock.sinceStart()
    this.requestsPerSecond = requestsPerSecond
    return this.shouldBroadcast ? this.prepareBroadcast() : undefined
  }

  /** Time until this instance may send it a request again; 0 if it may now. */
  get retryAfterMilliseconds(): Milliseconds {
    return Math.max(0, this.retryAfterUntil - this.clock.monotonic())
  }

  /** It rejected a request from here and asked for a backoff. A shorter backoff does not end a longer one. */
  noteRetryAfter(milliseconds: Milliseconds): void {
    this.retryAfterUntil = Math.max(this.retryAfterUntil, this.clock.monotonic() + milliseconds)
    this.isOnTrial = true
  }

  /**
   * It accepted a request from here. Acceptance of a request that was sent before the backoff does not end
   * the trial.
   */
  noteAccepted(): void {
    if (this.retryAfterMilliseconds === 0) this.isOnTrial = false
  }

  /** An answer announced that it leaves. Returns gossip if the other instances do not know it. */
  noteLeaving(): AdviceGossip | undefined {
    if (this.isLeaving) return undefined
    this.isLeaving = true
    return this.gossip
  }

  /** Applies advice that another instance received, unless a newer one is known here. */
  observe({ requestsPerSecond, isLeaving = false, ageMilliseconds }: AdviceGossip): void {
    this.noteActivity()
    this.isLeaving ||= isLeaving
    const saidAt = this.clock.sinceStart() - ageMilliseconds
    if (saidAt < this.rateAt) return
    this.rateAt = saidAt
    this.requestsPerSecond = requestsPerSecond
    this.broadcastRate = requestsPerSecond
  }

  /** Current advice, for an instance that may not have received it; undefined if there is none. */
  get newsSnapshot(): AdviceGossip | undefined {
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
