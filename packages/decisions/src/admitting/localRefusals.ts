/**
 * Which part of what comes does an instance turn away for reasons of its own?
 *
 * Load pattern: all callers of a team stay with one weak instance. Its processor or its link is full, or their load keeps
 * the store's rows from it, while other instances would serve the same requests.
 *
 * Limits: refusals that any other instance would give as well, as for a budget or a service that is full, count as
 * requests that were carried; an instance that gets few requests judges by nothing.
 */

import { ResultCode } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { SlidingShare } from '../slidingCount.js'

const WINDOW_MILLISECONDS: Milliseconds = 1_000
const SLICES = 10
/** Fewer requests in that time tell nothing. */
const LEAST_REQUESTS = 8

/** How requests end that another instance would have carried. */
const OWN_REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.LinkFull,
  ResultCode.ProcessorFull,
  ResultCode.KnowledgeTooOld,
  ResultCode.CallerLeftUnsent,
])

/** Counts requests that an instance turned away since it could not carry them itself. */
export class LocalRefusals {
  private readonly requests = new SlidingShare(WINDOW_MILLISECONDS, SLICES, LEAST_REQUESTS)

  /** A request has ended so; `now` is monotonic. */
  noteEnd(code: ResultCode, now: Milliseconds): void {
    this.requests.note(now)
    if (OWN_REFUSALS.has(code)) this.requests.noteCounted(now)
  }

  /** Their share of the requests that ended lately, in [0, 1]. */
  share(now: Milliseconds): number {
    return this.requests.at(now)
  }
}
