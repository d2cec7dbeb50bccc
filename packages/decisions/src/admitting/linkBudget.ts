/**
 * Decides whether this instance's own link can carry the body of one more request, and if not,
 * after how long it can.
 *
 * Load pattern: all callers of a busy team stay with one instance. Their requests arrive faster
 * than its link can carry them, so all traffic of the instance queues: the callers' prompts, until
 * their callers have left, and the store's answers, so that the instance serves by a configuration
 * that is seconds old. So requests that the link cannot carry are refused at once, before their
 * bodies are read.
 *
 * Inputs: the link's rate in bytes a second, from the settings, and the size of each body in bytes
 * where the size is known. Times are monotonic milliseconds.
 *
 * Limits: part of the link stays free for traffic with the store and other instances. Small
 * requests are always admitted, since refusing one costs the link as much as admitting it, and
 * their bytes are subtracted from the budget. A body larger than the whole budget is admitted while
 * the budget is unused. Bodies of requests that are refused unread arrive over the link as well;
 * they are covered only by what admitted bodies leave unused.
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'
import { updateAsymmetricMean } from '../choosing/asymmetricMean.js'

/**
 * Part of the link that the bodies of requests may take up as they arrive. Each body takes as much
 * again when it is sent to an endpoint, so nearly a third of the link stays for other traffic.
 */
const LINK_SHARE = 0.35
/**
 * Time in which an empty budget refills. Its capacity is the largest burst that is admitted at
 * once; requests beyond the burst are refused and not queued.
 */
const BURST_REFILL_MILLISECONDS = 400
/** Bodies up to this size fit into a few packets and cost no more than a refusal. */
const SMALL_BYTES: Bytes = 4_096
/**
 * Limit on the bytes of refused bodies that are not covered yet, as time of the budget's refill.
 * Without this limit, a flood of refused requests would delay connections long after its end.
 */
const MAXIMUM_UNCOVERED_MILLISECONDS: Milliseconds = 4_000

/**
 * Weights of one body in the moving average of the sizes of bodies that came without a length:
 * about the last twenty bodies count.
 */
const MEAN_WEIGHTS = { above: 0.05, below: 0.05 }

/** Token bucket, in bytes, for the bodies that the instance's own link carries. */
export class LinkBandwidthBudget {
  private readonly bytesPerMillisecond: number
  private readonly capacity: Bytes
  /** Bytes that may be admitted; negative, at least minus the capacity, if more were admitted. */
  private available: Bytes
  /** Bytes of refused requests' bodies that the budget has not covered yet. */
  private uncovered: Bytes = 0
  private refilledAt: Milliseconds = 0
  /** Moving average size of the bodies that came without a length; undefined before the first. */
  private meanBytes: number | undefined

  /** Creates the budget of a link that carries `linkBytesPerSecond`. */
  constructor(linkBytesPerSecond: number) {
    this.bytesPerMillisecond = (LINK_SHARE * linkBytesPerSecond) / 1000
    this.capacity = this.bytesPerMillisecond * BURST_REFILL_MILLISECONDS
    this.available = this.capacity
  }

  /**
   * Takes a body of this size from the budget: returns 0 where the link can carry the body, or else
   * the time after which the link can; `now` is monotonic. A body of unknown size is admitted where
   * one of the mean size fits, and its size is subtracted once the body has been read.
   */
  take(bytes: Bytes | undefined, now: Milliseconds): Milliseconds {
    this.refill(now)
    const expected = bytes ?? this.meanBytes ?? 0
    const needed =
      expected <= SMALL_BYTES ? Number.NEGATIVE_INFINITY : Math.min(expected, this.capacity)
    if (this.available < needed) return (needed - this.available) / this.bytesPerMillisecond
    if (bytes !== undefined) this.spend(bytes)
    return 0
  }

  /** Subtracts a body that was admitted without a known size and has now been read. */
  noteBodyRead(bytes: Bytes, now: Milliseconds): void {
    this.refill(now)
    this.spend(bytes)
    this.meanBytes = updateAsymmetricMean(this.meanBytes, bytes, MEAN_WEIGHTS)
  }

  /**
   * Returns the least time after which the budget has covered the body of a request that is refused
   * unread, behind the bodies of earlier refused requests; 0 for a small body. The time does not
   * include what the budget needs for admitted bodies, which are covered first. `now` is monotonic.
   */
  refusedBodyWait(bytes: Bytes, now: Milliseconds): Milliseconds {
    this.refill(now)
    if (bytes <= SMALL_BYTES) return 0
    return (this.uncovered + bytes) / this.bytesPerMillisecond
  }

  /** Adds `bytes` of a refused request's body that arrive over the link; `now` is monotonic. */
  noteRefusedBody(bytes: Bytes, now: Milliseconds): void {
    this.refill(now)
    this.uncovered = Math.min(
      this.uncovered + bytes,
      this.bytesPerMillisecond * MAXIMUM_UNCOVERED_MILLISECONDS,
    )
  }

  /** Returns the part of the budget that is spent, in [0, 1]; `now` is monotonic. */
  usedShare(now: Milliseconds): number {
    this.refill(now)
    return Math.min(1, 1 - this.available / this.capacity)
  }

  private spend(bytes: Bytes): void {
    this.available = Math.max(-this.capacity, this.available - bytes)
  }

  /** Refills the budget; what exceeds the capacity covers bodies of refused requests. */
  private refill(now: Milliseconds): void {
    const refilled = this.available + (now - this.refilledAt) * this.bytesPerMillisecond
    const surplus = Math.max(0, refilled - this.capacity)
    this.available = refilled - surplus
    this.uncovered = Math.max(0, this.uncovered - surplus)
    this.refilledAt = now
  }
}
