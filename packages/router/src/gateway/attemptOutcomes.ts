/**
 * Decides what the head of an answer means for its attempt, and what the outcome of an attempt says about its
 * endpoint: success, proxy error or termination. Owns nothing.
 */

import { isFinalStatus, isMisdirected, isServerError } from '@rackwalk/decisions'
import type { AttemptOutcome } from '@rackwalk/decisions'
import type { ReplyMetadata } from './dialect.js'

/** An answer with a status below this one is trusted only if its endpoint signed it. */
const STATUS_REDIRECT = 300

/**
 * Whether a proxy or load balancer in front of the engine gave the answer: a server error that is unsigned or
 * belongs to another request. The endpoint may have terminated.
 */
export function isProxyError(status: number, { kind }: AttemptOutcome): boolean {
  return kind === 'not-trusted' && isServerError(status) && isFinalStatus(status)
}

/** Whether the endpoint answered without an error of its own. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && !isServerError(outcome.status)
}

/**
 * Whether the endpoint itself gave this answer to this request, so that it applies to the endpoint what the answer says of
 * its sender. An answer to another request may be another server's, and a misdirected one shows that it is.
 */
export function isOwnAnswer(status: number, { kind }: AttemptOutcome): boolean {
  if (kind === 'refused') return !isMisdirected(status)
  return kind === 'answered'
}

/** Returns the outcome of an exchange that was ended because its endpoint terminated. */
export function terminatedOutcome(kind: 'failed' | 'not-sent', reason: string): AttemptOutcome {
  return { kind: kind === 'failed' ? kind : 'connect-failed', reason }
}

/** The head of an answer, with what shows whose answer it is. */
export interface AnswerHead {
  readonly status: number
  readonly reply: ReplyMetadata
  /** Whether the connection has carried no other request, so that no answer can be left over on it. */
  readonly isFirstOnConnection: boolean
}

/**
 * Returns the outcome of an attempt whose endpoint sent this head in answer to the request with this id. Whose answer it is
 * is decided first: a surplus refusal of an earlier request says nothing about whether this one runs.
 */
export function outcomeOfHead(head: AnswerHead, requestId: string): AttemptOutcome {
  const { status, reply } = head
  if (!isFinalStatus(status)) return { kind: 'not-trusted', problem: 'invalid status' }
  if (!isAnswerTo(head, requestId))
    return { kind: 'not-trusted', problem: 'answer to another request' }
  if (reply.isNotExecuted) return { kind: 'refused', status }
  if (status < STATUS_REDIRECT && !reply.isSigned)
    return { kind: 'not-trusted', problem: 'unsigned answer' }
  return { kind: 'answered', status }
}

/** Why a refusal was believed to be the answer to its request. */
export type RefusalProof =
  /** It names the request. */
  | 'id'
  /** It names no request and came on a connection that had carried no other. */
  | 'new-connection'

/** What showed that a refusal was the answer to its request. */
export interface RefusalRecord {
  readonly proof: RefusalProof
  /** Whether the connection had carried other requests. */
  readonly connection: 'new' | 'kept'
}

/** Returns why the head was believed to refuse its request; undefined for another outcome. */
export function refusalRecord(
  { reply, isFirstOnConnection }: AnswerHead,
  { kind }: AttemptOutcome,
): RefusalRecord | undefined {
  if (kind !== 'refused') return undefined
  const proof = reply.requestId === undefined ? 'new-connection' : 'id'
  return { proof, connection: isFirstOnConnection ? 'new' : 'kept' }
}

/**
 * Whether an answer is shown to belong to the request with this id. Endpoints return the id, but another server that took
 * over an endpoint's address may refuse without one; only on a new connection can such a refusal be no other request's.
 */
function isAnswerTo({ reply, isFirstOnConnection }: AnswerHead, requestId: string): boolean {
  if (reply.requestId !== undefined) return reply.requestId === requestId
  return reply.isNotExecuted && isFirstOnConnection
}
