/**
 * Recognizes requests that this instance refused, and whose callers came back when they were told
 * to. Load shedding refuses them after new requests of the same priority.
 *
 * Load pattern: all callers of a team stay with one instance that can serve most of them. Refused
 * callers come back once. A refusal picked at random among all requests hits some callers twice,
 * and these have then waited for nothing, while new callers are served.
 *
 * Inputs: a key that is the same whenever a caller sends the same request, the time that the caller
 * was told to wait and the time that it had left. Times are monotonic milliseconds.
 *
 * Limits: a caller that comes back earlier than told counts as new, so that callers which repeat at
 * once get no more than those that wait. Only refusals of this instance are known. A key counts
 * once, and for `MEMORY_MILLISECONDS` at most.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Callers wait for the time they were told, but at most for this share of the time they have left. */
const LONGEST_WAIT_SHARE = 1 / 3
/** Timers of callers and the way here may shorten the wait by this share. */
const EARLY_SHARE = 0.1
/** Time from a refusal after which its caller does not come back: a third of the longest usual deadlines. */
const MEMORY_MILLISECONDS: Milliseconds = 6_000
/** Refusals remembered at most, so that a flood of refused requests can't fill the memory. */
const REMEMBERED_REFUSALS = 4_096

/** One refusal, by its times. */
interface Refusal {
  readonly refusedAt: Milliseconds
  /** From then on, the caller has waited as long as it was told. */
  readonly dueAt: Milliseconds
}

/** Remembers refused requests until their callers come back. */
export class ReturningRequests {
  /** By key, the oldest first. */
  private readonly refusals = new Map<string, Refusal>()

  /** Remembers a request that was refused with a time to come back. */
  noteRefused(
    key: string,
    { wait, remaining }: { readonly wait: Milliseconds; readonly remaining: Milliseconds },
    now: Milliseconds,
  ): void {
    const expected = Math.min(wait, LONGEST_WAIT_SHARE * Math.max(0, remaining))
    this.refusals.delete(key)
    this.refusals.set(key, { refusedAt: now, dueAt: now + (1 - EARLY_SHARE) * expected })
    this.forgetOldest(now)
  }

  /** Returns whether a request came back as told, and forgets its refusal. */
  takeReturning(key: string, now: Milliseconds): boolean {
    const refusal = this.refusals.get(key)
    if (refusal === undefined) return false
    this.refusals.delete(key)
    return now >= refusal.dueAt && now - refusal.refusedAt < MEMORY_MILLISECONDS
  }

  private forgetOldest(now: Milliseconds): void {
    for (const [key, { refusedAt }] of this.refusals) {
      const isOld = now - refusedAt >= MEMORY_MILLISECONDS
      if (!isOld && this.refusals.size <= REMEMBERED_REFUSALS) return
      this.refusals.delete(key)
    }
  }
}
