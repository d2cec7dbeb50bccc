/**
 * The listener for operators: finds the route, authenticates, and turns errors into answers. Owns its connections.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { RackwalkError, ResultCode, toRackwalkError } from '@rackwalk/shared'
import { sendContinueOnRead } from '@rackwalk/router'
import type { RefusedBodyHandler } from '@rackwalk/router'
import type { Registry } from 'prom-client'
import { limitPipelining } from '../callers/pipelining.js'
import { listenOn } from '../observe/listenOn.js'
import { errorAnswer, refuseMalformed } from '../observe/httpAnswer.js'
import type { Settings } from '../settings/schema.js'
import { authenticateOperator } from './operatorAuthentication.js'
import type { OperatorRoutes } from './operatorRoutes.js'
import { InvalidResourceError } from './resourceInput.js'
import { VersionConflictError } from './resourceApi.js'

/** What the listener for operators needs. */
export interface OperatorServerParts {
  readonly routes: OperatorRoutes
  readonly registry: Registry
  readonly operators: Settings['operators']
  readonly isServing: () => boolean
  readonly refusedBodies: RefusedBodyHandler
}

/** The listener for operators, their tools and the metrics. */
export class OperatorServer {
  private readonly server: Server

  constructor(private readonly parts: OperatorServerParts) {
    this.server = createServer(
      limitPipelining((request, response) => void this.handle(request, response)),
    )
    refuseMalformed(this.server)
    sendContinueOnRead(this.server)
  }

  listen(address: string): Promise<number> {
    return listenOn(this.server, address)
  }

  stop(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', 'http://operators')
      if (url.pathname === '/metrics') return await this.answerMetrics(response)
      if (url.pathname === '/healthz') return this.answerHealth(response)
      const operator = authenticateOperator(request, this.parts.operators)
      const route = this.parts.routes.find(request.method ?? 'GET', url.pathname)
      if (route === undefined) {
        throw new RackwalkError(ResultCode.ResourceNotFound, url.pathname)
      }
      await route({ operator, request, response, url })
    } catch (thrown) {
      this.answerFailure(response, thrown)
    }
  }

  private async answerMetrics(response: ServerResponse): Promise<void> {
    const text = await this.parts.registry.metrics()
    response.writeHead(200, { 'content-type': this.parts.registry.contentType })
    response.end(text)
  }

  private answerHealth(response: ServerResponse): void {
    const isServing = this.parts.isServing()
    response.writeHead(isServing ? 200 : 503, { 'content-type': 'text/plain' })
    response.end(isServing ? 'serving\n' : 'not serving\n')
  }

  private answerFailure(response: ServerResponse, thrown: unknown): void {
    if (response.headersSent) return void response.destroy()
    const error = toRackwalkError(thrown)
    this.parts.refusedBodies.refuse(response, leastSeconds =>
      errorAnswer(error, leastSeconds, detailsOf(error)),
    )
  }
}

function detailsOf(error: RackwalkError): Readonly<Record<string, unknown>> {
  if (error instanceof InvalidResourceError) return { faults: error.faults }
  if (error instanceof VersionConflictError) return { current: error.current }
  return {}
}
