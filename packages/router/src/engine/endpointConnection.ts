/**
 * A persistent connection to an endpoint. Controls when and how the underlying HTTP client (undici)
 * learns that the connection ended. On its own, the client takes every end of a connection, even a
 * reset, as the end of an answer without a length, so a truncated answer would look complete; and
 * an assertion of the client fails if the answer's reader is paused when the connection ends.
 */

import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher, buildConnector } from 'undici'
import { socketEnd } from '../socketEnd.js'

/** The reader of the answer that a connection carries. */
export interface ConnectionReader {
  readonly isPaused: boolean
}

/** The interface of a connection to its exchanges. */
export interface ConnectionEndGuard {
  /** Assigns the reader whose answer the connection carries from now on. */
  assignReader(reader: ConnectionReader): void
  /**
   * Called when the reader resumes. Passes on an end of the connection that was deferred while the
   * reader was paused.
   */
  noteResumed(): void
}

/** Options of a request whose exchange needs access to its connection. */
export interface EndpointDispatch extends Dispatcher.DispatchOptions {
  readonly onConnection?: (end: ConnectionEndGuard) => void
}

/**
 * The error that the client gets for a connection reset. The client would treat the system's own
 * error code (`ECONNRESET`) as a regular end.
 */
class ConnectionResetError extends Error {
  readonly code = 'UND_ERR_SOCKET'

  constructor() {
    super('the connection was reset')
  }
}

/** Intercepts the end of a connection before the client learns about the end. */
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

  /**
   * Starts to guard a new socket of the connection. Overrides the socket's `emit`, because the
   * client attaches its own listeners to the socket.
   */
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

/** Wraps the connector of a pool, so that every socket that the connector opens is guarded. */
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
