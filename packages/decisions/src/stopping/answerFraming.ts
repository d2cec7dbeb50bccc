/**
 * Decides how an HTTP/1.1 answer indicates its end, according to RFC 9112, section 6.3.
 *
 * Inputs: the request's method, and the answer's status and framing header fields. Without the framing a truncated answer
 * cannot be told from a complete one.
 */

import type { AnswerFraming } from './answerCompleteness.js'

/** The head of an answer and the method of its request. */
export interface AnswerHead {
  readonly method: string
  readonly status: number
  /** Value of the Transfer-Encoding header field, or undefined if there is none. */
  readonly transferEncoding: string | undefined
  /** Value of the Content-Length header field, or undefined if there is none. */
  readonly contentLength: string | undefined
}

const STATUS_OK = 200
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304
const LAST_CODING_CHUNKED = /(^|,)\s*chunked\s*$/i

/**
 * Returns the framing of an answer. A transfer coding takes precedence over a content length. Unless its last coding is
 * chunked, it does not indicate the end.
 */
export function answerFraming(head: AnswerHead): AnswerFraming {
  const { transferEncoding, contentLength } = head
  if (isBodiless(head)) return 'bodiless'
  if (transferEncoding !== undefined) {
    return LAST_CODING_CHUNKED.test(transferEncoding) ? 'chunks' : 'connection'
  }
  return contentLength === undefined ? 'connection' : 'length'
}

function isBodiless({ method, status }: AnswerHead): boolean {
  if (method === 'HEAD' || status < STATUS_OK) return true
  return status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED
}
