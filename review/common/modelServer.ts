import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * A model server as the pages describe one: it streams events, reports its state without taking a slot, answers 421 to
 * a request for another server, and stops a run whose connection closes. One that leaves closes its connections after
 * their answers, and serves on until it ends.
 */

const IP = '127.0.0.1'

/** A request that a server has received, for a run. */
export interface Run {
  readonly id: string
  readonly arrivedAt: number
  isWhole: boolean
}

export interface ModelServerOptions {
  readonly id: string
  readonly slots: number
  readonly events: number
  readonly eventMilliseconds: number
  readonly now: () => number
}

export class ModelServer {
  readonly runs: Run[] = []
  address = ''
  isLeaving = false
  private running = 0
  private readonly server: Server = createServer((request, response) => {
    this.serve(request, response)
  })

  constructor(private readonly options: ModelServerOptions) {}

  get id(): string {
    return this.options.id
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, IP, resolve))
    this.address = `${IP}:${(this.server.address() as AddressInfo).port}`
  }

  /** Ends at once; its runs break off. */
  end(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const { id, slots } = this.options
    if (request.url === '/report') {
      const { running } = this
      const report = { stage: 'both', busy: false, sequence: 1, waiting: 0, running }
      response.end(JSON.stringify({ ...report, kv_used: 0, kv_total: 253_336, handles: 0 }))
      return
    }
    if (request.url === '/healthz') {
      response.writeHead(this.isLeaving ? 503 : 200, { 'X-Rackwalk-Instance-Id': id })
      response.end()
      return
    }
    const requestId = String(request.headers['x-rackwalk-request-id'])
    const head = {
      'X-Rackwalk-Request-Id': requestId,
      'X-Rackwalk-Server-Load': `${this.running},0,${slots}`,
      ...(this.isLeaving ? { Connection: 'close' } : {}),
    }
    request.resume()
    if (request.headers['x-rackwalk-expect-instance'] === id)
      this.run(requestId, head, request, response)
    else {
      response.writeHead(421, { ...head, 'X-Rackwalk-Not-Executed': '1' })
      response.end()
    }
  }

  private run(
    id: string,
    head: Readonly<Record<string, string>>,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { events, eventMilliseconds, now } = this.options
    const run: Run = { id, arrivedAt: now(), isWhole: false }
    this.runs.push(run)
    this.running += 1
    const stamp = { 'X-Rackwalk-Server-Stamp': `stamp.${this.id}.${id}` }
    response.writeHead(200, { ...head, ...stamp, 'Content-Type': 'text/event-stream' })
    let made = 0
    const timer = setInterval(() => {
      made += 1
      response.write(`id: ${made}\ndata: piece ${made}\n\n`)
      if (made < events) return
      clearInterval(timer)
      run.isWhole = true
      response.end()
    }, eventMilliseconds)
    response.on('close', () => {
      clearInterval(timer)
      this.running -= 1
    })
  }
}
