/** How does an answer of HTTP/1.1 tell where it ends? By RFC 9112, section 6.3. */

import type { AnswerFraming } from './answerCompleteness.js'

/** The head of an answer, and what it answers. */
export interface AnswerHead {
  readonly method: string
  readonly status: number
  /** Values of the header fields; undefined where there are none. */
  readonly transferEncoding: string | undefined
  readonly contentLength: string | undefined
}

const STATUS_OK = 200
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304
const LAST_CODING_CHUNKED = /(^|,)\s*chunked\s*$/i

/** The framing of an answer; a transfer coding goes before a length, and says nothing of the end unless it is chunked. */
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
