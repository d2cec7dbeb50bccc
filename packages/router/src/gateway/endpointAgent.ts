/** Keeps idle connections to one endpoint for reuse. Owns their timers. */

import { Agent } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Lifetime of an idle connection if the endpoint does not state how long it keeps one. */
const DEFAULT_IDLE_MILLISECONDS = 400
/** An idle connection is closed this long before the endpoint would close it. */
const IDLE_MARGIN_MILLISECONDS = 600
/** Lower bound of an idle connection's lifetime, for endpoints that state less than a second. */
const SHORTEST_IDLE_MILLISECONDS = 200

/**
 * Closes idle connections before the endpoint does, and any on which bytes arrive without a request: they
 * would be taken for the next answer.
 */
export class EndpointAgent extends Agent {
  private readonly idle = new WeakMap<Socket, { timer: NodeJS.Timeout; drop: () => void }>()

  constructor(maximumConnections: number) {
    super({ keepAlive: true, maxSockets: maximumConnections, scheduling: 'lifo' })
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket & { _httpMessage?: { res?: IncomingMessage } }
    const keepAliveHeader = socket._httpMessage?.res?.headers['keep-alive']
    const drop = () => socket.destroy()
    const timer = setTimeout(drop, idleMilliseconds(keepAliveHeader))
    timer.unref()
    socket.on('data', drop)
    socket.once('end', drop)
    socket.setKeepAlive(false)
    this.idle.set(socket, { timer, drop })
    return true
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket
    const idleState = this.idle.get(socket)
    if (idleState !== undefined) {
      clearTimeout(idleState.timer)
      socket.off('data', idleState.drop)
      socket.off('end', idleState.drop)
      this.idle.delete(socket)
    }
    super.reuseSocket(stream, request)
  }
}

/** How long a connection may be idle, given the endpoint's `Keep-Alive` header. */
function idleMilliseconds(keepAlive: string | readonly string[] | undefined): number {
  const text = typeof keepAlive === 'string' ? keepAlive : keepAlive?.join(',')
  const seconds = /timeout=(\d+)/.exec(text ?? '')?.[1]
  if (seconds === undefined) return DEFAULT_IDLE_MILLISECONDS
  return Math.max(SHORTEST_IDLE_MILLISECONDS, Number(seconds) * 1000 - IDLE_MARGIN_MILLISECONDS)
}
