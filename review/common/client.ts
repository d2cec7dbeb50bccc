import { Agent, request } from 'node:http'
import type { Socket } from 'node:net'

/** A client that sends one request after another on a kept connection, as the pages describe clients. */

/** One try of a client, as the client saw it. */
export interface Try {
  readonly id: string
  readonly front: string
  /** Number of requests that were answered on the same connection before. */
  answeredBefore: number
  /** Undefined if the connection ended without an answer. */
  status: number | undefined
  body: string
  isWhole: boolean
  /** Whether the connection came up, so that the request was sent. */
  wasSent: boolean
  /** Milliseconds since the start of the script. */
  endedAt: number
}

export interface ClientOptions {
  readonly host: string
  readonly path: string
  readonly key: string
  readonly deadlineMilliseconds: number
}

let sent = 0

export class Client {
  private agent = new Agent({ keepAlive: true, maxSockets: 1 })
  private readonly answered = new WeakMap<Socket, number>()

  constructor(
    readonly front: string,
    private readonly options: ClientOptions,
  ) {}

  close(): void {
    this.agent.destroy()
  }

  /** Sends one request and waits until it has ended; a failed one ends the connection. */
  async send(now: () => number): Promise<Try> {
    sent += 1
    const seen: Try = {
      id: sent.toString(16).padStart(16, '0'),
      front: this.front,
      answeredBefore: 0,
      status: undefined,
      body: '',
      isWhole: false,
      wasSent: false,
      endedAt: 0,
    }
    await this.exchange(seen)
    seen.endedAt = now()
    if (seen.status !== 200) {
      this.agent.destroy()
      this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
    }
    return seen
  }

  private exchange(seen: Try): Promise<void> {
    const [host, port] = this.front.split(':')
    const { deadlineMilliseconds, path, key } = this.options
    const call = request({
      host,
      port,
      path,
      method: 'POST',
      agent: this.agent,
      headers: {
        Host: this.options.host,
        'Content-Length': 5,
        'X-Rackwalk-Request-Id': seen.id,
        'X-Rackwalk-Deadline-Ms': String(deadlineMilliseconds),
        'X-Rackwalk-Credential': key,
      },
    })
    return new Promise(resolve => {
      const timer = setTimeout(() => call.destroy(), deadlineMilliseconds)
      call.on('socket', socket => {
        seen.answeredBefore = this.answered.get(socket) ?? 0
        seen.wasSent = !socket.connecting
        if (socket.connecting) socket.once('connect', () => (seen.wasSent = true))
      })
      call.on('error', () => {})
      call.on('response', response => {
        const { socket } = response
        response.on('error', () => {})
        response.on('data', (bytes: Buffer) => (seen.body += bytes.toString('latin1')))
        response.on('end', () => {
          seen.status = response.statusCode
          seen.isWhole = response.complete
          this.answered.set(socket, (this.answered.get(socket) ?? 0) + 1)
        })
      })
      call.on('close', () => {
        clearTimeout(timer)
        resolve()
      })
      call.end('hello')
    })
  }
}
