/**
 * How did a connection end: closed by its peer in order, or reset? Where the last bytes and a reset come in one turn of the
 * loop, libuv reports an end and no error, so the socket's events alone don't tell.
 */

import type { Socket } from 'node:net'

/** How a peer ended a connection. */
export type SocketEnd = 'closed' | 'reset'

/**
 * Tells it when a socket reports its end. The kernel knows the peer of a connection that was closed in order, and none of
 * one that was reset. Node.js remembers an address once it was asked for, so nothing may ask for it before.
 */
export function socketEnd(socket: Socket): SocketEnd {
  return socket.remoteAddress === undefined ? 'reset' : 'closed'
}
