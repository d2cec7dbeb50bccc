/** Short HTTP answers: JSON documents, numbered errors, and answers to malformed requests. */

import type { Server, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { NotRunError, RESULT_TABLE, ResultCode } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { errorBody, errorHeaders } from '@rackwalk/router'
import type { Refusal } from '@rackwalk/router'

/**
 * Time in which a caller can read the answer to a connection on which no request was parsed. Closing a connection with
 * unread bytes resets it, and the caller's system would discard the answer.
 */
const LINGER_MILLISECONDS = 1_000

/** The code of the error for a head that was not received in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Answers with a JSON document. */
export function answerJson(
  response: ServerResponse,
  status: number,
  document: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const answer = jsonAnswer(status, document, headers)
  response.writeHead(answer.status, answer.headers)
  response.end(answer.body)
}

/** Builds the answer of a numbered error, with its details if any; see `errorBody` for `leastSeconds`. */
export function errorAnswer(
  error: RackwalkError,
  leastSeconds: number,
  details: Readonly<Record<string, unknown>> = {},
): Refusal {
  const { error: described } = errorBody(error, undefined, undefined, leastSeconds)
  const document = { error: { ...described, ...details } }
  const headers = errorHeaders(error, undefined, undefined, leastSeconds)
  return jsonAnswer(RESULT_TABLE[error.code].httpStatus, document, headers)
}

function jsonAnswer(
  status: number,
  document: unknown,
  headers: Readonly<Record<string, string>>,
): Refusal {
  const body = Buffer.from(JSON.stringify(document))
  const framing = { 'content-type': 'application/json', 'content-length': String(body.length) }
  return { status, headers: { ...framing, ...headers }, body }
}

/** An answer to a connection on which no request was parsed, so that no request's record tells of it. */
export interface UnparsedRefusal {
  readonly code: ResultCode
  /** The parser's code of the error. */
  readonly cause: string
  /** IP:PORT of the caller. */
  readonly caller: string
}

/**
 * Refuses bytes that are not HTTP or that arrive too late. A connection with an answer in progress is reset: bytes
 * sent on it would be taken for a part of that answer, and an orderly close for the end of the answer.
 */
export function refuseMalformed(
  server: Server,
  onRefused: (refusal: UnparsedRefusal) => void = () => {},
): void {
  const inProgress = new WeakMap<Duplex, number>()
  const count = (socket: Duplex, change: number) =>
    inProgress.set(socket, (inProgress.get(socket) ?? 0) + change)
  /** Sockets whose head is late, until a request is parsed on them. */
  const late = new WeakSet<Duplex>()
  server.prependListener('request', ({ socket }, response) => {
    late.delete(socket)
    count(socket, 1)
    response.once('close', () => count(socket, -1))
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if ((inProgress.get(socket) ?? 0) > 0) return reset(socket)
    if (error.code !== HEAD_TIMEOUT) {
      late.delete(socket)
      return answerMalformed(error, socket, onRefused)
    }
    // On a busy processor the check is late, and the request may wait to be read: sockets are polled first.
    late.add(socket)
    setImmediate(() => {
      if (late.delete(socket)) answerMalformed(error, socket, onRefused)
    })
  })
}

function reset(socket: Duplex): void {
  if (socket instanceof Socket) socket.resetAndDestroy()
  else socket.destroy()
}

/** Answers a connection on which no request was parsed. */
function answerMalformed(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  onRefused: (refusal: UnparsedRefusal) => void,
): void {
  if (!socket.writable || error.code === 'ECONNRESET') return void socket.destroy()
  const isSlow = error.code === HEAD_TIMEOUT
  const code = isSlow ? ResultCode.RequestTimeout : ResultCode.MalformedRequest
  const refusal = new NotRunError(code, error.code)
  onRefused({ code, cause: error.code ?? 'unknown', caller: addressOf(socket) })
  const { httpStatus, message } = RESULT_TABLE[code]
  const body = JSON.stringify(errorBody(refusal))
  // The parser goes on after a time-out: it would dispatch a request whose head is completed after this answer.
  stopReading(socket)
  closeLater(socket)
  socket.end(
    `HTTP/1.1 ${httpStatus} ${message}\r\nconnection: close\r\n` +
      `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  )
}

/** Stops reading for good: the end of a hold of the connection, which resumes it, must not undo this. */
function stopReading(socket: Duplex): void {
  socket.pause()
  socket.on('resume', () => socket.pause())
}

/** Closes a connection that is no longer read, and on which the end of the caller's side therefore goes unnoticed. */
function closeLater(socket: Duplex): void {
  const timer = setTimeout(() => socket.destroy(), LINGER_MILLISECONDS)
  socket.once('close', () => clearTimeout(timer))
}

function addressOf(socket: Duplex): string {
  if (!(socket instanceof Socket)) return ''
  return `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`
}
