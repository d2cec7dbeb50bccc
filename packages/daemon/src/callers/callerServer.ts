/**
 * The listener for callers of the OpenAI-style kind. Answers queries (GET below `/v1/`: addresses, models, past
 * requests) itself and delegates all other requests to the request pipeline. Owns its connections and their limit.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { NotRunError, ResultCode, asId, toRackwalkError } from '@rackwalk/shared'
import type { RackwalkError, RequestId } from '@rackwalk/shared'
import type { CallerAddresses } from '@rackwalk/coordination'
import { sendContinueOnRead } from '@rackwalk/router'
import type {
  Catalogue,
  DecisionRecord,
  RefusedBodyHandler,
  RequestPipeline,
  Team,
} from '@rackwalk/router'
import { listenOn } from '../observe/listenOn.js'
import { answerJson, errorAnswer, refuseMalformed } from '../observe/httpAnswer.js'
import type { Settings } from '../settings/schema.js'
import { acceptAbsoluteTargets } from './absoluteTargets.js'
import { incomingRequest } from './httpCallerConnection.js'
import type { AcceptQueue } from './acceptQueue.js'
import { limitPipelining } from './pipelining.js'
import type { UnservedObserver } from './unservedCallers.js'

/** What the listener for callers needs. */
export interface CallerServerParts {
  readonly pipeline: RequestPipeline
  readonly catalogue: Catalogue
  readonly addresses: () => CallerAddresses
  readonly explain: (requestId: RequestId) => Promise<DecisionRecord | undefined>
  readonly limits: Settings['limits']
  readonly refusedBodies: RefusedBodyHandler
  readonly acceptQueue: AcceptQueue
  readonly unserved: UnservedObserver
}

const BEARER = /^Bearer +(\S+)$/i
const REQUEST_PATH = /^\/v1\/requests\/([^/]+)$/
/** How long a keep-alive connection may stay idle. */
const IDLE_MILLISECONDS = 65_000

/**
 * Factor on the connection limit. Requests on connections between the limit and this multiple of the limit get an error
 * answer; connections beyond the multiple are closed without one.
 */
const HARD_LIMIT_FACTOR = 2

/** The listener for callers. */
export class CallerServer {
  private readonly server: Server
  private connections = 0

  constructor(private readonly parts: CallerServerParts) {
    const { limits } = parts
    this.server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        // The pipeline limits the time of the body; streams of services may last longer.
        requestTimeout: 0,
        keepAliveTimeout: IDLE_MILLISECONDS,
        connectionsCheckingInterval: Math.max(100, Math.floor(limits.headerMilliseconds / 4)),
        noDelay: true,
      },
      limitPipelining((request, response) => void this.handle(request, response)),
    )
    this.server.maxConnections = HARD_LIMIT_FACTOR * limits.connections
    this.server.on('connection', socket => this.count(socket))
    acceptAbsoluteTargets(this.server)
    refuseMalformed(this.server, parts.unserved.noteUnparsed)
    sendContinueOnRead(this.server)
  }

  listen(address: string): Promise<number> {
    return listenOn(this.server, address)
  }

  /**
   * Accepts no new connections and closes idle ones. Connections in use stay open, and those that wait in the accept
   * queue are accepted and answered if the system allows that.
   */
  refuseNew(): void {
    this.parts.acceptQueue.drainAndClose(this.server, () => this.server.close())
    this.server.closeIdleConnections()
  }

  stop(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private count(socket: Duplex): void {
    this.connections += 1
    socket.once('close', () => {
      this.connections -= 1
    })
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.connections > this.parts.limits.connections) {
      response.shouldKeepAlive = false
      this.parts.unserved.noteTooManyConnections()
      return this.refuse(response, new NotRunError(ResultCode.TooManyConnections))
    }
    const [path = '/'] = (request.url ?? '/').split('?')
    if (request.method !== 'GET' || !path.startsWith('/v1/')) return this.serve(request, response)
    try {
      await this.answerQuery(path, request, response)
    } catch (thrown) {
      this.refuse(response, toRackwalkError(thrown))
    }
  }

  private refuse(response: ServerResponse, error: RackwalkError): void {
    this.parts.refusedBodies.refuse(response, leastSeconds => errorAnswer(error, leastSeconds))
  }

  private serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    return this.parts.pipeline.serve(incomingRequest(request, response, this.parts.refusedBodies))
  }

  private async answerQuery(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (path === '/v1/addresses') return this.answerAddresses(response)
    const team = this.authenticate(request)
    if (path === '/v1/models') return this.answerModels(team, response)
    const requestId = REQUEST_PATH.exec(path)?.[1]
    if (requestId === undefined) throw new NotRunError(ResultCode.NotFound, path)
    await this.answerRequest(team, asId<RequestId>(decodeURIComponent(requestId)), response)
  }

  private answerAddresses(response: ServerResponse): void {
    const { addresses, timeToLiveSeconds } = this.parts.addresses()
    const headers = { 'cache-control': `max-age=${timeToLiveSeconds}` }
    answerJson(response, 200, { addresses, timeToLiveSeconds }, headers)
  }

  private answerModels(team: Team, response: ServerResponse): void {
    const allowed = this.parts.catalogue.models.filter(
      ({ modelId }) => team.spec.models === undefined || team.spec.models.includes(modelId),
    )
    const data = allowed.map(({ modelId }) => ({
      id: modelId,
      object: 'model',
      created: 0,
      owned_by: 'rackwalk',
    }))
    answerJson(response, 200, { object: 'list', data })
  }

  /** A team may query only its own requests; for any other request the answer is "not found". */
  private async answerRequest(team: Team, requestId: RequestId, response: ServerResponse) {
    const record = await this.parts.explain(requestId)
    if (record === undefined || record.teamId !== team.teamId) {
      throw new NotRunError(ResultCode.NotFound, requestId)
    }
    answerJson(response, 200, record)
  }

  private authenticate(request: IncomingMessage): Team {
    const key = BEARER.exec(request.headers.authorization ?? '')?.[1]
    const team = key === undefined ? undefined : this.parts.catalogue.findTeamByKey(key)
    if (team === undefined) throw new NotRunError(ResultCode.UnknownKey)
    return team
  }
}
