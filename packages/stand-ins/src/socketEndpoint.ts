/** An endpoint whose answers are raw bytes on a socket, for tests of interrupted answers. */

import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** A request as the endpoint receives it. */
export interface SocketRequest {
  readonly method: string
  readonly path: string
  readonly body: string
}

/** Writes a complete or partial answer and optionally closes the connection. */
export type SocketAnswer = (socket: Socket, request: SocketRequest) => void

const HEAD_END = '\r\n\r\n'
const OWN_ANSWERS: Readonly<Record<string, unknown>> = {
  '/load': { running: 0, waiting: 0 },
  '/cache-events': { events: [] },
  '/orders': {},
}

/** Parses requests and lets the test write their answers. Answers probes of load, cache events and orders. */
export class SocketEndpoint {
  /** Received requests, except those that the endpoint answers by itself. */
  readonly receivedRequests: SocketRequest[] = []
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor(private readonly answer: SocketAnswer) {
    this.server = createServer(socket => this.serve(socket))
  }

  /** Listens on a free port and returns the port. */
  listen(): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port)
      })
    })
  }

  stop(): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => undefined)
    socket.once('close', () => this.sockets.delete(socket))
    let received = ''
    socket.on('data', data => {
      received += data.toString('latin1')
      const request = parseRequest(received)
      if (request === undefined) return
      received = ''
      this.receive(socket, request)
    })
  }

  private receive(socket: Socket, request: SocketRequest): void {
    const [path = ''] = request.path.split('?')
    const report = OWN_ANSWERS[path]
    if (report === undefined) {
      this.receivedRequests.push(request)
      return this.answer(socket, request)
    }
    const body = JSON.stringify(report)
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}${HEAD_END}${body}`)
  }
}

/** Returns the request, or undefined until it is complete. Chunked requests aren't supported. */
function parseRequest(text: string): SocketRequest | undefined {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const head = text.slice(0, headEnd)
  const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
  const body = text.slice(headEnd + HEAD_END.length)
  if (body.length < length) return undefined
  const [method = '', path = ''] = head.split(' ')
  return { method, path, body }
}
