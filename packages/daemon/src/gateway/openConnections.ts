/** The open connections of a listener. Owns the set of their sockets. */

import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** Open connections of one listener. */
export class OpenConnections {
  private readonly sockets = new Set<Socket>()

  constructor(listener: Server) {
    listener.on('connection', (socket: Socket) => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
  }

  /** Number of open connections. */
  get size(): number {
    return this.sockets.size
  }
}
