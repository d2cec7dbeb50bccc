/**
 * Detects whether the peer closed a connection in order or reset it. If the last bytes and a reset
 * arrive in one turn of the event loop, libuv reports an end and no error, so the socket's events
 * alone are not enough.
 */

import type { Socket } from 'node:net'

/** How a peer ended a connection. */
export type SocketEnd = 'closed' | 'reset'

/**
 * Returns how a connection ended; to be called when its socket reports the end. The kernel knows
 * the peer address of a connection that was closed in order, but no address of a connection that
 * was reset. Node.js caches the address at the first read, so no code may read the address earlier.
 */
export function socketEnd(socket: Socket): SocketEnd {
  return socket.remoteAddress === undefined ? 'reset' : 'closed'
}
