/**
 * Does this instance's own link carry one more request, and if not, when?
 *
 * Load pattern: all callers of a busy team stay with one weak instance. What they send comes faster
 * than its link takes it, so everything waits behind it: their own prompts, until their callers have
 * left, and the store's answers, so that the instance serves by a configuration that is seconds old.
 * What the link cannot carry is refused at once, before its body is read.
 *
 * Limits: part of the link stays free for the store and for other instances; small requests are
 * always taken, since refusing one costs the link as much as taking it, and count against the
 * others; a body larger than the whole budget is taken when the budget is untouched. Bodies of
 * requests that are refused unread come behind: they have what admitted ones leave.
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'
import { trackQuantile } from '../choosing/trackQuantile.js'

/**
 * Part of the link that the bodies of requests may take in: each goes out again to an endpoint, and a
 * third of the link stays for the rest.
 */
const LINK_SHARE = 0.35
/** Bodies that may come at once, as the time in which the budget refills: a burst, no queue. */
const BURST_MILLISECONDS = 400
/** A body that fits into a few packets costs no more than its refusal. */
const SMALL_BYTES: Bytes = 4_096
/** What refused bodies owe beyond this is forgotten, so that a flood isn't paid for long after its end. */
const LONGEST_OWED_MILLISECONDS: Milliseconds = 4_000

/** Weights of one body in the mean of those that come without a length: some twenty count. */
const MEAN_WEIGHTS = { above: 0.05, below: 0.05 }

/** What the own link still carries; it refills with time. */
export class LinkBandwidthBudget {
  private readonly perMillisecond: number
  private readonly most: Bytes
  private left: Bytes
  /** What bodies of refused requests took and the link's budget has not covered yet. */
  private owed: Bytes = 0
  private at: Milliseconds = 0
  /** Mean of the bodies that came without a length; undefined before the first. */
  private usualBytes: number | undefined

  /** A budget for a link of so many bytes a second. */
  constructor(linkBytesPerSecond: number) {
    this.perMillisecond = (LINK_SHARE * linkBytesPerSecond) / 1000
    this.most = this.perMillisecond * BURST_MILLISECONDS
    this.left = this.most
  }

  /**
   * Takes a body of this size where the link carries it: 0, or else the time after which it will;
   * `now` is monotonic. A body of unknown size is let in where one of the usual size fits, and
   * counts when it is read.
   */
  take(bytes: Bytes | undefined, now: Milliseconds): Milliseconds {
    this.refill(now)
    const expected = bytes ?? this.usualBytes ?? 0
    const needed =
      expected <= SMALL_BYTES ? Number.NEGATIVE_INFINITY : Math.min(expected, this.most)
    if (this.left < needed) return (needed - this.left) / this.perMillisecond
    if (bytes !== undefined) this.spend(bytes)
    return 0
  }

  /** A body that was let in without its size has been read. */
  noteBodyRead(bytes: Bytes, now: Milliseconds): void {
    this.refill(now)
    this.spend(bytes)
    this.usualBytes = trackQuantile(this.usualBytes, bytes, MEAN_WEIGHTS)
  }

  /**
   * The time after which the budget would have covered the body of a request that is refused unread, behind admitted
   * bodies and earlier refused ones; `now` is monotonic. A small one waits for nothing.
   */
  refusedBodyWait(bytes: Bytes, now: Milliseconds): Milliseconds {
    this.refill(now)
    if (bytes <= SMALL_BYTES) return 0
    return (this.owed + bytes) / this.perMillisecond
  }

  /** So much of the body of a refused request comes over the link. */
  noteRefusedBody(bytes: Bytes, now: Milliseconds): void {
    this.refill(now)
    this.owed = Math.min(this.owed + bytes, this.perMillisecond * LONGEST_OWED_MILLISECONDS)
  }

  /** The part of what bodies may take that is spent, in [0, 1]; `now` is monotonic. */
  usedShare(now: Milliseconds): number {
    this.refill(now)
    return Math.min(1, 1 - this.left / this.most)
  }

  private spend(bytes: Bytes): void {
    this.left = Math.max(-this.most, this.left - bytes)
  }

  private refill(now: Milliseconds): void {
    const refilled = this.left + (now - this.at) * this.perMillisecond
    const surplus = Math.max(0, refilled - this.most)
    this.left = refilled - surplus
    this.owed = Math.max(0, this.owed - surplus)
    this.at = now
  }
}
