import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/**
 * An application server as the pages describe one: works on `slots` requests at once, queues a few more, declines
 * others with 503 and `X-Rackwalk-Not-Executed`, answers 421 to a request for another server, gives each answer the
 * request's id, and drops a waiting request whose connection closes.
 */

const IP = '127.0.0.1'

/** A request as a server received it. */
export interface Arrival {
  readonly id: string
  readonly socket: Socket
}

/** Changes the bytes of an answer, or adds some; the sound server has none. */
export interface Trouble {
  /** Returns the bytes to send in place of an answer. */
  spoil?(answer: string, server: AppServer, arrival: Arrival): string
  /** Called for each request that arrives, before it is handled. */
  arrive?(server: AppServer, arrival: Arrival): void
}

export interface AppServerOptions {
  readonly id: string
  readonly slots: number
  readonly queue: number
  readonly workMilliseconds: number
  readonly note: (text: string) => void
  readonly trouble: Trouble
}

export class AppServer {
  /** Ids of the requests on which work has begun. */
  readonly runs: string[] = []
  address = ''
  private running = 0
  private readonly waiting: Arrival[] = []
  private readonly sockets = new Set<Socket>()
  private readonly server: Server = createServer(socket => this.serve(socket))

  constructor(private readonly options: AppServerOptions) {}

  get id(): string {
    return this.options.id
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, IP, resolve))
    this.address = `${IP}:${(this.server.address() as AddressInfo).port}`
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => {
      this.sockets.delete(socket)
      const index = this.waiting.findIndex(arrival => arrival.socket === socket)
      if (index >= 0) this.waiting.splice(index, 1)
    })
    let data = Buffer.alloc(0)
    socket.on('data', bytes => {
      data = Buffer.concat([data, bytes])
      const parsed = parse(data)
      if (parsed === undefined) return
      data = data.subarray(parsed.length)
      this.take(parsed.line, parsed.headers, socket)
    })
  }

  private take(line: string, headers: ReadonlyMap<string, string>, socket: Socket): void {
    const { id, slots, queue, note, trouble } = this.options
    if (line.startsWith('GET /healthz')) {
      const head = `X-Rackwalk-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`
      return void socket.write(`HTTP/1.1 200 OK\r\n${head}`)
    }
    const arrival = { id: headers.get('x-rackwalk-request-id') ?? '', socket }
    trouble.arrive?.(this, arrival)
    if (headers.get('x-rackwalk-expect-instance') !== id) {
      note(`${id} answers ${arrival.id} with 421`)
      return this.decline(arrival, '421 Misdirected Request')
    }
    if (this.running < slots) return this.run(arrival)
    if (this.waiting.length < queue) return void this.waiting.push(arrival)
    note(`${id} declines ${arrival.id} with 503, not executed`)
    this.decline(arrival, '503 Service Unavailable')
  }

  private run(arrival: Arrival): void {
    const { id, note, workMilliseconds } = this.options
    this.running += 1
    this.runs.push(arrival.id)
    note(`${id} runs ${arrival.id}`)
    setTimeout(() => {
      this.running -= 1
      const body = `done ${arrival.id}`
      const head = `${this.head(arrival, '200 OK')}X-Rackwalk-Server-Stamp: stamp.${id}.${arrival.id}\r\n`
      this.send(arrival, `${head}Content-Length: ${body.length}\r\n\r\n${body}`)
      const next = this.waiting.shift()
      if (next !== undefined) this.run(next)
    }, workMilliseconds)
  }

  private decline(arrival: Arrival, status: string): void {
    const fields = 'X-Rackwalk-Not-Executed: 1\r\nContent-Length: 0\r\n'
    this.send(arrival, `${this.head(arrival, status)}${fields}\r\n`)
  }

  private head(arrival: Arrival, status: string): string {
    const { running, waiting } = this
    const load = `X-Rackwalk-Server-Load: ${running},${waiting.length},${this.options.slots}\r\n`
    return `HTTP/1.1 ${status}\r\nX-Rackwalk-Request-Id: ${arrival.id}\r\n${load}`
  }

  private send(arrival: Arrival, answer: string): void {
    const bytes = this.options.trouble.spoil?.(answer, this, arrival) ?? answer
    if (!arrival.socket.destroyed) arrival.socket.write(bytes)
  }
}

/** Returns the first whole request of the received bytes; the gateway sends bodies with a length, or empty ones. */
function parse(data: Buffer) {
  const end = data.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [line = '', ...fields] = data.subarray(0, end).toString('latin1').split('\r\n')
  const headers = new Map<string, string>()
  for (const field of fields) {
    const colon = field.indexOf(':')
    headers.set(field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim())
  }
  const length = end + 4 + Number(headers.get('content-length') ?? 0)
  return data.length < length ? undefined : { line, headers, length }
}
