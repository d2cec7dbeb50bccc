/**
 * Measures which share of its requests an instance refuses for reasons of its own.
 *
 * Load pattern: all callers of a team stay with one weak instance. Its processor or its link is
 * full, or their load keeps rows of the store from reaching it, while other instances would serve
 * the same requests. Without this share the instance could not decide to make callers connect
 * elsewhere (`ListenerPause`).
 *
 * Inputs: the result code of each request that ended, with a monotonic time in milliseconds.
 *
 * Limits: refusals that any other instance would give as well, as for a used-up budget or a full
 * service, count as requests that were not refused. The share is 0 while there are fewer than
 * `MINIMUM_REQUESTS`.
 */

import { ResultCode } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { SlidingShare } from '../slidingCount.js'

const WINDOW_MILLISECONDS: Milliseconds = 1_000
const WINDOW_PARTS = 10
/** Fewer requests in the window say nothing. */
const MINIMUM_REQUESTS = 8

/** Result codes of requests that another instance would have served. */
const LOCAL_REFUSAL_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.LinkFull,
  ResultCode.ProcessorFull,
  ResultCode.KnowledgeTooOld,
  ResultCode.CallerLeftUnsent,
])

/**
 * Measures the share of requests that an instance refused because it could not serve them itself.
 */
export class LocalRefusals {
  private readonly requests = new SlidingShare(WINDOW_MILLISECONDS, WINDOW_PARTS, MINIMUM_REQUESTS)

  /** Counts a request that ended with this code; `now` is monotonic. */
  noteEnd(code: ResultCode, now: Milliseconds): void {
    this.requests.note(now)
    if (LOCAL_REFUSAL_CODES.has(code)) this.requests.noteCounted(now)
  }

  /** Returns the share of such refusals among the requests that ended lately, in [0, 1]. */
  share(now: Milliseconds): number {
    return this.requests.at(now)
  }
}
