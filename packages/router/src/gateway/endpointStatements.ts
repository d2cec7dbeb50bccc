/**
 * Applies what an endpoint says of itself in the head of an answer: its load, the rejections that it tolerates, and its
 * advice on further requests. Owns nothing; the values are parsed in packages/decisions.
 */

import { adviceText, parseAdvice, parseRejectionLimit } from '@rackwalk/decisions'
import type { AttemptsParts } from './attemptedRequest.js'
import type { ReplyMetadata } from './dialect.js'
import type { EndpointState } from './endpointState.js'

/** Where statements of endpoints are stored. */
type StatementParts = Pick<
  AttemptsParts,
  'clock' | 'longestRestMilliseconds' | 'advices' | 'turnAways'
>

/** An answer that its endpoint itself gave to the request. */
interface OwnAnswer {
  readonly reply: ReplyMetadata
  /** Whether the answer is no refusal, so that missing advice lifts a limit. */
  readonly isAnswered: boolean
}

/** Stores the statements of an answer. Returns its advice as text for the log; undefined if it gives none. */
export function applyStatements(
  { clock, longestRestMilliseconds, advices, turnAways }: StatementParts,
  endpoint: EndpointState,
  { reply, isAnswered }: OwnAnswer,
): string | undefined {
  if (reply.load !== undefined) endpoint.noteLoad(reply.load)
  turnAways.note(endpoint.service, parseRejectionLimit(reply.rejectionLimit))
  const wallTime = clock.wallTime()
  const advice = parseAdvice(reply.advice, { wallTime, longestRestMilliseconds })
  advices.note(endpoint.start, advice, isAnswered)
  return adviceText(advice)
}
