/**
 * Determines how the endpoint ended the connection of one answer: closed in order, or reset. Without this,
 * an answer whose end is marked only by the end of its connection could be truncated unnoticed. Owns its
 * listener on the socket.
 */

import type { Socket } from 'node:net'
import { socketEnd } from '../socketEnd.js'
import type { SocketEnd } from '../socketEnd.js'

/** Watches a connection while one answer is read from it. */
export class ConnectionEnd {
  private ended: SocketEnd | undefined

  constructor(private readonly socket: Socket) {
    // The client of node:http ends an answer of unknown length in its own listener, so this listener must run
    // first.
    socket.prependListener('end', this.note)
  }

  /** Undefined while the endpoint has not ended the connection. */
  get kind(): SocketEnd | undefined {
    return this.ended
  }

  /** Stops watching: the answer is read and the connection may carry another one. */
  release(): void {
    this.socket.off('end', this.note)
  }

  private readonly note = (): void => {
    this.ended = socketEnd(this.socket)
  }
}
