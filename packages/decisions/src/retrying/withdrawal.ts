/**
 * Is an exchange given up because its endpoint is known to have ended?
 *
 * Load pattern: whatever goes on listening at the address of an ended engine keeps some of its connections open. Who waits
 * there is never answered, while another endpoint is free. So what has had no part of an answer goes on elsewhere as soon as
 * the end is known, and so does an answer that has begun and of which nothing came for a while.
 *
 * Short looks may take a slow endpoint for an ended one. What may not be repeated has no second chance, so it is given up only
 * when the end is known again by a later look or later news, and the endpoint has told no state meanwhile.
 *
 * An end may be known late: the endpoint is back under its address, and what was sent to it since is answered. So only what
 * was sent before the look that showed the end, or before news of it can have left, is given up. What has begun is given up
 * by looks of this instance alone: news say nothing of the one connection.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** How an instance knows that an endpoint has ended. Times are monotonic. */
export type KnownTermination =
  | {
      readonly source: 'look'
      /** When the break was seen for which it was looked. */
      readonly brokenAt: Milliseconds
      /** When the look began that showed the end, the newest one. */
      readonly lookedAt: Milliseconds
    }
  | {
      readonly source: 'news'
      /** When this instance was told first of this end, */
      readonly firstToldAt: Milliseconds
      /** and when it was told now. */
      readonly toldAt: Milliseconds
    }

/** An exchange with an endpoint that has not ended. Times are monotonic. */
export interface InFlightAttempt {
  readonly sentAt: Milliseconds
  /** When the newest part of its answer came; undefined where there is none. */
  readonly heardAt: Milliseconds | undefined
  /** Whether this instance reads no more of it for now: what has come may be all of it. */
  readonly isPaused: boolean
  /** Whether its request may run once more. */
  readonly isRepeatable: boolean
  /** When the end was known first by which it would have been given up, were it repeatable; undefined where none was. */
  readonly firstDoubtedAt: Milliseconds | undefined
}

/** What is done with an exchange. */
export type Withdrawal =
  | 'none'
  /** It may not be repeated, and waits until the end is known again. */
  | 'doubted'
  /** It was there when the endpoint ended. */
  | 'was-there'
  /** It was sent to whatever listens there since. */
  | 'sent-later'

/** News are no older than this when they arrive. */
const NEWS_MILLISECONDS: Milliseconds = 500
/** An answer that has begun is taken for hung when nothing of it came for this long before a look. */
const QUIET_MILLISECONDS: Milliseconds = 1_000
/** A look or news so much later is another one than the first. */
const CONFIRMED_MILLISECONDS: Milliseconds = 400

/** Whether an exchange is given up for an end that is known, at an endpoint that last told its state at a time. */
export function judgeWithdrawal(
  attempt: InFlightAttempt,
  end: KnownTermination,
  endpointHeardAt: Milliseconds,
): Withdrawal {
  const { endedBefore, seenAt } = timesOf(end, endpointHeardAt)
  const isGivenUp =
    attempt.heardAt === undefined ? attempt.sentAt < endedBefore : isHung(attempt, end)
  if (!isGivenUp) return 'none'
  if (!attempt.isRepeatable && !isConfirmed(attempt, end, endpointHeardAt)) return 'doubted'
  return attempt.sentAt < seenAt ? 'was-there' : 'sent-later'
}

/** When an end was known. */
function knownAt(end: KnownTermination): Milliseconds {
  return end.source === 'look' ? end.lookedAt : end.toldAt
}

function isConfirmed(
  { firstDoubtedAt }: InFlightAttempt,
  end: KnownTermination,
  endpointHeardAt: Milliseconds,
): boolean {
  if (firstDoubtedAt === undefined || endpointHeardAt >= firstDoubtedAt) return false
  return knownAt(end) >= firstDoubtedAt + CONFIRMED_MILLISECONDS
}

/** What was sent before the first time is not answered any more; what was sent before the second one was there at the end. */
function timesOf(end: KnownTermination, endpointHeardAt: Milliseconds) {
  if (end.source === 'look') return { endedBefore: end.lookedAt, seenAt: end.brokenAt }
  const leftAt = end.toldAt - NEWS_MILLISECONDS
  // Whoever has told its state since the news may have left is back, or was never gone.
  const isBack = endpointHeardAt >= leftAt
  const endedBefore = isBack ? Number.NEGATIVE_INFINITY : leftAt
  return { endedBefore, seenAt: end.firstToldAt - NEWS_MILLISECONDS }
}

function isHung({ heardAt, isPaused }: InFlightAttempt, end: KnownTermination): boolean {
  if (end.source === 'news' || isPaused || heardAt === undefined) return false
  return heardAt < end.lookedAt - QUIET_MILLISECONDS
}
