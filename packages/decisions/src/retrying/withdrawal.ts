/**
 * Decides whether an attempt in flight is withdrawn because its endpoint is known to have terminated.
 *
 * Load pattern: a front (load balancer, sidecar or supervisor) that keeps listening at the address of a terminated engine
 * keeps some of its connections open. A request that waits there is never answered, while another endpoint is free. So an
 * attempt without any part of an answer is withdrawn as soon as the termination is known, and so is an attempt whose answer
 * has begun and then stalled. The request of a withdrawn attempt goes to another endpoint if it may be repeated.
 *
 * Inputs: when the attempt was sent and last received something, how and when the termination became known, and when the
 * endpoint last reported its state. All times are monotonic milliseconds.
 *
 * Probes are short and may mistake a slow endpoint for a terminated one. A request that may not be repeated has no second
 * chance. So its attempt is withdrawn only when a probe or a gossip message (a message between instances) at least 400 ms
 * after the first evidence confirms the termination, and the endpoint has reported no state in between.
 *
 * A termination may become known late, when the endpoint is back at its address and answers requests sent since. So an
 * attempt without any part of an answer is withdrawn only if it was sent before the newest probe began, or before the
 * earliest time at which the gossip message can have left its sender. Gossip withdraws nothing if the endpoint has reported
 * its state since that time. An attempt whose answer has begun is withdrawn only by this instance's own probes, since gossip
 * says nothing about that one connection. It is not withdrawn while this instance has paused reading the answer.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** How an instance knows that an endpoint has terminated. Times are monotonic. */
export type KnownTermination =
  | {
      /** This instance's own probes, or a row with a new start of an endpoint that reset requests here. */
      readonly source: 'look'
      /** When this instance saw the reset that caused the probes. */
      readonly resetAt: Milliseconds
      /** When the newest probe that confirmed the termination began, or when the reset was seen if no probe was made. */
      readonly lookedAt: Milliseconds
    }
  | {
      /** A gossip message from another instance. */
      readonly source: 'news'
      /** When this instance received the first gossip message about this termination. */
      readonly firstReportedAt: Milliseconds
      /** When this instance received the newest gossip message about this termination. */
      readonly reportedAt: Milliseconds
    }

/** An attempt that is still in progress at an endpoint. Times are monotonic. */
export interface InFlightAttempt {
  /** When the request was sent to the endpoint. */
  readonly sentAt: Milliseconds
  /** When the newest part of the attempt's answer arrived, or undefined if none has. */
  readonly heardAt: Milliseconds | undefined
  /** Whether this instance has paused reading the answer. All of it may already have arrived unread. */
  readonly isPaused: boolean
  /** Whether the attempt's request may run once more. */
  readonly isRepeatable: boolean
  /**
   * Time of the first evidence that gave the result `doubted` for this attempt since the endpoint last reported its state,
   * or undefined if there is none.
   */
  readonly firstDoubtedAt: Milliseconds | undefined
}

/** What to do with an attempt in flight. */
export type Withdrawal =
  /** The attempt goes on, since its answer may still arrive. */
  | 'none'
  /** The attempt goes on until the termination is confirmed, since its request may not be repeated. */
  | 'doubted'
  /** The attempt is withdrawn. Its request was at the endpoint when the endpoint terminated. */
  | 'was-there'
  /** The attempt is withdrawn. Its request was sent after the termination, to the front that listens there. */
  | 'sent-later'

/** Maximum time from the sending of a gossip message to its arrival. */
const GOSSIP_DELAY_MILLISECONDS: Milliseconds = 500
/** An answer that has begun counts as hung if no part of it arrived in more than this time before the newest probe. */
const HUNG_AFTER_MILLISECONDS: Milliseconds = 1_000
/** A probe or gossip message that is at least this much later than the first evidence is independent and confirms it. */
const CONFIRMATION_GAP_MILLISECONDS: Milliseconds = 400

/**
 * Returns what to do with an attempt whose endpoint is known to have terminated. `endpointHeardAt` is the monotonic time at
 * which the endpoint last reported its state.
 */
export function judgeWithdrawal(
  attempt: InFlightAttempt,
  termination: KnownTermination,
  endpointHeardAt: Milliseconds,
): Withdrawal {
  const { unansweredBefore, presentBefore } = sendingBounds(termination, endpointHeardAt)
  const isOver =
    attempt.heardAt === undefined ? attempt.sentAt < unansweredBefore : isHung(attempt, termination)
  if (!isOver) return 'none'
  if (!attempt.isRepeatable && !isConfirmed(attempt, termination, endpointHeardAt)) return 'doubted'
  return attempt.sentAt < presentBefore ? 'was-there' : 'sent-later'
}

/** Returns when the newest evidence of a termination was obtained. */
function knownAt(termination: KnownTermination): Milliseconds {
  return termination.source === 'look' ? termination.lookedAt : termination.reportedAt
}

/** Whether later evidence confirms the first, and the endpoint has reported no state in between. */
function isConfirmed(
  { firstDoubtedAt }: InFlightAttempt,
  termination: KnownTermination,
  endpointHeardAt: Milliseconds,
): boolean {
  if (firstDoubtedAt === undefined || endpointHeardAt >= firstDoubtedAt) return false
  return knownAt(termination) >= firstDoubtedAt + CONFIRMATION_GAP_MILLISECONDS
}

/**
 * Returns two bounds on the time at which an attempt was sent. An attempt sent before `unansweredBefore` will get no answer.
 * An attempt sent before `presentBefore` was at the endpoint when the endpoint terminated.
 */
function sendingBounds(termination: KnownTermination, endpointHeardAt: Milliseconds) {
  if (termination.source === 'look')
    return { unansweredBefore: termination.lookedAt, presentBefore: termination.resetAt }
  const leftAt = termination.reportedAt - GOSSIP_DELAY_MILLISECONDS
  // The gossip message left its sender at `leftAt` at the earliest. An endpoint that has reported its state since then may
  // be back, or may never have terminated.
  const isBack = endpointHeardAt >= leftAt
  const unansweredBefore = isBack ? Number.NEGATIVE_INFINITY : leftAt
  return {
    unansweredBefore,
    presentBefore: termination.firstReportedAt - GOSSIP_DELAY_MILLISECONDS,
  }
}

/** Whether an answer that has begun stalled before the newest probe of this instance. */
function isHung({ heardAt, isPaused }: InFlightAttempt, termination: KnownTermination): boolean {
  if (termination.source === 'news' || isPaused || heardAt === undefined) return false
  return heardAt < termination.lookedAt - HUNG_AFTER_MILLISECONDS
}
