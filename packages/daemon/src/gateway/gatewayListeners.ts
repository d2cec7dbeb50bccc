/**
 * The sockets of a gateway instance: the listener for callers and the plain listeners for short calls.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { sendContinueOnRead } from '@rackwalk/router'
import type { GatewayLimits } from '@rackwalk/router'
import { refuseMalformed } from '../observe/httpAnswer.js'
import { listenOn } from '../observe/listenOn.js'
import type { PlainAnswer } from './platformAdapter.js'

/** Callers may take up a connection that rested almost this long; it must still be there. */
const IDLE_SLACK_MILLISECONDS = 1_000
const LONGEST_HEADER_BYTES = 64 * 1024
const HEADER_MILLISECONDS = 10_000

/** The listener for callers; a configuration changes its limits. */
export function createCallerListener(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const server = createServer({ maxHeaderSize: LONGEST_HEADER_BYTES, noDelay: true }, handle)
  server.requestTimeout = 0
  server.headersTimeout = HEADER_MILLISECONDS
  refuseMalformed(server)
  sendContinueOnRead(server)
  return server
}

/** Puts the limits of a configuration in force for connections from now on. */
export function applyLimits(server: Server, limits: GatewayLimits): void {
  server.keepAliveTimeout = limits.idleMilliseconds + IDLE_SLACK_MILLISECONDS
  server.headersTimeout = limits.headerMilliseconds + IDLE_SLACK_MILLISECONDS
}

/** Longest body of a call to a plain listener. */
const LONGEST_PLAIN_BODY_BYTES = 64 * 1024
/** A caller that sends a call more slowly keeps no connection with it. */
const PLAIN_CALL_MILLISECONDS = 10_000

/** Answers a path; `body` is empty for calls without one. */
export type PlainHandler = (url: string, body: string) => PlainAnswer | Promise<PlainAnswer>

/** A listener that gives plain answers to short calls. */
export function createPlainListener(answer: PlainHandler): Server {
  const limits = {
    requestTimeout: PLAIN_CALL_MILLISECONDS,
    headersTimeout: PLAIN_CALL_MILLISECONDS,
  }
  return createServer(limits, (request, response) => handlePlainRequest(request, response, answer))
}

/** Reads a short call to its end and answers it. */
export function handlePlainRequest(
  request: IncomingMessage,
  response: ServerResponse,
  answer: PlainHandler,
): void {
  const chunks: Buffer[] = []
  let size = 0
  request.on('data', (chunk: Buffer) => {
    size += chunk.length
    if (size > LONGEST_PLAIN_BODY_BYTES) request.destroy()
    else chunks.push(chunk)
  })
  request.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8')
    void Promise.resolve(answer(request.url ?? '/', body)).then(result => write(response, result))
  })
}

/** Listens at all addresses; fails with `CannotListen` where one cannot be bound. */
export async function listenAll(
  listeners: readonly { readonly server: Server; readonly address: string }[],
): Promise<void> {
  await Promise.all(listeners.map(({ server, address }) => listenOn(server, address)))
}

function write(response: ServerResponse, { status, body, json }: PlainAnswer): void {
  const isText = typeof body === 'string'
  const bytes = isText ? body : (json ?? (body === undefined ? '' : JSON.stringify(body)))
  response.writeHead(status, {
    'content-type': isText ? 'text/plain; version=0.0.4' : 'application/json',
    'content-length': String(Buffer.byteLength(bytes)),
  })
  response.end(bytes)
}
