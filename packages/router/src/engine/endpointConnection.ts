/**
 * A persistent connection to an endpoint. The underlying client treats every end of a connection,
 * even a reset, as the end of an answer without a length, and an assertion in it fails if the
 * answer's reader is paused at that time. Owns what the client learns about the end of the
 * connection.
 */

import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher, buildConnector } from 'undici'
import { socketEnd } from '../socketEnd.js'

/** The reader of an answer. */
export interface ConnectionReader {
  readonly isPaused: boolean
}

/** The interface of a connection to its exchanges. */
export interface ConnectionEndGuard {
  /** Assigns the reader whose answer the connection carries from now on. */
  assignReader(reader: ConnectionReader): void
  /**
   * Called when the reader resumes. Delivers an end that was deferred while the reader was paused.
   */
  noteResumed(): void
}

/** Options of a request whose exchange needs its connection. */
export interface EndpointDispatch extends Dispatcher.DispatchOptions {
  readonly onConnection?: (end: ConnectionEndGuard) => void
}

/** A connection reset. The client treats the system's own error code as a regular end. */
class ConnectionResetError extends Error {
  readonly code = 'UND_ERR_SOCKET'

  constructor() {
    super('the connection was reset')
  }
}

/** Controls when the client learns about the end of the connection. */
class SocketEndGuard implements ConnectionEndGuard {
  private reader: ConnectionReader | undefined
  private socket: Socket | undefined
  private deferredEnd: (() => void) | undefined

  assignReader(reader: ConnectionReader): void {
    this.reader = reader
  }

  noteResumed(): void {
    const deliver = this.deferredEnd
    if (deliver === undefined || this.reader?.isPaused === true) return
    this.deferredEnd = undefined
    if (this.socket?.destroyed === false) deliver()
  }

  /** Intercepts the socket's `emit`, because the client reads from the socket itself. */
  watch(socket: Socket): void {
    this.socket = socket
    this.deferredEnd = undefined
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
    else if (this.reader?.isPaused === true) this.deferredEnd = deliver
    else deliver()
    return true
  }
}

function isReset(event: string, [error]: readonly unknown[]): boolean {
  return event === 'error' && (error as { code?: string } | undefined)?.code === 'ECONNRESET'
}

/** A client with a single connection, for one request at a time. */
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

/** Wraps the pool's connector so that its sockets are guarded. */
function guardedConnector(
  connect: Client.Options['connect'],
  end: SocketEndGuard,
): buildConnector.connector {
  if (typeof connect !== 'function')
    throw new TypeError('expected the connect option to be the connector of a pool')
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null)
      end.watch(socket)
      callback(null, socket)
    })
  }
}
