/** A stand-in for a plain service. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { LocalServer } from './localServer.js'

/** Stands in for a plain service. Records each execution and answers with the number of executions. */
export class ServiceStandIn extends LocalServer {
  /** Request bodies of all executions, in order. */
  readonly executions: string[] = []
  delayMilliseconds = 0
  /** Whether the connection is destroyed after the execution, before an answer. */
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
