/** Short HTTP answers: JSON, numbered errors, and what is said to bytes that are no request. */

import type { ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { NotRunError, RESULT_TABLE, ResultCode } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { errorBody, errorHeaders } from '@rackwalk/router'

/** Answers with a JSON document. */
export function answerJson(
  response: ServerResponse,
  status: number,
  document: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = Buffer.from(JSON.stringify(document))
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(body.length),
    ...headers,
  })
  response.end(body)
}

/** Answers with a numbered error and, where there is more to say, its details. */
export function answerError(
  response: ServerResponse,
  error: RackwalkError,
  details: Readonly<Record<string, unknown>> = {},
): void {
  const { error: described } = errorBody(error)
  const document = { error: { ...described, ...details } }
  const headers = errorHeaders(error)
  answerJson(response, RESULT_TABLE[error.code].httpStatus, document, headers)
}

/** Answers bytes that are not HTTP, or not in time; there is no request to answer. */
export function answerMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || error.code === 'ECONNRESET') return void socket.destroy()
  const isSlow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
  const code = isSlow ? ResultCode.RequestTimeout : ResultCode.MalformedRequest
  const refusal = new NotRunError(code, error.code)
  const { httpStatus, message } = RESULT_TABLE[code]
  const body = JSON.stringify(errorBody(refusal))
  socket.end(
    `HTTP/1.1 ${httpStatus} ${message}\r\nconnection: close\r\n` +
      `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  )
}
