/** An endpoint whose answers are bytes on a socket, for tests of answers that end early. */

import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** A request as the endpoint has it. */
export interface SocketRequest {
  readonly method: string
  readonly path: string
  readonly body: string
}

/** Writes an answer, or a part of one, and ends the connection or doesn't. */
export type SocketAnswer = (socket: Socket, request: SocketRequest) => void

const HEAD_END = '\r\n\r\n'
const REPORTS: Readonly<Record<string, unknown>> = {
  '/load': { running: 0, waiting: 0 },
  '/cache-events': { events: [] },
  '/orders': {},
}

/** Reads requests and leaves every byte of their answers to the test; reports of load it makes itself. */
export class SocketEndpoint {
  /** Requests that were taken, reports apart. */
  readonly taken: SocketRequest[] = []
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor(private readonly answer: SocketAnswer) {
    this.server = createServer(socket => this.serve(socket))
  }

  /** Listens on a free port and gives it. */
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
      this.take(socket, request)
    })
  }

  private take(socket: Socket, request: SocketRequest): void {
    const [path = ''] = request.path.split('?')
    const report = REPORTS[path]
    if (report === undefined) {
      this.taken.push(request)
      return this.answer(socket, request)
    }
    const body = JSON.stringify(report)
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}${HEAD_END}${body}`)
  }
}

/** The request once it is there as a whole; callers send no chunks. */
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
