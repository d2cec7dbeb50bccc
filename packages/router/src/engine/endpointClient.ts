/**
 * Kept connections to the endpoints of the OpenAI-style kind. Owns one pool for each address.
 */

import { Agent, Pool, request as sendRequest } from 'undici'
import type { Client } from 'undici'
import type { Readable } from 'node:stream'
import type { KnownTermination } from '@rackwalk/decisions'
import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'
import { ANSWER_BUFFER_LIMITS, AnswerBufferPool } from './answerBuffer.js'
import type { AnswerBufferLimits } from './answerBuffer.js'
import type { AttemptResult } from './attemptResult.js'
import { EndpointConnection } from './endpointConnection.js'
import type { EndpointDispatch } from './endpointConnection.js'
import { EndpointExchange, classifyAttemptError } from './endpointExchange.js'
import { InFlightExchanges } from './inFlightExchanges.js'

/** One exchange with an endpoint. */
export interface EndpointRequest {
  readonly endpointId: EndpointId
  /** Scheme, host and port. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | Readable | undefined
  /** Longest wait for the first bytes of the answer. */
  readonly firstByteMilliseconds: Milliseconds
  /** Whether the request may run once more; it may where nothing is told. */
  readonly isRepeatable?: boolean
  /** Aborted when the caller left or the deadline passed; its reason says which. */
  readonly signal: AbortSignal
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000
const CONNECTIONS_PER_ENDPOINT = 512

function openConnection(origin: URL, options: object): EndpointConnection {
  return new EndpointConnection(origin, options as Client.Options)
}

/** Sends requests to endpoints over kept connections. */
export class EndpointClient {
  private readonly agent: Agent

  private readonly space: AnswerBufferPool
  private readonly open = new InFlightExchanges()

  constructor(
    private readonly clock: Clock,
    private readonly stallMilliseconds: Milliseconds,
    holdLimits: AnswerBufferLimits = ANSWER_BUFFER_LIMITS,
  ) {
    this.space = new AnswerBufferPool(holdLimits)
    this.agent = new Agent({
      connections: CONNECTIONS_PER_ENDPOINT,
      pipelining: 1,
      // The client closes its side itself, once the answer's reader has taken everything in.
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS, allowHalfOpen: true },
      bodyTimeout: stallMilliseconds,
      factory: (origin, options) => new Pool(origin, { ...options, factory: openConnection }),
    })
  }

  /** Sends, and waits until the answer is whole or goes on as it comes. */
  attempt(call: EndpointRequest): Promise<AttemptResult> {
    if (call.signal.aborted) return Promise.resolve({ kind: 'unsent', reason: 'the caller left' })
    const { endpointId, method, isRepeatable, signal } = call
    const { space, open, clock } = this
    const exchange = new EndpointExchange({
      endpointId,
      method,
      isRepeatable,
      signal,
      space,
      open,
      clock,
    })
    const dispatch: EndpointDispatch = {
      origin: call.address,
      path: call.path,
      method: call.method as 'GET',
      headers: call.headers,
      body: call.body,
      headersTimeout: call.firstByteMilliseconds,
      bodyTimeout: this.stallMilliseconds,
      onConnection: exchange.noteConnection,
    }
    try {
      this.agent.dispatch(dispatch, exchange)
    } catch (thrown) {
      return Promise.resolve(classifyAttemptError(thrown))
    }
    return exchange.result
  }

  /** An endpoint has ended: what waits there is given up. */
  noteTermination(
    endpointId: EndpointId,
    end: KnownTermination,
    endpointHeardAt: Milliseconds,
  ): void {
    this.open.noteTermination(endpointId, end, endpointHeardAt)
  }

  /** Fetches a small JSON document, such as a load report. */
  async fetchJson(address: string, path: string, timeout: Milliseconds): Promise<unknown> {
    const response = await sendRequest(`${address}${path}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(timeout),
    })
    return response.body.json()
  }

  /** Posts a small JSON document and gives the status of the answer. */
  async postJson(address: string, path: string, body: unknown, timeout: Milliseconds) {
    const response = await sendRequest(`${address}${path}`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(timeout),
    })
    await response.body.dump()
    return response.statusCode
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }
}
