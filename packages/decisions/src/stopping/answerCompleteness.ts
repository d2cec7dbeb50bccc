/**
 * Decides whether an endpoint's answer is proven complete, and what becomes of an answer that is not.
 *
 * Inputs: how the answer is framed, how reading it ended, whether its body is truncated, whether the route allows the
 * request to run again, and whether the caller has a part of the answer.
 *
 * An answer is complete only if its own framing says so, and never merely because it ended without an error. A complete
 * answer is passed on whatever happens afterwards, and nothing else is framed as complete. Without this rule a caller
 * could take a truncated answer for a complete one.
 */

import type { RepeatableRoute } from '../retrying/retryStep.js'
import { canRepeat } from '../retrying/retryStep.js'

/** How an answer indicates its end. */
export type AnswerFraming =
  /** By a content length in bytes. */
  | 'length'
  /** By a last chunk. */
  | 'chunks'
  /** By the closing of its connection. */
  | 'connection'
  /** The status or the method says that no body follows. */
  | 'bodiless'

/** The event that ended the reading of an answer, whichever happened first. */
export type AnswerEnd =
  /** All bytes of the content length, or the last chunk, have arrived. */
  | 'complete'
  /** The endpoint closed the connection in an orderly way. */
  | 'closed'
  /** The connection was reset, or its bytes were no valid answer. */
  | 'reset'
  /** Nothing arrived for too long. */
  | 'silence'
  /** The endpoint is known to have terminated, and nothing reset the connection. */
  | 'endpoint-ended'
  /** This instance gave the answer up while the caller waits. */
  | 'aborted'
  | 'deadline'
  | 'caller-left'
  | 'instance-stopped'
  | 'settings-replaced'

/** An answer whose reading has ended. */
export interface EndedAnswer {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  /** Whether the content of the body is incomplete: the end of an event or the event that closes its stream is missing. */
  readonly isBodyTruncated: boolean
}

/** What becomes of an answer and its request. */
export type AnswerDisposition =
  /** Passed on and framed as complete. */
  | 'whole'
  /** Another endpoint resumes after the last event that the caller has. */
  | 'continued'
  /** Another endpoint runs the request from its beginning. */
  | 'repeated'
  /** Broken off, so that the caller can see that it is incomplete. */
  | 'cut'
  /** The caller gets an error in place of the answer. */
  | 'refused'
  /** No caller waits for it. */
  | 'dropped'

/** The only end that proves an answer complete, by its framing. */
const COMPLETE_ENDS: Readonly<Record<AnswerFraming, AnswerEnd>> = {
  length: 'complete',
  chunks: 'complete',
  connection: 'closed',
  bodiless: 'complete',
}

/**
 * Ends after which no other endpoint is tried, since no caller waits any more or this instance cannot deliver an
 * answer.
 */
const FINAL_ENDS: ReadonlySet<AnswerEnd> = new Set(['deadline', 'caller-left', 'instance-stopped'])

/** Ends that this instance or its caller caused. */
const LOCAL_ENDS: ReadonlySet<AnswerEnd> = new Set([
  'aborted',
  'deadline',
  'caller-left',
  'instance-stopped',
  'settings-replaced',
])

/** Whether an incomplete answer counts as a failure of its endpoint. */
export function isEndpointFailure({ end }: EndedAnswer): boolean {
  return !LOCAL_ENDS.has(end)
}

/** Whether an answer may be framed as complete. */
export function isProvenComplete({ framing, end, isBodyTruncated }: EndedAnswer): boolean {
  return end === COMPLETE_ENDS[framing] && !isBodyTruncated
}

/** Returns what becomes of an answer, as far as the attempts, the endpoints and the retry budget allow. */
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
