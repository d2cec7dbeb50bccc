/**
 * Tells how the connection of one answer ended: in order, or by a reset. Owns its listener on the socket.
 */

import type { Socket } from 'node:net'

/** Watches a connection for as long as one answer is read from it. */
export class ConnectionEnd {
  private ended: 'closed' | 'reset' | undefined

  constructor(private readonly socket: Socket) {
    // The client of node:http ends an answer without a length in its own listener, so this one goes first.
    socket.prependListener('end', this.note)
  }

  /** Undefined while the endpoint has not ended the connection. */
  get kind(): 'closed' | 'reset' | undefined {
    return this.ended
  }

  /** The answer is read; the connection may carry another one. */
  release(): void {
    this.socket.off('end', this.note)
  }

  /**
   * Where the last bytes and a reset come in one turn of the loop, libuv reports an end and no error. The kernel knows
   * the peer of a connection that was closed in order, and none of one that was reset.
   */
  private readonly note = (): void => {
    this.ended = this.socket.remoteAddress === undefined ? 'reset' : 'closed'
  }
}
