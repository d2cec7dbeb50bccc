/**
 * Decides whether an attempt in flight is withdrawn because its endpoint is known to have terminated.
 *
 * Load pattern: a front (load balancer, sidecar or supervisor) that keeps listening at the address of a terminated engine
 * keeps some of its connections open. A request that waits there is never answered, while another endpoint is free. So an
 * attempt without any part of an answer is withdrawn as soon as the termination is known, and so is an attempt whose answer
 * has begun and then stalled. A withdrawn request goes on at another endpoint where it may be repeated.
 *
 * Inputs: when the attempt was sent and last received something, how and when the termination became known, and when the
 * endpoint last reported its state. All times are monotonic milliseconds.
 *
 * Probes are short and may mistake a slow endpoint for a terminated one. A request that may not be repeated has no second
 * chance. So its attempt is withdrawn only when a later probe or a later gossip message confirms the termination and the
 * endpoint has reported no state in between.
 *
 * A termination may become known late, when the endpoint is back at its address and answers requests sent since. So
 * only attempts that were sent before the probe, or before the gossip message can have left its sender, are withdrawn.
 * An attempt whose answer has begun is withdrawn only by this instance's own probes, since gossip says nothing about
 * that one connection.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** How an instance knows that an endpoint has terminated. Times are monotonic. */
export type KnownTermination =
  | {
      /** A probe by this instance. */
      readonly source: 'look'
      /** When the reset was seen that caused the probe. */
      readonly brokenAt: Milliseconds
      /** When the newest probe that showed the termination began. */
      readonly lookedAt: Milliseconds
    }
  | {
      /** Gossip from another instance. */
      readonly source: 'news'
      /** When this instance first received gossip of this termination. */
      readonly firstToldAt: Milliseconds
      /** When this instance received the newest gossip of it. */
      readonly toldAt: Milliseconds
    }

/** An attempt at an endpoint that has not ended. Times are monotonic. */
export interface InFlightAttempt {
  readonly sentAt: Milliseconds
  /** When the newest part of its answer arrived, or undefined if none has. */
  readonly heardAt: Milliseconds | undefined
  /** Whether this instance has paused reading the answer. All of it may already have arrived unread. */
  readonly isPaused: boolean
  /** Whether its request may run once more. */
  readonly isRepeatable: boolean
  /** When a termination first became known that would have withdrawn a repeatable attempt, or undefined. */
  readonly firstDoubtedAt: Milliseconds | undefined
}

/** What to do with an attempt in flight. */
export type Withdrawal =
  | 'none'
  /** The request may not be repeated, so the attempt waits until the termination is confirmed. */
  | 'doubted'
  /** Withdrawn; it was at the endpoint when that terminated. */
  | 'was-there'
  /** Withdrawn; it was sent after the termination, to whatever has listened there since. */
  | 'sent-later'

/** Maximum age of a gossip message when it arrives. */
const GOSSIP_DELAY_MILLISECONDS: Milliseconds = 500
/** An answer that has begun counts as hung if no part of it arrived for this long before a probe. */
const HUNG_AFTER_MILLISECONDS: Milliseconds = 1_000
/** A probe or gossip message that is this much later than the first is a separate one and confirms it. */
const CONFIRMATION_GAP_MILLISECONDS: Milliseconds = 400

/**
 * Returns what to do with an attempt whose endpoint is known to have terminated. `endpointHeardAt` is when the endpoint
 * last reported its state.
 */
export function judgeWithdrawal(
  attempt: InFlightAttempt,
  termination: KnownTermination,
  endpointHeardAt: Milliseconds,
): Withdrawal {
  const { unansweredBefore, seenAt } = timesOf(termination, endpointHeardAt)
  const isOver =
    attempt.heardAt === undefined ? attempt.sentAt < unansweredBefore : isHung(attempt, termination)
  if (!isOver) return 'none'
  if (!attempt.isRepeatable && !isConfirmed(attempt, termination, endpointHeardAt)) return 'doubted'
  return attempt.sentAt < seenAt ? 'was-there' : 'sent-later'
}

/** Returns when the newest evidence of a termination was obtained. */
function knownAt(termination: KnownTermination): Milliseconds {
  return termination.source === 'look' ? termination.lookedAt : termination.toldAt
}

function isConfirmed(
  { firstDoubtedAt }: InFlightAttempt,
  termination: KnownTermination,
  endpointHeardAt: Milliseconds,
): boolean {
  if (firstDoubtedAt === undefined || endpointHeardAt >= firstDoubtedAt) return false
  return knownAt(termination) >= firstDoubtedAt + CONFIRMATION_GAP_MILLISECONDS
}

/**
 * Returns two bounds on the sending time. An attempt sent before `unansweredBefore` will not be answered any more. An
 * attempt sent before `seenAt` was at the endpoint when it terminated.
 */
function timesOf(termination: KnownTermination, endpointHeardAt: Milliseconds) {
  if (termination.source === 'look')
    return { unansweredBefore: termination.lookedAt, seenAt: termination.brokenAt }
  const leftAt = termination.toldAt - GOSSIP_DELAY_MILLISECONDS
  // An endpoint that reported its state after the gossip message may have left is back, or never terminated.
  const isBack = endpointHeardAt >= leftAt
  const unansweredBefore = isBack ? Number.NEGATIVE_INFINITY : leftAt
  return { unansweredBefore, seenAt: termination.firstToldAt - GOSSIP_DELAY_MILLISECONDS }
}

function isHung({ heardAt, isPaused }: InFlightAttempt, termination: KnownTermination): boolean {
  if (termination.source === 'news' || isPaused || heardAt === undefined) return false
  return heardAt < termination.lookedAt - HUNG_AFTER_MILLISECONDS
}
