/**
 * Sends one request of the gateway to one endpoint after another, until an answer is delivered or the request
 * is given up. The rules in packages/decisions determine which endpoint is tried, whether another one follows
 * after a failure, and what the caller receives in the end; this module collects their inputs, acts on them,
 * and records the outcomes. Owns the exchange in progress and the outcomes of the attempts.
 */

import type { IncomingMessage } from 'node:http'
import {
  answerDisposition,
  canRepeat,
  crashGossipWait,
  finalError,
  isEndpointFailure,
  wasNeverSent,
  mayHaveRun,
  retryStep,
} from '@rackwalk/decisions'
import type { AttemptOutcome, EndedAnswer, RetryStep } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { EndpointStart, Milliseconds, SoftwareVersion, TokenCount } from '@rackwalk/shared'
import { promptPartKeys } from '../crashes/promptPartKey.js'
import { GatewayAnswerDelivery } from './gatewayAnswerDelivery.js'
import { suspectEndpointOf } from './suspectEndpoint.js'
import {
  isOwnAnswer,
  isSuccessful,
  isProxyError,
  outcomeOfHead,
  refusalRecord,
  terminatedOutcome,
} from './attemptOutcomes.js'
import type { RefusalRecord } from './attemptOutcomes.js'
import { EndpointSelector } from './endpointSelector.js'
import type { SelectionConstraints, ChosenEndpoint } from './endpointSelector.js'
import type { ReplyMetadata } from './dialect.js'
import { applyStatements } from './endpointStatements.js'
import { eventDeliveryOf } from './eventDelivery.js'
import type { EventDelivery } from './eventDelivery.js'
import type { EndpointRecord, EndpointState } from './endpointState.js'
import { startedStreamOf } from '../streams/startedStream.js'
import type { AttemptedRequest, AttemptsParts, AttemptsResult } from './attemptedRequest.js'
import { SilenceWatch } from './silenceWatch.js'
import { StreamPace } from './streamPace.js'
import { ENDPOINT_ENDED, UpstreamExchange } from './upstreamExchange.js'
import type { HeadOutcome } from './upstreamExchange.js'

/** The next step after an attempt; `done` means that a complete answer was delivered. */
type AttemptEnd = 'done' | Exclude<RetryStep, 'pass-on'>

/** Endpoints enforce the deadline themselves, so an answer is awaited for this long after the deadline. */
const DEADLINE_SLACK_MILLISECONDS = 80
/** No process listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED'
const STATUS_OK = 200

/** The attempts at one request. */
export class RequestAttempts implements SelectionConstraints {
  readonly tried = new Set<EndpointStart>()
  /**
   * Version that must give the rest of the stream, since the output of two versions must not be mixed. Set by
   * the origin of a resumed stream or with the first event.
   */
  softwareVersion: SoftwareVersion | undefined
  private readonly events: EventDelivery
  private readonly history: AttemptOutcome[] = []
  private exchange: UpstreamExchange | undefined
  /** Monotonic time at which data was last received in the exchange, or at which the exchange began. */
  private lastReceivedAt: Milliseconds = 0
  /** Removes the exchange from its endpoint's open exchanges; may be called again. */
  private closeExchange = () => {}
  private hasDelivered = false
  private isDeadlinePassed = false
  private isUnsent = false
  /** Whether the caller has a complete answer. */
  private isWhole = false
  /** Monotonic time at which the current attempt was sent. */
  private sentAt: Milliseconds = 0
  private readonly selector: EndpointSelector
  private readonly silence: SilenceWatch

  constructor(
    private readonly parts: AttemptsParts,
    private readonly request: AttemptedRequest,
  ) {
    this.events = eventDeliveryOf(request)
    this.softwareVersion = request.origin?.softwareVersion
    this.selector = new EndpointSelector(parts, request, this)
    this.silence = new SilenceWatch(parts, request)
  }

  /**
   * Serves the request to its end. When this resolves, the caller has a complete answer, an interrupted
   * one or a refusal, or has left. Only if the result is `isUnsent`, the caller has nothing yet and the
   * request is to be relayed.
   */
  async run(): Promise<void> {
    const { reply } = this.request
    reply.onLeave(() => this.exchange?.abort('caller-left'))
    const untilAbort = this.abortAt - this.parts.clock.sinceStart()
    const timer = this.parts.clock.after(untilAbort, () => this.passDeadline())
    try {
      this.isWhole = await this.attemptUntilDone()
    } finally {
      timer.cancel()
    }
  }

  /** The result so far. It is also valid after `run` has thrown. */
  get result(): AttemptsResult {
    const { hasDelivered, isWhole, isUnsent } = this
    const { events } = this.events
    return { mayHaveRun: this.history.some(mayHaveRun), hasDelivered, events, isWhole, isUnsent }
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

  /** Resolves with whether a complete answer was delivered. */
  private async attemptUntilDone(): Promise<boolean> {
    while (!this.isOver) {
      const chosen = this.selector.choose(this.history.some(mayHaveRun))
      if (chosen === undefined) break
      this.noteChoice(chosen)
      const end = await this.attempt(chosen.endpoint)
      if (end === 'done') return true
      if (end === 'give-up') break
    }
    this.isUnsent = this.canRelay
    if (!this.isUnsent) this.giveUp()
    return false
  }

  /** Whether another instance may serve the request, since no endpoint was connected. */
  private get canRelay(): boolean {
    const { isOver, history, selector, request } = this
    const isCutOff = this.parts.links.isCutOff(request.service.name)
    if (isOver || !request.mayRelay || selector.verdict === 'refuse') return false
    return wasNeverSent(history, isCutOff)
  }

  private noteChoice({ endpoint, score, compared }: ChosenEndpoint): void {
    const { record } = this.request
    const { id, softwareVersion } = endpoint.record
    record.attempts.push({
      endpoint: id,
      softwareVersion,
      score: Math.round(score),
      compared,
      pendingTokens: this.pendingTokens(endpoint),
      uncachedTokens: this.uncachedTokens(id),
      waitedMilliseconds: Math.round(this.parts.clock.sinceStart() - record.receivedAt),
      outcome: undefined,
      longestPause: undefined,
    })
  }

  private async attempt(endpoint: EndpointState): Promise<AttemptEnd> {
    const { id } = endpoint.record
    const uncachedTokens = this.uncachedTokens(id)
    this.selector.noteSent(endpoint)
    const pending = endpoint.beginRequest(uncachedTokens)
    this.sentAt = this.parts.clock.monotonic()
    this.parts.fleetLoad.noteSent(id, this.request.metadata.promptParts, uncachedTokens)
    this.tried.add(endpoint.record.start)
    this.parts.crashes.promptParts.noteSent(this.selector.promptPartKeys)
    try {
      const exchange = this.open(endpoint)
      this.registerExchange(endpoint, exchange)
      const head = await this.silence.whileAwaiting(exchange)
      if (head.kind === 'head') {
        return await this.handleAnswer(endpoint, exchange, head.response, pending.noteBegun)
      }
      return await this.endWithoutAnswer(endpoint, head)
    } catch (thrown) {
      this.abortAfterFault()
      throw thrown
    } finally {
      this.closeExchange()
      pending.end()
      this.exchange = undefined
    }
  }

  /** Ends an attempt within which something threw. The endpoint may have run what was sent to it. */
  private abortAfterFault(): void {
    if (this.exchange === undefined) return
    this.exchange.abort('aborted')
    this.history.push({ kind: 'failed', reason: 'internal fault' })
  }

  /** Registers an exchange with its endpoint, so that a termination of the endpoint ends the exchange. */
  private registerExchange(endpoint: EndpointState, exchange: UpstreamExchange): void {
    const { route, reply, service } = this.request
    const { sentAt } = this
    const lastReceivedAt = () => this.lastReceivedAt
    this.lastReceivedAt = sentAt
    this.closeExchange = endpoint.exchanges.add({
      get open() {
        const isReplyStarted = reply.isStarted
        return {
          sentAt,
          lastReceivedAt: lastReceivedAt(),
          isRetryable: canRepeat({ route, isReplyStarted }),
          isReplyStarted,
          isPaused: exchange.isPaused,
        }
      },
      statePath: service.engine?.statePath,
      suspect: () => void this.noteReset(endpoint),
      end: () => exchange.abort(ENDPOINT_ENDED),
    })
  }

  private async endWithoutAnswer(
    endpoint: EndpointState,
    { kind, reason }: Exclude<HeadOutcome, { kind: 'head' }>,
  ): Promise<AttemptEnd> {
    endpoint.noteOutcome(false)
    if (reason === ENDPOINT_ENDED) return this.endAttempt(terminatedOutcome(kind, reason))
    if (kind === 'failed') return this.endReset(endpoint, { kind, reason })
    if (reason === CONNECTION_REFUSED) endpoint.noteUnreachable()
    this.parts.links.noteConnectFailed(endpoint)
    const end = this.endAttempt({ kind: 'connect-failed', reason })
    if (end === 'try-another') await this.waitForCrashGossip()
    return end
  }

  /** Before the next endpoint is put at risk, it must be known whether another try has just crashed this one. */
  private async waitForCrashGossip(): Promise<void> {
    const wait = crashGossipWait(this.selector.verdict)
    if (wait > 0) await sleep(this.parts.clock, wait)
  }

  /**
   * The endpoint reset the request before the first event of its answer (the first bytes of an answer that is
   * no stream), or a proxy or load balancer in front of the engine answered with an error. Before the request
   * is sent to another endpoint, it must be known whether it crashed this one.
   */
  private async endReset(endpoint: EndpointState, outcome: AttemptOutcome): Promise<AttemptEnd> {
    const { heardAt } = endpoint
    this.closeExchange()
    endpoint.exchanges.noteReset({ now: this.parts.clock.monotonic(), heardAt })
    const isKnown = this.noteReset(endpoint)
    const end = this.endAttempt(outcome)
    if (end === 'try-another') await isKnown
    return end
  }

  /**
   * The endpoint reset the request or terminated before the answer had begun. Resolves, after probes, with
   * whether the endpoint is known to have terminated; undefined if the request is over.
   */
  private noteReset(endpoint: EndpointState): Promise<boolean> | undefined {
    if (this.isOver) return undefined
    const wasIsolated = this.selector.verdict === 'isolate'
    const { sentAt, selector } = this
    const { fingerprint } = selector
    const { service, metadata } = this.request
    const suspect = suspectEndpointOf(endpoint, service)
    const parts = promptPartKeys(service.name, metadata.promptParts)
    return this.parts.crashes.noteReset(suspect, { fingerprint, wasIsolated, sentAt, parts })
  }

  /** Tokens of the request's prompt that are not cached at an endpoint. */
  private uncachedTokens(endpoint: string): TokenCount {
    const { tokens, promptParts } = this.request.metadata
    return this.parts.fleetLoad.uncachedTokens(endpoint, tokens?.prompt ?? 0, promptParts)
  }

  /** Prompt tokens that an endpoint has to read for requests from all instances. */
  private pendingTokens(endpoint: EndpointState): TokenCount {
    const peers = this.parts.fleetLoad.ofPeers(endpoint.record.id)
    return endpoint.pendingTokens + peers.pendingTokens
  }

  private open(endpoint: EndpointState): UpstreamExchange {
    const { team, priority, method, path, rawHeaders, body, deadlineAt } = this.request
    const remaining = Math.max(1, Math.floor(deadlineAt - this.parts.clock.sinceStart()))
    const headers = this.parts.dialect.forwardHeaders(rawHeaders, {
      remainingMilliseconds: remaining,
      endpoint: endpoint.record.id,
      team,
      priority,
      lastEventId: this.events.lastEventId,
    })
    if (body.length > 0) headers.push('Content-Length', String(body.length))
    const connectMilliseconds = Math.min(this.parts.connectMilliseconds, remaining)
    const exchange = new UpstreamExchange(endpoint, {
      method,
      path,
      headers,
      body,
      connectMilliseconds,
    })
    this.exchange = exchange
    return exchange
  }

  /** Classifies the head of an answer and delivers the answer if it is acceptable. */
  private async handleAnswer(
    endpoint: EndpointState,
    exchange: UpstreamExchange,
    response: IncomingMessage,
    noteBegun: () => void,
  ): Promise<AttemptEnd> {
    const status = response.statusCode ?? 0
    this.lastReceivedAt = this.parts.clock.monotonic()
    const reply = this.parts.dialect.readReply(status, response.headers)
    const { isFirstOnConnection } = exchange
    const head = { status, reply, isFirstOnConnection }
    const outcome = outcomeOfHead(head, this.request.metadata.requestId)
    if (isOwnAnswer(status, outcome)) this.noteStatements(endpoint, reply, outcome)
    else if (outcome.kind === 'refused') {
      this.parts.directory.noteMisdirected(endpoint, reply.refusedBy)
    }
    // An endpoint that rejects a request without running it is full, not failing.
    if (outcome.kind !== 'refused') endpoint.noteOutcome(isSuccessful(outcome))
    if (isProxyError(status, outcome)) {
      exchange.abort('aborted')
      return this.endReset(endpoint, outcome)
    }
    const step = this.note(outcome, refusalRecord(head, outcome))
    if (step === 'pass-on') return this.deliver(endpoint, exchange, response, noteBegun)
    discard(exchange, outcome, step)
    return step
  }

  /** Notes that the endpoint answered, and applies what it says of itself. */
  private noteStatements(
    endpoint: EndpointState,
    reply: ReplyMetadata,
    { kind }: AttemptOutcome,
  ): void {
    endpoint.noteHeard()
    const said = applyStatements(this.parts, endpoint, { reply, isAnswered: kind === 'answered' })
    const attempt = this.request.record.attempts.at(-1)
    if (attempt !== undefined) attempt.said = said
  }

  private async deliver(
    endpoint: EndpointState,
    exchange: UpstreamExchange,
    response: IncomingMessage,
    noteBegun: () => void,
  ): Promise<AttemptEnd> {
    const { route, reply } = this.request
    const pace = this.startPace(endpoint)
    let hasBegun = false
    const noteBytes = () => {
      noteBegun()
      endpoint.noteHeard()
      this.lastReceivedAt = endpoint.heardAt
      if (!hasBegun) this.noteAnswered()
      hasBegun = true
    }
    const delivery = new GatewayAnswerDelivery({
      exchange,
      response,
      reply,
      events: this.events,
      onStart: () => this.noteFirstByte(),
      onEvents: count => {
        noteBytes()
        this.noteEvents(endpoint, pace, count)
      },
      onBytes: noteBytes,
    })
    const answer = await this.deliverBody(delivery, response)
    this.recordAnswer(delivery)
    this.notePause(pace)
    const disposition = answerDisposition(answer, { route, isReplyStarted: reply.isStarted })
    if (disposition === 'whole') return 'done'
    if (!isEndpointFailure(answer)) return 'give-up'
    endpoint.noteOutcome(false)
    // The outcome was recorded as answered by the head; the interruption replaces it.
    this.history.pop()
    const outcome = { kind: 'broke-off', events: this.events.events } as const
    if (answer.end === ENDPOINT_ENDED) return this.endAttempt(outcome)
    return hasBegun ? this.endInterrupted(endpoint, outcome) : this.endReset(endpoint, outcome)
  }

  private deliverBody(
    delivery: GatewayAnswerDelivery,
    { statusCode }: IncomingMessage,
  ): Promise<EndedAnswer> {
    const isStream = this.request.route.isStreaming && statusCode === STATUS_OK
    return isStream ? delivery.deliverEvents() : delivery.deliverWhole()
  }

  /** Records complete events. With the first event of the request, the software version is fixed. */
  private noteEvents({ record }: EndpointState, pace: StreamPace, count: number): void {
    if (this.events.events === count) this.noteStreamStarted(record)
    pace.noteEvents(count)
  }

  private noteStreamStarted({ softwareVersion }: EndpointRecord): void {
    const { request, parts } = this
    this.softwareVersion = softwareVersion
    const startedStream = startedStreamOf(request, softwareVersion)
    if (startedStream !== undefined) parts.streams.noteStarted(startedStream)
  }

  /**
   * The endpoint interrupted an answer whose body had begun. The request gets no crash mark, but the endpoint
   * is probed for the sake of its other exchanges.
   */
  private endInterrupted(endpoint: EndpointState, outcome: AttemptOutcome): AttemptEnd {
    this.parts.directory.noteInterrupted(endpoint)
    return this.endAttempt(outcome)
  }

  private recordAnswer(delivery: GatewayAnswerDelivery): void {
    const attempt = this.request.record.attempts.at(-1)
    if (attempt !== undefined) attempt.answer = delivery.record
  }

  /** An endpoint has begun to answer, which clears the request and its prompt parts of crash evidence. */
  private noteAnswered(): void {
    const { selector } = this
    const { crashes } = this.parts
    if (selector.isSuspect) crashes.noteAnswered(selector.fingerprint)
    crashes.promptParts.noteAnswered(selector.promptPartKeys)
  }

  private startPace(endpoint: EndpointState): StreamPace {
    return new StreamPace({
      clock: this.parts.clock,
      pendingTokens: () => this.pendingTokens(endpoint),
      onPace: pace => endpoint.noteEventInterval(pace),
    })
  }

  private notePause({ longestPause }: StreamPace): void {
    const { record, route, service } = this.request
    const attempt = record.attempts.at(-1)
    if (attempt !== undefined) attempt.longestPause = longestPause
    const goal = route.pauseGoalMilliseconds
    if (longestPause === undefined || goal === undefined) return
    this.parts.fleetLoad.pauses.note(service.name, longestPause, goal)
  }

  /** Records an outcome without an answer that could be delivered, and returns the next step. */
  private endAttempt(outcome: AttemptOutcome): AttemptEnd {
    const step = this.note(outcome)
    return step === 'pass-on' ? 'give-up' : step
  }

  /** Records the outcome of the current attempt and determines the next step. */
  private note(outcome: AttemptOutcome, refusal?: RefusalRecord): RetryStep {
    const { route, reply, record, takeRetry } = this.request
    this.history.push(outcome)
    const attempt = record.attempts.at(-1)
    if (attempt !== undefined) Object.assign(attempt, { outcome, refusal })
    return retryStep({
      route,
      history: this.history,
      isReplyStarted: reply.isStarted,
      isAbandoned: this.isOver,
      hasUntriedEndpoint: this.selector.hasUntried,
      takeRetry,
    })
  }

  private noteFirstByte(): void {
    const { record } = this.request
    this.hasDelivered = true
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - record.receivedAt
  }

  /** Whether the newest attempt was rejected and no attempt may have run the request. */
  private get isRejected(): boolean {
    const { history } = this
    return history.at(-1)?.kind === 'refused' && !history.some(mayHaveRun)
  }

  /** Ends the request with an error: as a refusal, or by interrupting an answer that has begun. */
  private giveUp(): void {
    const { reply, record, service } = this.request
    if (this.isRejected) this.selector.noteAllRejected()
    const error = finalError({
      service: service.name,
      history: this.history,
      isCallerGone: reply.isCallerGone,
      isDeadlinePassed: this.isDeadlinePassed,
      noEndpointReason: this.selector.noChoice,
    })
    record.code = error.code
    record.detail = error.message
    if (reply.isCallerGone) return
    if (reply.isStarted) reply.abort()
    else reply.refuse(error)
  }
}

/**
 * Ends an exchange whose answer is not delivered. The answer is read to its end, so that the connection
 * can be reused, if the endpoint rejected the request, or answered it and another endpoint is tried.
 * Otherwise the exchange is aborted, since the endpoint may hold the end of its answer back.
 */
function discard(exchange: UpstreamExchange, outcome: AttemptOutcome, step: RetryStep): void {
  const isRead =
    outcome.kind === 'refused' || (outcome.kind === 'answered' && step === 'try-another')
  if (isRead) exchange.drain()
  else exchange.abort('aborted')
}
