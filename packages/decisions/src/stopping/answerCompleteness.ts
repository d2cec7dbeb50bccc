/**
 * What proves that an endpoint's answer is whole, and what becomes of one that is not?
 *
 * An answer is whole where its own framing says so, and never because it ended while nobody complained. One that is whole is
 * passed on whatever happens afterwards; nothing else is framed as complete.
 */

import type { RepeatableRoute } from '../retrying/retryStep.js'
import { canRepeat } from '../retrying/retryStep.js'

/** How an answer tells where it ends. */
export type AnswerFraming =
  /** By a number of bytes. */
  | 'length'
  /** By a last chunk. */
  | 'chunks'
  /** By the end of its connection. */
  | 'connection'
  /** Its status or the method says that no body follows. */
  | 'bodiless'

/** What the reading of an answer ended with, whichever came first. */
export type AnswerEnd =
  /** All bytes of its length, or its last chunk, have come. */
  | 'complete'
  /** The endpoint closed the connection in order. */
  | 'closed'
  /** The connection broke, or its bytes were no answer. */
  | 'reset'
  /** Nothing came for too long. */
  | 'silence'
  /** Its endpoint is known to be over, and nothing broke the connection. */
  | 'endpoint-ended'
  /** Given up here, while the caller waits. */
  | 'aborted'
  | 'deadline'
  | 'caller-left'
  | 'instance-stopped'
  | 'settings-replaced'

/** An answer of which no more is read. */
export interface EndedAnswer {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  /** Whether the body lacks something by itself: the end of an event, or the event that closes its stream. */
  readonly isBodyTruncated: boolean
}

/** What becomes of an answer and its request. */
export type AnswerDisposition =
  /** Passed on, and framed as complete. */
  | 'whole'
  /** Another endpoint goes on after the last event that the caller has. */
  | 'continued'
  /** Another endpoint runs the request from its beginning. */
  | 'repeated'
  /** Broken off, so that the caller sees that it is not whole. */
  | 'cut'
  /** The caller is told an error in place of it. */
  | 'refused'
  /** Nobody waits for it. */
  | 'dropped'

/** The one end that proves an answer whole. */
const COMPLETE_ENDS: Readonly<Record<AnswerFraming, AnswerEnd>> = {
  length: 'complete',
  chunks: 'complete',
  connection: 'closed',
  bodiless: 'complete',
}

/** Ends after which no other endpoint is asked: nobody waits any more, or this instance cannot pass an answer on. */
const FINAL_ENDS: ReadonlySet<AnswerEnd> = new Set(['deadline', 'caller-left', 'instance-stopped'])

/** Ends that this instance or its caller brought about. */
const LOCAL_ENDS: ReadonlySet<AnswerEnd> = new Set([
  'aborted',
  'deadline',
  'caller-left',
  'instance-stopped',
  'settings-replaced',
])

/** Whether an answer that is not whole tells against its endpoint. */
export function isEndpointFailure({ end }: EndedAnswer): boolean {
  return !LOCAL_ENDS.has(end)
}

/** Whether an answer may be framed as complete. */
export function isProvenComplete({ framing, end, isBodyTruncated }: EndedAnswer): boolean {
  return end === COMPLETE_ENDS[framing] && !isBodyTruncated
}

/** What becomes of an answer, as far as attempts, endpoints and the retry budget allow. */
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
