/** The base of stand-ins that are HTTP servers on a loopback port. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

const KEEP_ALIVE_MILLISECONDS = 60_000

/** An HTTP server on the loopback address. Subclasses answer its requests. */
export abstract class LocalServer {
  private readonly server: Server

  constructor() {
    this.server = createServer((request, response) => void this.receive(request, response))
    this.server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS
  }

  /** Listens on the given port, or on a free one for 0, and returns the port. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, '127.0.0.1', () => {
        const bound = this.server.address()
        resolve(typeof bound === 'object' && bound !== null ? bound.port : port)
      })
    })
  }

  stop(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Closes all connections, but keeps listening. */
  protected closeAllConnections(): void {
    this.server.closeAllConnections()
  }

  protected abstract handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> | void

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer)
    } catch {
      // The client aborted its request, so no answer is needed.
      return
    }
    await this.handle(request, Buffer.concat(chunks), response)
  }
}
