/**
 * Decides whether an endpoint's answer is proven complete, what becomes of an answer that is not, and whether the end of an
 * incomplete answer counts as a failure of its endpoint.
 *
 * Inputs: how the answer is framed, how reading it ended, whether its body is truncated or missing, whether the route allows the
 * request to run again, and whether the caller has a part of the answer.
 *
 * An answer is complete only if its own framing says so and its body is not truncated, and never merely because reading it
 * ended without an error. A complete answer is passed on whatever happens afterwards, and no other answer is framed as
 * complete. Without this rule a caller could take a truncated answer for a complete one.
 */

import type { RepeatableRoute } from '../retrying/retryStep.js'
import { canRepeat } from '../retrying/retryStep.js'

/** How an answer indicates its end. */
export type AnswerFraming =
  /** The Content-Length header field says how many bytes the body has. */
  | 'length'
  /** The body is sent in chunks and ends with the last chunk. */
  | 'chunks'
  /** The body ends when the endpoint closes the connection. */
  | 'connection'
  /** No body follows, because of the status or the request's method. */
  | 'bodiless'

/** The event that ended the reading of an answer. If several happened, the first one. */
export type AnswerEnd =
  /** All bytes of the content length, or the last chunk, have arrived. */
  | 'complete'
  /** The endpoint closed the connection in an orderly way. */
  | 'closed'
  /** The connection was reset, or its bytes were no valid answer. */
  | 'reset'
  /** No data arrived for too long. */
  | 'silence'
  /** The endpoint is known to have terminated, and nothing reset the connection. */
  | 'endpoint-ended'
  /** This instance gave the answer up while the caller still waits. */
  | 'aborted'
  /** The request's deadline passed. */
  | 'deadline'
  /** The caller disconnected. */
  | 'caller-left'
  /** This instance stopped. */
  | 'instance-stopped'
  /** New settings replaced those under which the answer was read. */
  | 'settings-replaced'

/** An answer whose reading has ended. */
export interface EndedAnswer {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  /**
   * Whether the body shows that it is incomplete: it is missing (see `isBodyMissing`), or the end of an event, or the event
   * that closes the stream, is.
   */
  readonly isBodyTruncated: boolean
}

/** What becomes of an answer and its request. */
export type AnswerDisposition =
  /** The answer is passed on and framed as complete. */
  | 'whole'
  /** Another endpoint resumes after the last event that the caller has. */
  | 'continued'
  /** Another endpoint runs the request from its beginning. */
  | 'repeated'
  /** The answer to the caller is broken off, so that the caller can see that it is incomplete. */
  | 'cut'
  /** The caller gets an error in place of the answer. */
  | 'refused'
  /** The answer is discarded, since its caller has disconnected. */
  | 'dropped'

/** For each framing, the only end that proves an answer complete. */
const COMPLETE_ENDS: Readonly<Record<AnswerFraming, AnswerEnd>> = {
  length: 'complete',
  chunks: 'complete',
  connection: 'closed',
  bodiless: 'complete',
}

/**
 * Statuses of answers that have content unless their framing says that it is empty (RFC 9110, sections 15.3.1, 15.3.4 and
 * 15.3.7): 200, 203 and 206.
 */
const STATUSES_WITH_CONTENT: ReadonlySet<number> = new Set([200, 203, 206])

/** Ends after which no other endpoint is tried, since no caller waits any more or this instance cannot deliver an answer. */
const FINAL_ENDS: ReadonlySet<AnswerEnd> = new Set(['deadline', 'caller-left', 'instance-stopped'])

/** Ends that this instance, its settings, the deadline or the caller caused, and not the endpoint. */
const LOCAL_ENDS: ReadonlySet<AnswerEnd> = new Set([
  'aborted',
  'deadline',
  'caller-left',
  'instance-stopped',
  'settings-replaced',
])

/**
 * Whether nothing came of a body that the status lets expect. The system also closes the connections of a process that has
 * ended, so a close directly after the head does not show that the body is empty. Other framings tell that by themselves.
 */
export function isBodyMissing(
  framing: AnswerFraming,
  { status, hasBody }: { readonly status: number; readonly hasBody: boolean },
): boolean {
  return framing === 'connection' && !hasBody && STATUSES_WITH_CONTENT.has(status)
}

/** Whether the end of an incomplete answer counts as a failure of its endpoint. */
export function isEndpointFailure({ end }: EndedAnswer): boolean {
  return !LOCAL_ENDS.has(end)
}

/** Whether an answer may be framed as complete. */
export function isProvenComplete({ framing, end, isBodyTruncated }: EndedAnswer): boolean {
  return end === COMPLETE_ENDS[framing] && !isBodyTruncated
}

/**
 * Returns what becomes of an answer and its request. `'continued'` and `'repeated'` say what the route allows. Whether
 * another endpoint is in fact tried also depends on the attempts so far, the endpoints left and the retry budget.
 */
export function answerDisposition(
  answer: EndedAnswer,
  request: { readonly route: RepeatableRoute; readonly isReplyStarted: boolean },
): AnswerDisposition {
  if (isProvenComplete(answer)) return 'whole'
  if (answer.end === 'caller-left') return 'dropped'
  const { isReplyStarted } = request
  if (!FINAL_ENDS.has(answer.end) && canRepeat(request)) {
    return isReplyStarted ? 'continued' : 'repeated'
  }
  return isReplyStarted ? 'cut' : 'refused'
}
