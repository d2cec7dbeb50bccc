/** Builds the headers of an endpoint's answer for its caller. */

import type { DispatchedRequest } from './stages.js'

/** Response headers that describe one connection and not the answer. */
const DROPPED_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length'])

/** Returns the headers of the answer that describe the answer itself, and adds the request id. */
export function answerHeaders({ answer, requestId }: DispatchedRequest): Record<string, string> {
  const kept = Object.entries(answer.headers).filter(([name]) => !DROPPED_HEADERS.has(name))
  return { ...Object.fromEntries(kept), 'rackwalk-request-id': requestId }
}

/**
 * Returns the headers of an answer that was received completely. Includes the length of the body if
 * the framing or the body proves that nothing is missing; an answer without a body gets no length.
 */
export function completeAnswerHeaders(
  request: DispatchedRequest,
  body: readonly Buffer[],
): Record<string, string> {
  const headers = answerHeaders(request)
  const { framing, isDelimited } = request.answer
  if (framing === 'bodiless' || !isDelimited) return headers
  const length = body.reduce((sum, chunk) => sum + chunk.length, 0)
  return { ...headers, 'content-length': String(length) }
}
