/**
 * State of the store as seen by one budget's calls: failing, throttling, not answering or slow.
 * Owns the failures since the last success, the call in progress, the durations of the last two
 * calls and the delay after a throttled write. Times are in milliseconds.
 *
 * Without this state, each request that the holding does not cover would wait for a store that
 * cannot answer, instead of being served by another instance or refused at once.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** A store that has left a call unanswered for longer than this counts as unavailable. */
const UNANSWERED_CALL_MILLISECONDS: Milliseconds = 250
/** Time without new writes after the store throttled one. */
const THROTTLED_MILLISECONDS: Milliseconds = 400

/**
 * A failure is reported only if no call failed for longer than this before it. A store that rejects
 * every other call thus causes one log line, not one per failure.
 */
const RECOVERY_MILLISECONDS: Milliseconds = 5_000

/** State of the store as seen by the calls of one budget. */
export class StoreHealth {
  private failuresSinceSuccess = 0
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private throttledUntil: Milliseconds = 0
  private callStartedAt: Milliseconds | undefined
  /** Durations of the last two calls. */
  private lastDurations: readonly [Milliseconds, Milliseconds] = [0, 0]

  constructor(
    private readonly clock: Clock,
    /** Called at a failure that follows `RECOVERY_MILLISECONDS` without failures. */
    private readonly onFailureReport: (reason: string) => void,
  ) {}

  /**
   * Whether a call has failed since the last one that succeeded. A throttled write counts as
   * neither. The ledger then probes the store with reads until one succeeds.
   */
  get isFailing(): boolean {
    return this.failuresSinceSuccess > 0
  }

  /** Whether the delay after a throttled write is not over yet. */
  get isThrottled(): boolean {
    return this.clock.monotonic() < this.throttledUntil
  }

  /**
   * Whether requests should not wait for the store: it throttles writes, is failing, or has left
   * the call in progress unanswered for more than `UNANSWERED_CALL_MILLISECONDS`.
   */
  get isUnavailable(): boolean {
    return this.isThrottled || this.isFailing || (this.callAge ?? 0) > UNANSWERED_CALL_MILLISECONDS
  }

  /**
   * Whether each of the last two calls took longer than `patience`, so that the next one is likely
   * to do so as well. Waiting for it would use up the time in which other instances can be asked.
   */
  isSlowerThan(patience: Milliseconds): boolean {
    return Math.min(...this.lastDurations) > patience
  }

  /** Age of the call in progress; undefined if there is none. */
  get callAge(): Milliseconds | undefined {
    if (this.callStartedAt === undefined) return undefined
    return this.clock.monotonic() - this.callStartedAt
  }

  /** Awaits a call and records its duration, also if the call rejects. */
  async timed<Outcome>(call: Promise<Outcome>): Promise<Outcome> {
    this.callStartedAt = this.clock.monotonic()
    const startedAt = this.clock.monotonic()
    try {
      return await call
    } finally {
      this.lastDurations = [this.lastDurations[1], this.clock.monotonic() - startedAt]
      this.callStartedAt = undefined
    }
  }

  recordSuccess(): void {
    this.failuresSinceSuccess = 0
  }

  recordThrottling(): void {
    this.throttledUntil = this.clock.monotonic() + THROTTLED_MILLISECONDS
  }

  recordFailure(reason: string): void {
    this.failuresSinceSuccess += 1
    const now = this.clock.monotonic()
    const isReported = now - this.failedAt > RECOVERY_MILLISECONDS
    this.failedAt = now
    if (isReported) this.onFailureReport(reason)
  }
}
