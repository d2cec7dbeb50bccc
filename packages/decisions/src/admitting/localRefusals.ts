/**
 * Measures the share of its requests that an instance refuses for reasons of its own, that is,
 * requests that another instance would have served.
 *
 * Load pattern: all callers of a team stay with one instance. Its processor or its link is full, or
 * their load keeps the store's rows from reaching the instance, while other instances would serve
 * the same requests. Without this share the instance could not decide to make callers connect
 * elsewhere (`ListenerPause`).
 *
 * A closed listener turns away urgent requests like all others, while refusals with a status spare
 * them. So the share is that of the most urgent requests only: as long as it is enough to refuse
 * less urgent ones, the listener stays open.
 *
 * Inputs: the result code of each request that ended and its priority, with a monotonic time in
 * milliseconds.
 *
 * Limits: refusals that any other instance would give as well, such as for a used-up budget or a
 * service without room, count as requests that were not refused. A priority counts as present while
 * at least `MINIMUM_REQUESTS` of it are in the window; the share is 0 while none is.
 */

import { ResultCode } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { SlidingShare } from '../slidingCount.js'

/** Time over which requests are counted. */
const WINDOW_MILLISECONDS: Milliseconds = 1_000
/** Parts of the window; a count expires together with its part. */
const WINDOW_PARTS = 10
/** With fewer requests in the window, the share would be left to chance and is taken as 0. */
const MINIMUM_REQUESTS = 8

/** Result codes of requests that another instance would have served. */
const LOCAL_REFUSAL_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.LinkFull,
  ResultCode.ProcessorFull,
  ResultCode.KnowledgeTooOld,
  ResultCode.CallerLeftUnsent,
])

/**
 * Measures the share of the most urgent requests that an instance refused because it could not
 * serve them itself.
 */
export class LocalRefusals {
  /** By priority; smaller numbers are more urgent. */
  private readonly requests = new Map<number, SlidingShare>()

  /** Counts a request of this priority that ended with this code; `now` is monotonic. */
  noteEnd(code: ResultCode, priority: number, now: Milliseconds): void {
    const share = this.requests.get(priority) ?? newShare()
    this.requests.set(priority, share)
    share.note(now)
    if (LOCAL_REFUSAL_CODES.has(code)) share.noteCounted(now)
  }

  /**
   * Returns the share of these refusals among the most urgent requests of the last second, in
   * [0, 1].
   */
  share(now: Milliseconds): number {
    const present = [...this.requests].filter(([, share]) => share.hasEnough(now))
    const [mostUrgent] = present.sort(([left], [right]) => left - right)
    return mostUrgent?.[1].at(now) ?? 0
  }
}

function newShare(): SlidingShare {
  return new SlidingShare(WINDOW_MILLISECONDS, WINDOW_PARTS, MINIMUM_REQUESTS)
}
