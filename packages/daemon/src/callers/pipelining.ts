/**
 * Bounds the requests that one connection may have in progress. Node.js parses every request that a caller sends ahead
 * (pipelining, RFC 9112, 9.3.2), so that a few connections could fill the memory with requests that wait.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Requests in progress on one connection, the first of them included. */
const PIPELINED_REQUESTS = 16

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

/** Returns a handler that resets a connection with more than `maximum` requests in progress. */
export function limitPipelining(
  handle: RequestHandler,
  maximum: number = PIPELINED_REQUESTS,
): RequestHandler {
  const inProgress = new WeakMap<Socket, number>()
  const count = (socket: Socket, change: number) => {
    const requests = (inProgress.get(socket) ?? 0) + change
    inProgress.set(socket, requests)
    return requests
  }
  return (request, response) => {
    const { socket } = request
    // The parser goes on to the end of the block that it was given.
    if (socket.destroyed) return
    response.once('close', () => count(socket, -1))
    // An orderly close could be taken for the end of an answer in progress.
    if (count(socket, 1) > maximum) socket.resetAndDestroy()
    else handle(request, response)
  }
}
