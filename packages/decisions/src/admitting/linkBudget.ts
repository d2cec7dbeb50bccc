/**
 * Decides whether this instance's own link can carry the body of one more request, and if not,
 * after how long it can.
 *
 * Load pattern: all callers of a busy team stay with one weak instance. Their requests arrive
 * faster than its link can carry them, so all traffic of the instance queues: the callers' prompts,
 * until their callers have left, and the store's answers, so that the instance serves by a
 * configuration that is seconds old. Requests that the link cannot carry are refused at once,
 * before their bodies are read.
 *
 * Inputs: the link's rate in bytes a second, from the settings, and the size of each body in bytes
 * where it is known. Times are monotonic milliseconds.
 *
 * Limits: part of the link stays free for traffic with the store and other instances. Small
 * requests are always admitted, since refusing one costs the link as much as admitting it; they
 * count against the budget of the others. A body larger than the whole budget is admitted while the
 * budget is untouched. Bodies of requests that are refused unread come last: they use what admitted
 * bodies leave.
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from '../choosing/trackQuantile.js'

/**
 * Part of the link that the bodies of requests may take up on their way in. Each body is sent on to
 * an endpoint as well, and a third of the link stays for other traffic.
 */
const LINK_SHARE = 0.35
/**
 * Size of a burst that is admitted at once, as the time in which the budget refills; there is no
 * queue.
 */
const BURST_REFILL_MILLISECONDS = 400
/** A body that fits into a few packets costs no more than its refusal. */
const SMALL_BYTES: Bytes = 4_096
/**
 * Limit of what refused bodies owe, as time of the budget's refill, so that a flood does not delay
 * requests for long after its end.
 */
const MAXIMUM_OWED_MILLISECONDS: Milliseconds = 4_000

/**
 * Weights of one body in the mean size of bodies without a known length: about the last twenty
 * count.
 */
const MEAN_WEIGHTS = { above: 0.05, below: 0.05 }

/** Token bucket, in bytes, for the bodies that the instance's own link carries. */
export class LinkBandwidthBudget {
  private readonly bytesPerMillisecond: number
  private readonly capacity: Bytes
  private available: Bytes
  /** Bytes of refused requests' bodies that the budget has not covered yet. */
  private owed: Bytes = 0
  private refilledAt: Milliseconds = 0
  /** Mean size of the bodies that came without a length; undefined before the first. */
  private meanBytes: number | undefined

  /** Creates the budget of a link that carries `linkBytesPerSecond`. */
  constructor(linkBytesPerSecond: number) {
    this.bytesPerMillisecond = (LINK_SHARE * linkBytesPerSecond) / 1000
    this.capacity = this.bytesPerMillisecond * BURST_REFILL_MILLISECONDS
    this.available = this.capacity
  }

  /**
   * Takes a body of this size from the budget: returns 0 where the link can carry it, or else the
   * time after which it can; `now` is monotonic. A body of unknown size is admitted where one of
   * the mean size fits, and is subtracted once it has been read.
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
    this.meanBytes = trackQuantile(this.meanBytes, bytes, MEAN_WEIGHTS)
  }

  /**
   * Returns the time after which the budget has covered the body of a request that is refused
   * unread, behind admitted bodies and earlier refused ones; 0 for a small body. `now` is
   * monotonic.
   */
  refusedBodyWait(bytes: Bytes, now: Milliseconds): Milliseconds {
    this.refill(now)
    if (bytes <= SMALL_BYTES) return 0
    return (this.owed + bytes) / this.bytesPerMillisecond
  }

  /** Adds `bytes` of a refused request's body that arrive over the link. */
  noteRefusedBody(bytes: Bytes, now: Milliseconds): void {
    this.refill(now)
    this.owed = Math.min(this.owed + bytes, this.bytesPerMillisecond * MAXIMUM_OWED_MILLISECONDS)
  }

  /** Returns the part of the budget that is spent, in [0, 1]; `now` is monotonic. */
  usedShare(now: Milliseconds): number {
    this.refill(now)
    return Math.min(1, 1 - this.available / this.capacity)
  }

  private spend(bytes: Bytes): void {
    this.available = Math.max(-this.capacity, this.available - bytes)
  }

  private refill(now: Milliseconds): void {
    const refilled = this.available + (now - this.refilledAt) * this.bytesPerMillisecond
    const surplus = Math.max(0, refilled - this.capacity)
    this.available = refilled - surplus
    this.owed = Math.max(0, this.owed - surplus)
    this.refilledAt = now
  }
}
