/**
 * Decides what the head of an answer means for its attempt, and what the outcome of an attempt says about its
 * endpoint: success, proxy error or termination. Owns nothing.
 */

import { isDefinedStatus, isServerError } from '@rackwalk/decisions'
import type { AttemptOutcome } from '@rackwalk/decisions'
import type { ReplyMetadata } from './dialect.js'

/** An answer with a status below this one is trusted only if its endpoint signed it. */
const STATUS_REDIRECT = 300

/**
 * Whether a proxy or load balancer in front of the engine gave the answer: a server error that is unsigned or
 * belongs to another request. The endpoint may have terminated.
 */
export function isProxyError(status: number, { kind }: AttemptOutcome): boolean {
  return kind === 'not-trusted' && isServerError(status) && isDefinedStatus(status)
}

/** Whether the endpoint answered without an error of its own. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && !isServerError(outcome.status)
}

/** Returns the outcome of an exchange that was ended because its endpoint terminated. */
export function terminatedOutcome(kind: 'failed' | 'not-sent', reason: string): AttemptOutcome {
  return { kind: kind === 'failed' ? kind : 'connect-failed', reason }
}

/**
 * Returns the outcome of an attempt whose endpoint sent the head of an answer to the request with this id. The id is
 * compared first: a surplus refusal of an earlier request says nothing about whether this one runs. A refusal without an
 * id is trusted, since whatever has taken over the address of an endpoint may send none.
 */
export function outcomeOfHead(
  status: number,
  reply: ReplyMetadata,
  requestId: string,
): AttemptOutcome {
  if (!isDefinedStatus(status)) return { kind: 'not-trusted', problem: 'invalid status' }
  const isForOther = reply.requestId !== undefined && reply.requestId !== requestId
  if (reply.isNotExecuted && !isForOther) return { kind: 'refused', status }
  if (reply.requestId !== requestId)
    return { kind: 'not-trusted', problem: 'answer to another request' }
  if (status < STATUS_REDIRECT && !reply.isSigned)
    return { kind: 'not-trusted', problem: 'unsigned answer' }
  return { kind: 'answered', status }
}
