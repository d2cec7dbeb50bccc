/**
 * Decides how an HTTP/1.1 answer indicates its end, according to RFC 9112, section 6.3.
 *
 * Inputs: the request's method, and the answer's status and framing header fields. Without the framing a truncated answer
 * cannot be told from a complete one.
 *
 * Limits: the answer to a CONNECT request, which has no body if its status is 2xx, is not treated in a special way.
 */

import type { AnswerFraming } from './answerCompleteness.js'

/** The parts of an answer's head that determine its framing, and the method of its request. */
export interface AnswerHead {
  readonly method: string
  readonly status: number
  /** Value of the Transfer-Encoding header field, or undefined if there is none. */
  readonly transferEncoding: string | undefined
  /** Value of the Content-Length header field, or undefined if there is none. */
  readonly contentLength: string | undefined
}

/** Lowest status of a final answer. Interim answers have lower ones and no body. */
const STATUS_OK = 200
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304
const LAST_CODING_CHUNKED = /(^|,)\s*chunked\s*$/i

/**
 * Returns the framing of an answer. A Transfer-Encoding field takes precedence over a content length. Unless the last coding
 * in that field is chunked, the answer ends with its connection. The value of a content length is not checked here.
 */
export function answerFraming(head: AnswerHead): AnswerFraming {
  const { transferEncoding, contentLength } = head
  if (isBodiless(head)) return 'bodiless'
  if (transferEncoding !== undefined) {
    return LAST_CODING_CHUNKED.test(transferEncoding) ? 'chunks' : 'connection'
  }
  return contentLength === undefined ? 'connection' : 'length'
}

/**
 * Whether the head declares a body that its status rules out (RFC 9110, section 8.6, and RFC 9112, section 6.1). Whether one
 * follows can't be known, so nothing else can be read from the connection. A length of 0 declares none.
 */
export function declaresForbiddenBody(head: Omit<AnswerHead, 'method'>): boolean {
  const { status, transferEncoding, contentLength = '0' } = head
  if (status !== STATUS_NO_CONTENT) return false
  return transferEncoding !== undefined || contentLength !== '0'
}

/** Whether no body follows: after HEAD, and for status 204, 304 or one below 200. */
function isBodiless({ method, status }: AnswerHead): boolean {
  if (method === 'HEAD' || status < STATUS_OK) return true
  return status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED
}
