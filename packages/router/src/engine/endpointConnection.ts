/**
 * One kept connection to an endpoint. The client underneath takes any end of a connection for the end of an answer without
 * a length, also a reset, and fails an assertion where its reader is paused then. Owns what the client is told of the end.
 */

import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher, buildConnector } from 'undici'
import { socketEnd } from '../socketEnd.js'

/** Who reads an answer from the connection. */
export interface ConnectionReader {
  readonly isPaused: boolean
}

/** What an exchange may ask of its connection. */
export interface ConnectionEndGuard {
  /** The connection carries the reader's answer from here on. */
  assignReader(reader: ConnectionReader): void
  /** The reader goes on, and may be told of an end that came meanwhile. */
  noteResumed(): void
}

/** A request of an exchange that learns how its connection ends. */
export interface EndpointDispatch extends Dispatcher.DispatchOptions {
  readonly onConnection?: (end: ConnectionEndGuard) => void
}

/** A connection that was reset. The client treats the system's own error as a proper end. */
class ConnectionResetError extends Error {
  readonly code = 'UND_ERR_SOCKET'

  constructor() {
    super('the connection was reset')
  }
}

/** The end of the connection, as the client may be told of it. */
class SocketEndGuard implements ConnectionEndGuard {
  private reader: ConnectionReader | undefined
  private socket: Socket | undefined
  private deliverLate: (() => void) | undefined

  assignReader(reader: ConnectionReader): void {
    this.reader = reader
  }

  noteResumed(): void {
    const deliver = this.deliverLate
    if (deliver === undefined || this.reader?.isPaused === true) return
    this.deliverLate = undefined
    if (this.socket?.destroyed === false) deliver()
  }

  /** Goes between the socket and its listeners: the client reads the socket itself. */
  watch(socket: Socket): void {
    this.socket = socket
    this.deliverLate = undefined
    const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean
    const guarded = (event: string, ...values: unknown[]): boolean => {
      if (event === 'end') return this.noteEnd(socket, () => emit('end'))
      return isReset(event, values)
        ? emit('error', new ConnectionResetError())
        : emit(event, ...values)
    }
    socket.emit = guarded as Socket['emit']
  }

  private noteEnd(socket: Socket, deliver: () => void): boolean {
    if (socketEnd(socket) === 'reset') socket.destroy(new ConnectionResetError())
    else if (this.reader?.isPaused === true) this.deliverLate = deliver
    else deliver()
    return true
  }
}

function isReset(event: string, [error]: readonly unknown[]): boolean {
  return event === 'error' && (error as { code?: string } | undefined)?.code === 'ECONNRESET'
}

/** A client of one connection, one request at a time. */
export class EndpointConnection extends Client {
  private readonly connectionEnd: ConnectionEndGuard

  constructor(origin: string | URL, options: Client.Options) {
    const end = new SocketEndGuard()
    super(origin, { ...options, connect: guardedConnector(options.connect, end) })
    this.connectionEnd = end
  }

  override dispatch(options: EndpointDispatch, handler: Dispatcher.DispatchHandler): boolean {
    options.onConnection?.(this.connectionEnd)
    return super.dispatch(options, handler)
  }
}

/** The pool's connector, whose sockets are watched. */
function guardedConnector(
  connect: Client.Options['connect'],
  end: SocketEndGuard,
): buildConnector.connector {
  if (typeof connect !== 'function')
    throw new TypeError('a connection needs the connector of its pool')
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null)
      end.watch(socket)
      callback(null, socket)
    })
  }
}
