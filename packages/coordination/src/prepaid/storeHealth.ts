/**
 * How the store answers one budget's calls: whether it is lost, throttles or is slow. Owns the failures in a
 * row, the call on its way and the pause that a throttled write asks for.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** A store that has not answered a call for this long counts as out of reach. */
const SLOW_CALL_MILLISECONDS: Milliseconds = 250
/** After a write that the store throttled, the next one comes this much later. */
const THROTTLED_MILLISECONDS: Milliseconds = 400

/**
 * A store that failed is told of again only after no call failed for this long: one that turns away every other call is
 * one episode, and not a line for each loss.
 */
const RECOVERY_MILLISECONDS: Milliseconds = 5_000

/** The store as the calls of one budget find it. */
export class StoreHealth {
  private failures = 0
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private throttledUntil: Milliseconds = 0
  private callStartedAt: Milliseconds | undefined
  /** How long the last two calls took. */
  private lastCalls: readonly [Milliseconds, Milliseconds] = [0, 0]

  constructor(
    private readonly clock: Clock,
    /** The first failure after the store answered for a while. */
    private readonly onLost: (reason: string) => void,
  ) {}

  /** Whether the store last failed to answer; it is asked by reads until it does. */
  get isFailing(): boolean {
    return this.failures > 0
  }

  /** Whether the store asked for fewer calls a moment ago. */
  get isThrottled(): boolean {
    return this.clock.monotonic() < this.throttledUntil
  }

  /** Whether nothing can be had from the store within the patience of a request. */
  get isUnavailable(): boolean {
    return this.isThrottled || this.isFailing || (this.callAge ?? 0) > SLOW_CALL_MILLISECONDS
  }

  /**
   * Whether a call is likely to take longer than this, as the last two did. Waiting for it in vain takes the
   * time in which other instances can be asked.
   */
  isSlowerThan(patience: Milliseconds): boolean {
    return Math.min(...this.lastCalls) > patience
  }

  /** How long a call has been on its way; undefined where none is. */
  get callAge(): Milliseconds | undefined {
    if (this.callStartedAt === undefined) return undefined
    return this.clock.monotonic() - this.callStartedAt
  }

  /** Passes a call through and notes how long it has been on its way. */
  async timed<Outcome>(call: Promise<Outcome>): Promise<Outcome> {
    this.callStartedAt = this.clock.monotonic()
    const startedAt = this.clock.monotonic()
    const outcome = await call
    this.lastCalls = [this.lastCalls[1], this.clock.monotonic() - startedAt]
    this.callStartedAt = undefined
    return outcome
  }

  recordSuccess(): void {
    this.failures = 0
  }

  recordThrottling(): void {
    this.throttledUntil = this.clock.monotonic() + THROTTLED_MILLISECONDS
  }

  recordFailure(reason: string): void {
    this.failures += 1
    const now = this.clock.monotonic()
    const isNews = now - this.failedAt > RECOVERY_MILLISECONDS
    this.failedAt = now
    if (isNews) this.onLost(reason)
  }
}
