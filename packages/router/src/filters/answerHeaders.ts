/** The headers of an endpoint's answer as its caller gets them. */

import type { DispatchedRequest } from './stages.js'

/** Response headers that describe one connection and not the answer. */
const DROPPED_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length'])

/** The headers that are passed on, and the request's id. */
export function answerHeaders({ answer, requestId }: DispatchedRequest): Record<string, string> {
  const kept = Object.entries(answer.headers).filter(([name]) => !DROPPED_HEADERS.has(name))
  return { ...Object.fromEntries(kept), 'rackwalk-request-id': requestId }
}

/** The same for an answer that is there as a whole; its length goes with it where that is known to be all. */
export function wholeAnswerHeaders(
  request: DispatchedRequest,
  body: readonly Buffer[],
): Record<string, string> {
  const headers = answerHeaders(request)
  const { framing, isDelimited } = request.answer
  if (framing === 'bodiless' || !isDelimited) return headers
  const length = body.reduce((sum, chunk) => sum + chunk.length, 0)
  return { ...headers, 'content-length': String(length) }
}
