/**
 * Does an instance read the members ahead of time, since it hears of one that it does not know?
 *
 * Load pattern: an instance has just begun to serve. It knows the others from its first read; they would not know it until
 * their next one, and tell it nothing until then: it sends callers to engines whose ends all others have heard of. It makes
 * itself heard as soon as its row stands, so one read then is enough.
 *
 * | heard of one that is not known                        | members are read           |
 * | ----------------------------------------------------- | -------------------------- |
 * | reads ahead of time are left                          | at once                    |
 * | a moment after the last such read                     | after that moment, once    |
 * | none is left: a whole fleet starts, or anybody writes | at the usual time          |
 *
 * Limits: who sends a datagram is not proved, and each read costs the store a call. At most `READS_AHEAD` are made together
 * and one a second after that, however many are heard of: a fleet that starts at once, or a flood of made-up names, costs
 * each instance no more than that on top of the usual reads.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Reads that may be made together: who is heard before its row stands is read for again, */
export const READ_BURST = 3
/** one of which is won back in this time. */
const READ_REFILL_MILLISECONDS: Milliseconds = 1_000
/** A row that was not there in one read may be in the next one after this time. */
const READ_SPACING_MILLISECONDS: Milliseconds = 50

/** Bounds the reads of members ahead of their time. Times are monotonic. */
export class MemberReadLimiter {
  private left = READ_BURST
  private countedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private readAt: Milliseconds = Number.NEGATIVE_INFINITY

  /** An instance that is not known was heard of; after how long the members are read for it, undefined where they are not. */
  take(now: Milliseconds): Milliseconds | undefined {
    this.refill(now)
    const isDue = this.readAt > now
    if (this.left < 1 || isDue) return undefined
    this.left -= 1
    this.readAt = Math.max(now, this.readAt + READ_SPACING_MILLISECONDS)
    return this.readAt - now
  }

  private refill(now: Milliseconds): void {
    const won = (now - this.countedAt) / READ_REFILL_MILLISECONDS
    this.left = Math.min(READ_BURST, this.left + won)
    this.countedAt = now
  }
}
