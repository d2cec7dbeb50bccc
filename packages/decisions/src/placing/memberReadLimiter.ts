/**
 * Decides whether an instance reads the rows of the members (all instances) ahead of schedule
 * because it got a message from an instance that it does not know.
 *
 * Load pattern: an instance has just begun to serve. It knows the others from its first read, but
 * they would learn of it only at their next scheduled read and send it no gossip (reports of
 * crashes and load) until then. So it would send requests to endpoints of whose crashes all others
 * have been informed. A new instance sends its first message as soon as its row is written, so one
 * read at that time is enough.
 *
 * | message of an unknown instance arrives                   | members are read            |
 * | -------------------------------------------------------- | --------------------------- |
 * | while reads ahead of schedule are left                   | at once                     |
 * | within `READ_SPACING_MILLISECONDS` of the last such read | once, when that time passed |
 * | while such a read is still to come                       | by that read                |
 * | while none is left: a whole fleet starts, or a flood     | at the scheduled time       |
 *
 * Inputs: the monotonic times, in milliseconds, at which such messages arrive.
 *
 * Limits: the sender of a datagram is not authenticated, and each read costs the store a call. At
 * most `READ_BURST` reads are made together and one a second after that, however many messages
 * arrive. So neither a fleet that starts at once nor a flood of invented names costs the store more
 * than that for each instance in addition to the scheduled reads.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * Number of reads that may be made together, since a message may arrive before its sender's row is
 * written.
 */
export const READ_BURST = 3
/** Time after which one more read becomes available, up to `READ_BURST`. */
const READ_REFILL_MILLISECONDS: Milliseconds = 1_000
/**
 * Least time between two reads: a row that was missing in one read may be present in the next after
 * this time.
 */
const READ_SPACING_MILLISECONDS: Milliseconds = 50

/** Limits reads of the members ahead of schedule. Times are monotonic. */
export class MemberReadLimiter {
  private available = READ_BURST
  private refilledAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Time of the last read that was granted; in the future while that read is still to come. */
  private lastReadAt: Milliseconds = Number.NEGATIVE_INFINITY

  /**
   * Takes one read for a message of an unknown instance: returns the delay after which the members
   * are to be read, or undefined where no further read is granted.
   */
  take(now: Milliseconds): Milliseconds | undefined {
    this.refill(now)
    const isPending = this.lastReadAt > now
    if (this.available < 1 || isPending) return undefined
    this.available -= 1
    this.lastReadAt = Math.max(now, this.lastReadAt + READ_SPACING_MILLISECONDS)
    return this.lastReadAt - now
  }

  private refill(now: Milliseconds): void {
    const refilled = (now - this.refilledAt) / READ_REFILL_MILLISECONDS
    this.available = Math.min(READ_BURST, this.available + refilled)
    this.refilledAt = now
  }
}
