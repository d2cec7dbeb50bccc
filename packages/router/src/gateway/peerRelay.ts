/**
 * Relays one request, which this instance can't send to any endpoint, to other instances, one after another.
 * An instance that takes the request serves it as its own: it admits the request, reserves its budget and
 * makes the attempts. Without the relay, callers of an instance that is cut off (without a connection to the
 * endpoints) would get errors while other instances could serve them. Owns the exchange in progress; the
 * rules are in decisions/choosing/relayPeer and decisions/retrying/relayStep.
 */

import type { Agent, IncomingMessage } from 'node:http'
import {
  answerDisposition,
  claimsNotExecuted,
  isEndpointFailure,
  isFinalStatus,
  isServerError,
  relayStep,
} from '@rackwalk/decisions'
import type { EndedAnswer, RelayOutcome } from '@rackwalk/decisions'
import { DispatchedError, NotRunError, RESULT_TABLE, ResultCode } from '@rackwalk/shared'
import type { Clock, Milliseconds, RackwalkError } from '@rackwalk/shared'
import { GatewayAnswerDelivery } from './gatewayAnswerDelivery.js'
import type { CallerReply } from './callerReply.js'
import type { Dialect, RequestMetadata } from './dialect.js'
import { eventDeliveryOf } from './eventDelivery.js'
import type { GatewayRoute } from './gatewayConfiguration.js'
import type { GatewayRecord, RelayRecord } from './gatewayRecord.js'
import { UpstreamExchange } from './upstreamExchange.js'
import type { HeadOutcome } from './upstreamExchange.js'

/** Another instance that serves requests of this instance's callers. */
export interface RelayPeer {
  readonly instance: string
  /** IP:PORT for peers. */
  readonly address: string
  readonly agent: Agent
}

/** Chooses among the instances that serve requests of this instance's callers. */
export interface RelayPeers {
  /** The instance to relay to next for a service; undefined if there is none besides those already asked. */
  choose(service: string, asked: ReadonlySet<string>): RelayPeer | undefined
}

/** Dependencies of a relay. */
export interface PeerRelayParts {
  readonly dialect: Dialect
  readonly clock: Clock
  readonly relayPeers: RelayPeers
  /** Name of this instance among its peers. */
  readonly instance: string
  readonly connectMilliseconds: Milliseconds
}

/** A request that was read and not sent to any endpoint. */
export interface RelayableRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: string
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Time, on the clock that includes suspensions of the host, at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
  readonly reply: CallerReply
  readonly record: GatewayRecord
}

/** Header that names the relaying instance; a request with this header is never relayed again. */
export const RELAYED_BY = 'rackwalk-relayed-by'

/**
 * The other instance enforces the deadline itself, so its answer is awaited for this long after the
 * deadline.
 */
const DEADLINE_SLACK_MILLISECONDS: Milliseconds = 120
const STATUS_OK = 200
const STATUS_ERROR = 400

/** Relays one request to other instances, one after another. */
export class PeerRelay {
  private readonly triedInstances = new Set<string>()
  private readonly outcomes: RelayOutcome[] = []
  private exchange: UpstreamExchange | undefined
  private isDeadlinePassed = false

  constructor(
    private readonly parts: PeerRelayParts,
    private readonly request: RelayableRequest,
  ) {}

  /**
   * Relays the request. Resolves with true if the request is over: the caller has received an answer, a part
   * of an interrupted answer or an error, or has left. Resolves with false if the caller has received nothing
   * yet and none of the other instances can have run the request.
   */
  async run(): Promise<boolean> {
    const { reply } = this.request
    const { clock } = this.parts
    reply.onLeave(() => this.exchange?.abort('caller-left'))
    const timer = clock.after(this.abortAt - clock.sinceStart(), () => this.passDeadline())
    try {
      return await this.relayUntilDone()
    } finally {
      timer.cancel()
    }
  }

  private passDeadline(): void {
    this.isDeadlinePassed = true
    this.exchange?.abort('deadline')
  }

  private get isOver(): boolean {
    // The timer stands still while the host is suspended; `sinceStart` does not.
    this.isDeadlinePassed ||= this.parts.clock.sinceStart() >= this.abortAt
    return this.isDeadlinePassed || this.request.reply.isCallerGone
  }

  private get abortAt(): Milliseconds {
    return this.request.deadlineAt + DEADLINE_SLACK_MILLISECONDS
  }

  private async relayUntilDone(): Promise<boolean> {
    let peer = this.nextPeer
    while (peer !== undefined && !this.isOver) {
      if (await this.relayTo(peer)) return true
      const another = this.nextPeer
      const step = relayStep(this.outcomes, this.request.route, another !== undefined)
      if (step !== 'ask-another') break
      peer = another
    }
    const wasSent = this.outcomes.some(({ kind }) => kind === 'failed')
    if (wasSent || this.isOver) this.giveUp()
    return wasSent || this.isOver
  }

  private get nextPeer(): RelayPeer | undefined {
    return this.parts.relayPeers.choose(this.request.service, this.triedInstances)
  }

  /**
   * Relays the request to one instance. Resolves with true if the answer's delivery ended the request: the
   * caller received the whole answer, a part of it or an error, or left meanwhile. Resolves with false if
   * nothing was delivered, also if the caller left or the deadline passed before the answer began.
   */
  private async relayTo(peer: RelayPeer): Promise<boolean> {
    this.triedInstances.add(peer.instance)
    const relayRecord: RelayRecord = { instance: peer.instance, outcome: undefined }
    this.request.record.relays.push(relayRecord)
    const exchange = this.open(peer)
    this.exchange = exchange
    const head = await exchange.awaitAnswer()
    const outcome = this.outcomeOf(head, exchange)
    relayRecord.outcome = outcome
    this.outcomes.push(outcome)
    if (head.kind !== 'head') return false
    const step = relayStep(this.outcomes, this.request.route, this.nextPeer !== undefined)
    if (step === 'pass-on') return this.deliver(exchange, head.response, relayRecord)
    if (outcome.kind === 'refused') exchange.drain()
    else exchange.abort('aborted')
    return false
  }

  private outcomeOf(head: HeadOutcome, { framing }: UpstreamExchange): RelayOutcome {
    if (head.kind === 'not-sent') return { kind: 'not-sent' }
    if (head.kind === 'failed') return { kind: 'failed', reason: head.reason }
    const status = head.response.statusCode ?? 0
    if (!isFinalStatus(status)) return { kind: 'failed', reason: 'invalid status' }
    // Instances frame all of their answers, so this one lacks a part of its head.
    if (framing === 'connection') return { kind: 'failed', reason: 'answer without a length' }
    const reply = this.parts.dialect.readReply(status, head.response.headers)
    if (reply.requestId !== this.request.metadata.requestId) {
      return { kind: 'failed', reason: 'answer to another request' }
    }
    const isOwn = !reply.isSigned && status >= STATUS_ERROR
    return { kind: isOwn ? 'refused' : 'answered', status }
  }

  private open(peer: RelayPeer): UpstreamExchange {
    const { method, path, rawHeaders, body, deadlineAt } = this.request
    const { clock, dialect, instance, connectMilliseconds } = this.parts
    const remaining = Math.max(1, Math.floor(deadlineAt - clock.sinceStart()))
    const headers = dialect.relayHeaders(rawHeaders, remaining)
    headers.push(RELAYED_BY, instance)
    if (body.length > 0) headers.push('Content-Length', String(body.length))
    const endpoint = { record: { address: peer.address }, agent: peer.agent }
    const sent = { method, path, headers, body, connectMilliseconds }
    return new UpstreamExchange(endpoint, sent)
  }

  private async deliver(
    exchange: UpstreamExchange,
    response: IncomingMessage,
    relayRecord: RelayRecord,
  ): Promise<boolean> {
    const { reply, route, record } = this.request
    const delivery = new GatewayAnswerDelivery({
      exchange,
      response,
      reply,
      events: eventDeliveryOf(this.request),
      onStart: () => this.noteFirstByte(),
      onEvents: () => {},
      onBytes: () => {},
    })
    const isStream = route.isStreaming && response.statusCode === STATUS_OK
    const ended = await (isStream ? delivery.deliverEvents() : delivery.deliverWhole())
    const disposition = answerDisposition(ended, { route, isReplyStarted: reply.isStarted })
    if (disposition === 'whole') {
      noteRefusal(record, relayRecord.outcome)
      return true
    }
    return this.endInterrupted(ended, relayRecord)
  }

  /**
   * The answer was interrupted. If this instance or the caller interrupted it, or the caller has begun to
   * receive the answer, the request is given up. Returns whether the request was given up.
   */
  private endInterrupted(ended: EndedAnswer, relayRecord: RelayRecord): boolean {
    this.outcomes.pop()
    const outcome: RelayOutcome = { kind: 'failed', reason: `broke off: ${ended.end}` }
    relayRecord.outcome = outcome
    this.outcomes.push(outcome)
    const mayContinue = isEndpointFailure(ended) && !this.request.reply.isStarted
    if (!mayContinue) this.giveUp()
    return !mayContinue
  }

  private noteFirstByte(): void {
    const { record } = this.request
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - record.receivedAt
    record.execution = 'ran'
  }

  private giveUp(): void {
    const { reply, record } = this.request
    const error = this.finalError
    record.code = error.code
    record.detail = error.message
    record.execution = RESULT_TABLE[error.code].execution
    if (reply.isCallerGone) return
    if (reply.isStarted) reply.abort()
    else reply.refuse(error)
  }

  private get finalError(): RackwalkError {
    const { reply } = this.request
    const wasSent = this.outcomes.some(({ kind }) => kind === 'failed')
    if (!wasSent) return this.unsentError
    if (reply.isCallerGone) return new DispatchedError(ResultCode.CallerLeft)
    if (this.isDeadlinePassed) return new DispatchedError(ResultCode.DeadlinePassed)
    if (reply.isStarted) return new DispatchedError(ResultCode.EndpointBrokeOff)
    return new DispatchedError(ResultCode.EndpointFailed)
  }

  /** The error of a request that no other instance can have run. */
  private get unsentError(): NotRunError {
    const { isCallerGone } = this.request.reply
    return new NotRunError(
      isCallerGone ? ResultCode.CallerLeftUnsent : ResultCode.DeadlineUnreachable,
    )
  }
}

/**
 * Records an error of the other instance, which was passed on to this instance's caller. Its server errors, other than the
 * one that says "not run", tell of a request that it may have sent to an endpoint.
 */
function noteRefusal(record: GatewayRecord, outcome: RelayOutcome | undefined): void {
  if (outcome?.kind !== 'refused') return
  const { status } = outcome
  const mayHaveRun = isServerError(status) && !claimsNotExecuted(status)
  const code = mayHaveRun ? ResultCode.EndpointFailed : ResultCode.RelayRefused
  record.code = code
  record.detail = `status ${status}`
  record.execution = RESULT_TABLE[code].execution
}
