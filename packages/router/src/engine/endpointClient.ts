/**
 * Sends requests to endpoints of the OpenAI-style kind over persistent connections. Owns one
 * connection pool per address, the memory for buffered answers and the exchanges in progress.
 */

import { Agent, Pool, request as sendRequest } from 'undici'
import type { Client } from 'undici'
import type { Readable } from 'node:stream'
import type { AnswerEnd, KnownTermination } from '@rackwalk/decisions'
import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'
import { ANSWER_BUFFER_LIMITS, AnswerBufferPool } from './answerBuffer.js'
import type { AnswerBufferLimits } from './answerBuffer.js'
import type { AttemptResult } from './attemptResult.js'
import { EndpointConnection } from './endpointConnection.js'
import type { EndpointDispatch } from './endpointConnection.js'
import { EndpointExchange, classifyAttemptError } from './endpointExchange.js'
import { InFlightExchanges } from './inFlightExchanges.js'

/** One request to an endpoint. */
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
  /** Whether the request may run more than once. Defaults to true. */
  readonly isRepeatable?: boolean
  /** Aborted when the caller leaves or the deadline passes. The abort reason is the `AnswerEnd`. */
  readonly signal: AbortSignal
}

/** Longest wait for a connection to be established. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000
/** Maximum number of connections, and so of concurrent requests, per address. */
const CONNECTIONS_PER_ENDPOINT = 512

function openConnection(origin: URL, options: object): EndpointConnection {
  return new EndpointConnection(origin, options as Client.Options)
}

/** Sends requests to endpoints over persistent connections. */
export class EndpointClient {
  private readonly agent: Agent

  private readonly bufferPool: AnswerBufferPool
  private readonly inFlight = new InFlightExchanges()

  constructor(
    private readonly clock: Clock,
    /** Longest pause within an answer before the attempt fails as stalled. */
    private readonly stallMilliseconds: Milliseconds,
    bufferLimits: AnswerBufferLimits = ANSWER_BUFFER_LIMITS,
  ) {
    this.bufferPool = new AnswerBufferPool(bufferLimits)
    this.agent = new Agent({
      connections: CONNECTIONS_PER_ENDPOINT,
      pipelining: 1,
      // With a half-open socket, the client closes its own side only after the reader of the answer
      // has received everything.
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS, allowHalfOpen: true },
      bodyTimeout: stallMilliseconds,
      factory: (origin, options) => new Pool(origin, { ...options, factory: openConnection }),
    })
  }

  /**
   * Sends the request. Resolves when the answer is complete or is being streamed, or when the
   * attempt has failed; never rejects.
   */
  attempt(call: EndpointRequest): Promise<AttemptResult> {
    if (call.signal.aborted) return Promise.resolve(unsentAfter(call.signal.reason))
    const { endpointId, method, isRepeatable, signal } = call
    const { bufferPool, inFlight, clock } = this
    const exchange = new EndpointExchange({
      endpointId,
      method,
      isRepeatable,
      signal,
      bufferPool,
      inFlight,
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
      return Promise.resolve(classifyAttemptError(thrown, false))
    }
    return exchange.result
  }

  /**
   * Fails the exchanges that a terminated endpoint will not answer. `endpointHeardAt` is the
   * monotonic time of the endpoint's latest state report.
   */
  noteTermination(
    endpointId: EndpointId,
    end: KnownTermination,
    endpointHeardAt: Milliseconds,
  ): void {
    this.inFlight.noteTermination(endpointId, end, endpointHeardAt)
  }

  /** Fetches a small JSON document, such as a load report. */
  async fetchJson(address: string, path: string, timeout: Milliseconds): Promise<unknown> {
    const response = await sendRequest(`${address}${path}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(timeout),
    })
    return response.body.json()
  }

  /** Posts a small JSON document and resolves with the status of the answer. */
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

  /** Closes all connections. Exchanges in progress fail. */
  async close(): Promise<void> {
    await this.agent.destroy()
  }
}

/** Returns the result of a request that was over before it was sent. */
function unsentAfter(end: AnswerEnd): AttemptResult {
  const reason = end === 'deadline' ? 'the deadline passed' : 'the caller left'
  return { kind: 'unsent', reason }
}
