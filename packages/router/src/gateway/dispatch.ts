import type { IncomingMessage } from 'node:http'
import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { Clock, Milliseconds, RackwalkError, RandomSource, TokenCount } from '@rackwalk/shared'
import type { CallerReply } from './callerReply.js'
import type { Dialect, RequestMetadata } from './dialect.js'
import { EventRelay } from './eventRelay.js'
import type { FleetLoad } from './fleetLoad.js'
import type { GatewayRoute, GatewayService } from './gatewayConfiguration.js'
import type { AttemptRecord, GatewayRecord } from './gatewayRecord.js'
import type { RetryWindow } from './retryWindow.js'
import { rankServers } from './serverChoice.js'
import type { ServerDirectory, ServerState } from './serverDirectory.js'
import { UpstreamExchange } from './upstreamExchange.js'

/** Sends one request to servers until one answers, and passes the answer on. */

export interface DispatchParts {
  readonly dialect: Dialect
  readonly directory: ServerDirectory
  readonly fleetLoad: FleetLoad
  readonly clock: Clock
  readonly random: RandomSource
  readonly failureDomain: string
  readonly connectMilliseconds: Milliseconds
}

/** A request that may be sent: admitted, read and paid for. */
export interface DispatchRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly tenant: string | undefined
  readonly priority: number | undefined
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Monotonic time at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
  readonly reply: CallerReply
  readonly record: GatewayRecord
  readonly retries: RetryWindow
}

/** How a dispatch ended, for the budget and the log. */
export interface DispatchResult {
  /** Whether a server ran the request, or may have. */
  readonly mayHaveRun: boolean
  /** Whether the caller was given any part of a server's answer. */
  readonly isHandedOut: boolean
  readonly events: number
  /** Whether the last answer came to its own end. */
  readonly isWhole: boolean
}

type BodyOutcome = 'whole' | 'broken'

/** Servers at which no connection came up before the request is refused. */
const MAXIMUM_CONNECT_FAILURES = 3
/** A server ends its work at the deadline itself; its answer is awaited this much longer. */
const DEADLINE_SLACK_MILLISECONDS = 80
/** Answers up to this size are kept until they are whole, so that a broken one can be retried. */
const MAXIMUM_HELD_BYTES = 256 * 1024
const STATUS_MISDIRECTED = 421
/** Statuses that promise that a request has not run; only the gateway or a marked answer may. */
const PROMISING_STATUSES = new Set([408, STATUS_MISDIRECTED, 429, 503])

export class Dispatch {
  private readonly tried = new Set<string>()
  private readonly events = new EventRelay()
  private exchange: UpstreamExchange | undefined
  private sent = 0
  private connectFailures = 0
  private mayHaveRun = false
  private isHandedOut = false
  private isLate = false
  private failure: RackwalkError | undefined

  constructor(
    private readonly parts: DispatchParts,
    private readonly request: DispatchRequest,
  ) {}

  async run(): Promise<DispatchResult> {
    const { reply, deadlineAt } = this.request
    reply.onLeave(() => this.exchange?.abort())
    const untilDeadline = deadlineAt - this.parts.clock.monotonic() + DEADLINE_SLACK_MILLISECONDS
    const timer = this.parts.clock.after(untilDeadline, () => this.passDeadline())
    try {
      const isWhole = await this.attemptAll()
      const { mayHaveRun, isHandedOut } = this
      return { mayHaveRun, isHandedOut, events: this.events.events, isWhole }
    } finally {
      timer.cancel()
    }
  }

  private passDeadline(): void {
    this.isLate = true
    this.exchange?.abort()
  }

  /** True where an answer was passed on whole. */
  private async attemptAll(): Promise<boolean> {
    while (!this.isOver) {
      const server = this.choose()
      if (server === undefined) break
      const outcome = await this.attempt(server)
      if (outcome === 'answered') return true
      if (outcome === 'final') break
    }
    this.giveUp()
    return false
  }

  private get isOver(): boolean {
    return this.isLate || this.request.reply.isLeft
  }

  /** The best server, or undefined with the reason noted. */
  private choose(): ServerState | undefined {
    const { directory, fleetLoad, clock, random, failureDomain } = this.parts
    const { service, metadata, record } = this.request
    const servers = directory.available(service.name)
    const ranked = rankServers({
      servers,
      tried: this.tried,
      peerLoad: id => fleetLoad.ofPeers(id),
      uncachedTokens: id => this.uncachedTokens(id),
      promptParts: metadata.promptParts,
      failureDomain,
      now: clock.monotonic(),
      chance: random.next(),
    })
    const best = ranked[0]
    if (best === undefined) {
      const code = servers.length === 0 ? ResultCode.NoEndpoint : ResultCode.Overloaded
      if (this.tried.size === 0) this.failure = new NotRunError(code, service.name)
      return undefined
    }
    record.attempts.push({
      server: best.server.record.id,
      score: Math.round(best.score),
      compared: ranked.length,
      waitedMilliseconds: Math.round(clock.monotonic() - record.receivedAt),
      outcome: 'sent',
    })
    return best.server
  }

  private async attempt(server: ServerState): Promise<'answered' | 'again' | 'final'> {
    let pending = this.uncachedTokens(server.record.id)
    this.parts.fleetLoad.noteSent(server.record.id, this.request.metadata.promptParts)
    const begun = () => {
      server.pendingTokens -= pending
      pending = 0
    }
    server.running += 1
    server.pendingTokens += pending
    this.tried.add(server.record.id)
    try {
      const exchange = this.open(server)
      const outcome = await exchange.awaitAnswer()
      if (outcome.kind === 'head')
        return await this.answer(server, exchange, outcome.response, begun)
      server.noteOutcome(false)
      this.noteAttempt(`${outcome.kind} ${outcome.reason}`)
      return outcome.kind === 'not-sent' ? this.afterNotSent() : this.afterFailure()
    } finally {
      begun()
      server.running -= 1
      this.exchange = undefined
    }
  }

  /** Tokens of the prompt that a server would have to read. */
  private uncachedTokens(server: string): TokenCount {
    const { tokens, promptParts } = this.request.metadata
    return this.parts.fleetLoad.uncachedTokens(server, tokens?.prompt ?? 0, promptParts)
  }

  private open(server: ServerState): UpstreamExchange {
    const { tenant, priority, method, path, rawHeaders, body, deadlineAt } = this.request
    const remaining = Math.max(1, Math.floor(deadlineAt - this.parts.clock.monotonic()))
    const headers = this.parts.dialect.forwardHeaders(rawHeaders, {
      remainingMilliseconds: remaining,
      instance: server.record.id,
      tenant,
      priority,
      lastEventId: this.events.lastEventId,
    })
    if (body.length > 0) headers.push('Content-Length', String(body.length))
    const connectMilliseconds = Math.min(this.parts.connectMilliseconds, remaining)
    const exchange = new UpstreamExchange(server, {
      method,
      path,
      headers,
      body,
      connectMilliseconds,
    })
    this.exchange = exchange
    return exchange
  }

  private async answer(
    server: ServerState,
    exchange: UpstreamExchange,
    response: IncomingMessage,
    begun: () => void,
  ): Promise<'answered' | 'again' | 'final'> {
    this.sent += 1
    const status = response.statusCode ?? 0
    const reply = this.parts.dialect.readReply(status, response.headers)
    if (reply.load !== undefined) server.noteLoad(reply.load)
    if (reply.isNotExecuted) {
      this.noteAttempt(`not executed ${status}`)
      exchange.readBody({ onData: () => {}, onEnd: () => {} })
      return this.afterRefusal()
    }
    const isForeign = reply.requestId !== this.request.metadata.requestId
    const isUnsigned = status < 300 && !reply.isSigned
    if (isForeign || isUnsigned) {
      exchange.abort()
      server.noteOutcome(false)
      this.noteAttempt(isForeign ? 'answer to another request' : 'unsigned answer')
      this.sent -= 1
      return this.afterFailure()
    }
    this.mayHaveRun = true
    const isError = status >= 500
    server.noteOutcome(!isError)
    this.noteAttempt(`status ${status}`)
    if (PROMISING_STATUSES.has(status)) {
      exchange.abort()
      this.failure = new DispatchedError(ResultCode.EndpointError, `status ${status}`)
      return 'final'
    }
    if (isError && this.canRepeat && this.mayRetry()) {
      exchange.readBody({ onData: () => {}, onEnd: () => {} })
      return 'again'
    }
    if (this.request.reply.isStarted && status !== 200) return 'final'
    const isStream = this.request.route.isStreaming && status === 200
    const outcome = isStream
      ? await this.relayEvents(exchange, response, begun)
      : await this.relayWhole(exchange, response)
    if (outcome === 'whole') return 'answered'
    if (this.isOver) return 'final'
    server.noteOutcome(false)
    this.noteAttempt(`broke off after ${this.events.events} events`)
    this.failure = new DispatchedError(ResultCode.EndpointBrokeOff)
    return this.canRepeat && this.mayRetry() ? 'again' : 'final'
  }

  /** Passes whole events on as they come; a rest without its end is never passed on. */
  private relayEvents(
    exchange: UpstreamExchange,
    response: IncomingMessage,
    begun: () => void,
  ): Promise<BodyOutcome> {
    const { reply } = this.request
    this.events.continueElsewhere()
    return new Promise(resolve => {
      const finish = (isWhole: boolean) => {
        if (!isWhole || this.events.isInsideEvent) return resolve('broken')
        if (!reply.isStarted) this.startReply(exchange, response)
        reply.end()
        resolve('whole')
      }
      exchange.readBody({
        onData: chunk => {
          const events = this.events.read(chunk)
          if (events.length === 0 || this.isOver) return
          begun()
          if (!reply.isStarted) this.startReply(exchange, response)
          const bytes = events.length === 1 ? (events[0] ?? chunk) : Buffer.concat(events)
          if (!reply.write(bytes, () => exchange.resume())) exchange.pause()
        },
        onEnd: finish,
      })
    })
  }

  /** Keeps an answer until it is whole; a large one is passed on as it comes. */
  private relayWhole(exchange: UpstreamExchange, response: IncomingMessage): Promise<BodyOutcome> {
    const { reply } = this.request
    return new Promise(resolve => {
      const held: Buffer[] = []
      let size = 0
      const flush = () => {
        if (!reply.isStarted) this.startReply(exchange, response)
        const bytes = Buffer.concat(held)
        held.length = 0
        size = 0
        return bytes
      }
      exchange.readBody({
        onData: chunk => {
          held.push(chunk)
          size += chunk.length
          if (size < MAXIMUM_HELD_BYTES || this.isOver) return
          if (!reply.write(flush(), () => exchange.resume())) exchange.pause()
        },
        onEnd: isWhole => {
          if (!isWhole || this.isOver) return resolve('broken')
          reply.end(flush())
          resolve('whole')
        },
      })
    })
  }

  private startReply(exchange: UpstreamExchange, response: IncomingMessage): void {
    const { reply, record } = this.request
    this.isHandedOut = true
    reply.start(response, exchange.isFramed)
    record.firstByteMilliseconds = this.parts.clock.monotonic() - record.receivedAt
  }

  /** Whether the route allows what may have run to run once more. */
  private get canRepeat(): boolean {
    const { route, reply } = this.request
    if (reply.isStarted) return route.isStreaming && route.isResumable
    return route.isIdempotent || route.isResumable
  }

  /** Whether another server may be asked: attempts and the shared retry budget. */
  private mayRetry(): boolean {
    if (this.sent >= this.request.route.maximumAttempts || this.isOver) return false
    const servers = this.parts.directory.available(this.request.service.name)
    if (servers.every(server => this.tried.has(server.record.id))) return false
    return this.request.retries.take()
  }

  private afterNotSent(): 'again' | 'final' {
    this.connectFailures += 1
    if (!this.mayHaveRun) this.failure = new NotRunError(ResultCode.NoEndpoint, 'no connection')
    return this.connectFailures < MAXIMUM_CONNECT_FAILURES ? 'again' : 'final'
  }

  private afterFailure(): 'again' | 'final' {
    this.sent += 1
    this.mayHaveRun = true
    this.failure = new DispatchedError(ResultCode.EndpointFailed)
    return this.canRepeat && this.mayRetry() ? 'again' : 'final'
  }

  private afterRefusal(): 'again' | 'final' {
    if (!this.mayHaveRun) this.failure = new NotRunError(ResultCode.EndpointRefused)
    return this.mayRetry() ? 'again' : 'final'
  }

  private giveUp(): void {
    const { reply, record } = this.request
    const failure = this.finalFailure()
    record.code = failure.code
    record.detail = failure.message
    if (reply.isLeft) return
    if (reply.isStarted) reply.cut()
    else reply.refuse(failure)
  }

  private finalFailure(): RackwalkError {
    if (this.request.reply.isLeft) return new DispatchedError(ResultCode.CallerLeft)
    if (this.isLate) {
      if (this.mayHaveRun || this.sent > 0) return new DispatchedError(ResultCode.DeadlinePassed)
      return new NotRunError(ResultCode.DeadlineUnreachable)
    }
    return this.failure ?? new NotRunError(ResultCode.NoEndpoint)
  }

  private noteAttempt(outcome: string): void {
    const attempt: AttemptRecord | undefined = this.request.record.attempts.at(-1)
    if (attempt !== undefined) attempt.outcome = outcome
  }
}

/** Events of an answer that broke off and may have been handed out unseen. */
const UNSEEN_EVENTS = 2

/**
 * Tokens that a request has cost its tenant; at most what was reserved. One of whose answer the
 * caller was given nothing costs nothing, whether or not a server worked on it: nobody got it.
 */
export function spentTokens(
  result: DispatchResult,
  tokens: { readonly prompt: TokenCount; readonly maximumOutput: TokenCount },
  tokensPerEvent: TokenCount,
): TokenCount {
  if (!result.isHandedOut) return 0
  const events = result.events + (result.isWhole ? 0 : UNSEEN_EVENTS)
  return tokens.prompt + Math.min(tokens.maximumOutput, events * tokensPerEvent)
}
