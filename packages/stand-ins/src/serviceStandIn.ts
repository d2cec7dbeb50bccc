/** A plain service for tests. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { LocalServer } from './localServer.js'

/** Stands in for a plain service: it notes each execution and answers with its number. */
export class ServiceStandIn extends LocalServer {
  /** Body of each execution, in order. */
  readonly executions: string[] = []
  delayMilliseconds = 0
  /** Breaks the connection off after the execution, before an answer. */
  dropsAnswers = false

  constructor(readonly name: string) {
    super()
  }

  protected async handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const text = body.toString('utf8')
    this.executions.push(text)
    await new Promise(resolve => setTimeout(resolve, this.delayMilliseconds))
    if (this.dropsAnswers) return void response.destroy()
    const execution = this.executions.length
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ service: this.name, path: request.url, execution, body: text }))
  }
}
