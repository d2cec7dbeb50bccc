/**
 * State of the store as seen by one budget's calls: unreachable, throttling or slow. Owns the
 * number of consecutive failures, the call in progress and the pause after a throttled write.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** A store that has not answered a call for this long counts as unreachable. */
const SLOW_CALL_MILLISECONDS: Milliseconds = 250
/** Delay of the next write after the store throttled one. */
const THROTTLED_MILLISECONDS: Milliseconds = 400

/**
 * A new failure is reported only after no call failed for this long: a store that rejects every
 * other call is one episode, not one log line per failure.
 */
const RECOVERY_MILLISECONDS: Milliseconds = 5_000

/** State of the store as seen by the calls of one budget. */
export class StoreHealth {
  private failures = 0
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private throttledUntil: Milliseconds = 0
  private callStartedAt: Milliseconds | undefined
  /** Durations of the last two calls. */
  private lastCalls: readonly [Milliseconds, Milliseconds] = [0, 0]

  constructor(
    private readonly clock: Clock,
    /** Called at the first failure after a period without failures. */
    private readonly onLost: (reason: string) => void,
  ) {}

  /**
   * Whether the last call to the store failed; the store is probed with reads until one succeeds.
   */
  get isFailing(): boolean {
    return this.failures > 0
  }

  /** Whether the store throttled a write recently. */
  get isThrottled(): boolean {
    return this.clock.monotonic() < this.throttledUntil
  }

  /** Whether the store cannot answer within the patience of a request. */
  get isUnavailable(): boolean {
    return this.isThrottled || this.isFailing || (this.callAge ?? 0) > SLOW_CALL_MILLISECONDS
  }

  /**
   * Whether a call is likely to take longer than `patience`, as the last two did. Waiting for such
   * a call would use up the time in which other instances can be asked.
   */
  isSlowerThan(patience: Milliseconds): boolean {
    return Math.min(...this.lastCalls) > patience
  }

  /** Age of the call in progress; undefined if there is none. */
  get callAge(): Milliseconds | undefined {
    if (this.callStartedAt === undefined) return undefined
    return this.clock.monotonic() - this.callStartedAt
  }

  /** Awaits a call and records its duration. */
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
    const isNewEpisode = now - this.failedAt > RECOVERY_MILLISECONDS
    this.failedAt = now
    if (isNewEpisode) this.onLost(reason)
  }
}
