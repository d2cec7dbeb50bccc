import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { MODEL } from '@rackwalk/stand-ins'

/** Engines whose answers a test writes event by event. */

export interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

export interface HeldChat {
  readonly body: Readonly<Record<string, unknown>>
  readonly response: ServerResponse
}

/** An engine that holds each chat until the test answers it. */
export class HeldEngine {
  readonly chats: HeldChat[] = []
  onChat: ((chat: HeldChat) => void) | undefined
  private lastPort = 0
  private readonly server: Server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => this.take(String(request.url), Buffer.concat(chunks), response))
  })

  async listen(port = 0): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
    return `http://127.0.0.1:${this.port}`
  }

  /** Valid after `listen`, also once the engine was terminated. */
  get port(): number {
    this.lastPort = (this.server.address() as AddressInfo | null)?.port ?? this.lastPort
    return this.lastPort
  }

  /** Terminates the engine: closes its listener and all connections. */
  stop(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private take(path: string, raw: Buffer, response: ServerResponse): void {
    if (!path.startsWith('/v1/chat')) {
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ running: 0, waiting: 0, events: [] }))
      return
    }
    const body = JSON.parse(raw.toString('utf8')) as Record<string, unknown>
    this.chats.push({ body, response })
    this.onChat?.({ body, response })
  }
}

/** Writes the events of one streamed answer in the engines' format. */
export class Writer {
  private tokens = 0

  constructor(
    private readonly response: ServerResponse,
    private readonly promptTokens: number,
    private readonly id: string,
    private readonly reportsUsage = true,
    private readonly fingerprint?: string,
  ) {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    this.send({ delta: { role: 'assistant', content: '' }, finish_reason: null })
  }

  pieces(...texts: readonly string[]): this {
    for (const content of texts) this.piece({ content })
    return this
  }

  piece(delta: Readonly<Record<string, unknown>>): this {
    this.tokens += 1
    return this.send({ delta, finish_reason: null })
  }

  finish(reason: string): this {
    return this.send({ delta: {}, finish_reason: reason })
  }

  end(): void {
    this.write({ choices: [], usage: this.usage() })
    this.response.end('data: [DONE]\n\n')
  }

  /** Writes the beginning of an event that is never completed. */
  incompleteEvent(): this {
    this.response.write('data: {"id":"half","choices":[{"index":0,"delta":{"content":"lost')
    return this
  }

  private send(choice: object): this {
    const usage = this.reportsUsage ? this.usage() : undefined
    this.write({ choices: [{ index: 0, ...choice }], usage })
    return this
  }

  private write(document: object): void {
    const { id, promptTokens: created, fingerprint: system_fingerprint } = this
    const head = { id, created, model: MODEL, system_fingerprint }
    this.response.write(`data: ${JSON.stringify({ ...head, ...document })}\n\n`)
  }

  private usage(): Usage {
    const { promptTokens, tokens } = this
    return {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    }
  }
}
