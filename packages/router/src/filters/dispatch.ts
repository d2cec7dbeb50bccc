/**
 * Sends the request to endpoints until one answers. Owns the attempts of one request; relies on the router
 * for the endpoint and on the retry budget for another try.
 */

import { DispatchedError, NotRunError, endpointStart, sleep } from '@rackwalk/shared'
import type { Clock, EndpointId, EndpointStart, Milliseconds, RandomSource } from '@rackwalk/shared'
import { isServerError, parseAdvice } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerDisposition } from '@rackwalk/decisions'
import type { EndpointAdviceStore } from '../advice/endpointAdviceStore.js'
import { adviceFromHeaders } from '../advice/adviceFromHeaders.js'
import type { CrashGuard } from '../crashes/crashGuard.js'
import { allMessageKeys, messageKeys, requestVerdict } from '../crashes/requestVerdict.js'
import type { AttemptResult } from '../engine/attemptResult.js'
import type { RoutingRecord } from '../decisionRecord.js'
import type { EndpointClient } from '../engine/endpointClient.js'
import { RetryBudget, backoffMilliseconds } from '../limits/retryBudget.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { EndpointRouter, AttemptHistory } from '../routing/endpointRouter.js'
import type { EndpointTable } from '../routing/endpointTable.js'
import { dispatchFailure, resultText } from './dispatchFailure.js'
import type {
  DispatchedRequest,
  EndpointAnswer,
  Filter,
  ContinuationRequest,
  RoutedRequest,
} from './stages.js'

/** Parts that dispatch works with. */
export interface DispatchParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly router: EndpointRouter
  readonly client: EndpointClient
  readonly crashes: CrashGuard
  readonly advices: EndpointAdviceStore
  /** No endpoint is left alone for longer than this by its own word. */
  readonly longestRestMilliseconds: Milliseconds
  readonly clock: Clock
  readonly random: RandomSource
  readonly firstByteMilliseconds: Milliseconds
  readonly onRetry: () => void
  /** No connection to an endpoint came up. */
  readonly onConnectFailed: (target: string, endpointId: EndpointId) => void
  /** Whether no endpoint of a model or service is reached from here. */
  readonly isCutOff: (target: string) => boolean
}

const MAXIMUM_ATTEMPTS = 4
/** A first break names the start that it belongs to by its time in such steps: an engine takes longer to be back. */
const START_RESOLUTION_MILLISECONDS = 1_000
/** Where model engines tell their state without using a slot. */
const LOAD_PATH = '/load'
const STATUS_OK = 200
const EVENT_STREAM = 'text/event-stream'
const REFUSED_STATUS = 503
const TOO_MANY_STATUS = 429
/** Request headers that describe the caller's connection or are none of the endpoint's business. */
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
])

/** How a try is sent. */
interface AttemptSend {
  /** Whether as one that may end endpoints. */
  readonly wasIsolated: boolean
  /** Monotonic time. */
  readonly sentAt: Milliseconds
}

/** What came of a try. */
interface SentAttempt extends AttemptSend {
  readonly result: AttemptResult
}

/** An attempt that gave no usable answer. */
interface FailedAttempt {
  readonly result: AttemptResult
  /** Number of the attempt, from one. */
  readonly attempt: number
  /** Resolves with whether its endpoint is known to have ended under it. */
  readonly isKnown: Promise<boolean>
}

/** What to do about an attempt that gave no usable answer. */
type Verdict = 'try-another' | 'retry' | 'give-up'

/**
 * Sends the request. An attempt of which no byte left may be made again elsewhere whatever
 * the request; one that may have run is made again only when the request may be repeated,
 * within the retry budget, before anything of an answer was passed on.
 */
export class DispatchFilter implements Filter<RoutedRequest, DispatchedRequest> {
  private readonly retries: RetryBudget
  /** What gives back what an answer holds. */
  private readonly answerReleasers = new WeakMap<EndpointAnswer, () => void>()
  /** How the answers were asked for that go on with another one. */
  private readonly continuationSends = new WeakMap<EndpointAnswer, AttemptSend>()

  constructor(private readonly parts: DispatchParts) {
    this.retries = new RetryBudget(parts.clock)
  }

  async apply(request: RoutedRequest): Promise<DispatchedRequest> {
    const { incoming } = request
    this.retries.deposit(this.parts.catalogue.policyFor(request.target).retryShare)
    const tried = new Set<EndpointId>()
    const resetOnce = new Set<EndpointId>()
    let endpointId = request.endpointId
    const results: AttemptResult[] = []
    for (let attempt = 1; ; attempt += 1) {
      const isFirst = !tried.has(endpointId)
      tried.add(endpointId)
      const sent = this.describeSend(request)
      const result = await this.attempt(request, endpointId, sent)
      const answer = acceptedAnswer(result, request)
      if (answer !== undefined) return { ...request, answer, tried }
      results.push(result)
      if (isFirst && result.kind === 'failed') resetOnce.add(endpointId)
      else resetOnce.delete(endpointId)
      const isKnown = this.noteReset(request, endpointId, { ...sent, result })
      const verdict = await this.judge(request, { result, attempt, isKnown })
      const routing = request.record.routing.at(-1)
      noteFate(routing, result, incoming.caller.disconnectSignal.aborted ? 'dropped' : 'refused')
      if (verdict === 'give-up') throw this.failure(request, results)
      // Who asked for rest is not asked again, so there is nothing to wait for.
      if (verdict === 'retry' && !this.isResting(endpointId)) await this.backOff(attempt)
      endpointId = this.chooseAnother(request, results, { tried, resetOnce })
      noteFate(routing, result, 'repeated')
    }
  }

  /**
   * Has another engine go on with an answer that was cut; undefined where none does. Attempts, endpoints and the deadline
   * are those of the request; only one engine runs it once more, and it is held for one that may have ended the first.
   */
  async dispatchContinuation(
    cut: DispatchedRequest,
    { body, softwareVersion }: ContinuationRequest,
  ): Promise<DispatchedRequest | undefined> {
    const hasEnded = await this.hasEndedUnder(cut)
    const tried = new Set(cut.tried)
    let isFree = hasEnded
    while (tried.size < MAXIMUM_ATTEMPTS && !this.isOver(cut, undefined)) {
      const choice = this.parts.router.chooseForContinuation(cut, tried, softwareVersion)
      const endpointId = choice?.endpointId
      if (endpointId === undefined || (!isFree && !this.retries.withdraw())) return undefined
      tried.add(endpointId)
      const request: RoutedRequest = { ...cut, endpointId, continuedBody: body }
      const sent = { wasIsolated: true, sentAt: this.parts.clock.monotonic() }
      const result = await this.attempt(request, endpointId, sent)
      const answer = acceptedAnswer(result, request)
      if (answer !== undefined) {
        this.continuationSends.set(answer, sent)
        return this.asStream({ ...request, answer, tried })
      }
      void this.noteReset(request, endpointId, { ...sent, result })
      if (result.kind === 'failed') return undefined
      isFree = result.kind === 'unsent'
    }
    return undefined
  }

  /** The engine that went on with an answer cut it before any piece: it is held against the request where the engine ended. */
  noteContinuationFailure(request: DispatchedRequest): void {
    const { answer } = request
    const sent = this.continuationSends.get(answer)
    const result = { kind: 'failed', reason: 'cut', stalled: false } as const
    if (sent) void this.noteReset(request, answer.endpointId, { ...sent, result })
  }

  /** What is held of a cut answer is given back at once: the chat may go on for long. */
  private async hasEndedUnder(cut: DispatchedRequest): Promise<boolean> {
    const { answer } = cut
    this.answerReleasers.get(answer)?.()
    if (answer.end === 'endpoint-ended') return true
    const breaking = this.breakingOf(cut, answer.endpointId)
    return breaking !== undefined && this.parts.crashes.noteInterrupted(breaking)
  }

  /** What is no stream of events does not go on with one. */
  private asStream(request: DispatchedRequest): DispatchedRequest | undefined {
    const { status, headers } = request.answer
    const type = headers['content-type'] ?? ''
    if (status === STATUS_OK && type.startsWith(EVENT_STREAM)) return request
    request.answer.cancel()
    this.answerReleasers.get(request.answer)?.()
    return undefined
  }

  private async attempt(
    request: RoutedRequest,
    endpointId: EndpointId,
    sent: AttemptSend,
  ): Promise<AttemptResult> {
    const endpoint = this.parts.catalogue.findEndpoint(endpointId)
    if (endpoint === undefined) return { kind: 'unsent', reason: 'removed' }
    const promptTokens = promptEstimate(request)
    this.parts.endpoints.noteRequestSent(endpointId, promptTokens)
    request.noteDispatched()
    if (sent.wasIsolated) this.parts.crashes.noteSuspectSent(this.startOf(endpointId))
    const answered = await this.parts.client.attempt({
      endpointId,
      address: endpoint.spec.address,
      ...this.exchange(request),
      isRepeatable: request.repeatable,
      firstByteMilliseconds: this.parts.firstByteMilliseconds,
      signal: this.signalOf(request),
    })
    const result = await this.rejectProxyError(request, endpointId, { ...sent, result: answered })
    this.noteResult(request, endpointId, result)
    return result
  }

  /** An error that came from what listens before an engine that has ended is no answer: the request may go elsewhere. */
  private async rejectProxyError(
    request: RoutedRequest,
    endpointId: EndpointId,
    { result, ...sent }: SentAttempt,
  ): Promise<AttemptResult> {
    if (result.kind !== 'answering' || !isServerError(result.answer.status)) return result
    const reason = `status ${result.answer.status} of its front`
    const failed = { kind: 'failed', reason, stalled: false } as const
    const hasEnded = await this.noteReset(request, endpointId, { ...sent, result: failed })
    if (!hasEnded) return result
    drop(result.answer)
    return { ...failed, isAttributed: true }
  }

  private describeSend(request: RoutedRequest): AttemptSend {
    const { clock, crashes } = this.parts
    crashes.promptParts.noteSent(messageKeys(crashes, request))
    const wasIsolated = requestVerdict(crashes, request) === 'isolate'
    return { wasIsolated, sentAt: clock.monotonic() }
  }

  /** Resolves when it is known whether the endpoint ended as it broke the request off. */
  private async noteReset(
    request: RoutedRequest,
    endpointId: EndpointId,
    { result, wasIsolated, sentAt }: SentAttempt,
  ): Promise<boolean> {
    const { crashFingerprint: fingerprint } = request
    if (result.kind !== 'failed' || result.stalled || fingerprint === undefined) return false
    if (result.isAttributed === true) return true
    if (this.isOver(request, result)) return false
    const breaking = this.breakingOf(request, endpointId)
    if (breaking === undefined) return false
    const parts = allMessageKeys(request)
    return this.parts.crashes.noteReset(breaking, { fingerprint, wasIsolated, sentAt, parts })
  }

  /** An endpoint as looks at it need it; undefined where it is no longer configured. */
  private breakingOf({ call, target }: RoutedRequest, endpointId: EndpointId) {
    const { catalogue, endpoints } = this.parts
    const address = catalogue.findEndpoint(endpointId)?.spec.address
    if (address === undefined) return undefined
    return {
      id: endpointId,
      start: this.startOf(endpointId),
      service: target,
      address: new URL(address).host,
      isPlannedShutdown: endpoints.isLeaving(endpointId),
      // A plain service has no place to ask: a GET there would be a call of it.
      statePath: call.kind === 'chat' ? LOAD_PATH : undefined,
      heard: () => endpoints.lastHeard(endpointId),
      hasEnded: false,
    }
  }

  /** Its platform does not tell one start from the next: the time of the first break of an end does, wherever it was seen. */
  private startOf(endpointId: EndpointId): EndpointStart {
    const { clock, crashes, endpoints } = this.parts
    const spoken = crashes.startOf(endpointId, endpoints.lastHeard(endpointId))
    const second = Math.floor(clock.wallTime() / START_RESOLUTION_MILLISECONDS)
    return spoken ?? endpointStart(endpointId, second)
  }

  private exchange(request: RoutedRequest) {
    const { incoming, call, requestId } = request
    const headers = { ...passedHeaders(incoming.headers), 'x-request-id': requestId }
    if (call.kind === 'service') {
      const hasBody =
        incoming.headers.has('content-length') || incoming.headers.has('transfer-encoding')
      const body = hasBody ? incoming.body : undefined
      return { method: incoming.method, path: call.path, headers, body }
    }
    const body = JSON.stringify({
      ...(request.continuedBody ?? call.chat.body),
      priority: -request.priority,
    })
    return { method: 'POST', path: '/v1/chat/completions', headers, body }
  }

  /** Aborts the exchange when the caller leaves or its deadline passes. */
  private signalOf(request: RoutedRequest): AbortSignal {
    const controller = new AbortController()
    const abort = (end: AnswerEnd) => controller.abort(end)
    const noteLeft = () => abort('caller-left')
    const remaining = Math.max(0, request.deadline - this.parts.clock.sinceStart())
    const timer = this.parts.clock.after(remaining, () => abort('deadline'))
    const { disconnectSignal } = request.incoming.caller
    if (disconnectSignal.aborted) noteLeft()
    disconnectSignal.addEventListener('abort', noteLeft, { once: true })
    request.scope.onEnd(() => {
      timer.cancel()
      disconnectSignal.removeEventListener('abort', noteLeft)
    })
    return controller.signal
  }

  /** An endpoint that asks for rest has not failed. */
  private isResting(endpointId: EndpointId): boolean {
    const advice = this.parts.advices.of(endpointStart(endpointId, undefined))
    return advice !== undefined && advice.retryAfterMilliseconds > 0
  }

  /** What the endpoint says of itself with this answer, whatever becomes of the answer. */
  private noteAdvice(endpointId: EndpointId, { status, headers }: EndpointAnswer): void {
    const { clock, longestRestMilliseconds, advices } = this.parts
    const context = { wallTime: clock.wallTime(), longestRestMilliseconds }
    const advice = parseAdvice(adviceFromHeaders(status, headers), context)
    const isTurnedAway = status === REFUSED_STATUS || status === TOO_MANY_STATUS
    advices.note(endpointStart(endpointId, undefined), advice, !isTurnedAway)
    if (advice.isLeaving) this.parts.endpoints.noteLeaving(endpointId, 'answer')
  }

  private noteResult(request: RoutedRequest, endpointId: EndpointId, result: AttemptResult): void {
    const routing = request.record.routing.at(-1)
    if (routing !== undefined) routing.outcome = resultText(result)
    if (result.kind === 'answering') this.noteAdvice(endpointId, result.answer)
    if (acceptedAnswer(result, request) !== undefined) {
      this.noteHarmless(request, result)
      request.scope.commit()
      if (result.kind === 'answering') this.holdAnswer(request, result.answer)
      return
    }
    if (result.kind === 'answering') drop(result.answer)
    if (result.kind === 'unsent') this.parts.onConnectFailed(request.target, endpointId)
    this.parts.endpoints.noteRequestEnded(endpointId)
    if (!this.isOver(request, result) && !this.isResting(endpointId))
      this.parts.endpoints.noteFailure(endpointId)
  }

  /** An error may be that of a front whose engine has ended under the request: it clears nothing until a look shows life. */
  private noteHarmless(request: RoutedRequest, result: AttemptResult): void {
    const { crashFingerprint } = request
    if (crashFingerprint === undefined || result.kind !== 'answering') return
    const { crashes } = this.parts
    const { endpointId, status } = result.answer
    if (isServerError(status) && crashes.isEndpointSuspect(endpointId)) return
    crashes.noteAnswered(crashFingerprint)
    crashes.promptParts.noteAnswered(messageKeys(crashes, request))
  }

  /** Once, at the end of the request or of the answer. */
  private holdAnswer({ scope }: RoutedRequest, answer: EndpointAnswer): void {
    let isHeld = true
    const end = () => {
      if (isHeld) this.parts.endpoints.noteRequestEnded(answer.endpointId)
      isHeld = false
      answer.releaseBuffer()
    }
    this.answerReleasers.set(answer, end)
    scope.onEnd(end)
  }

  private async judge(request: RoutedRequest, failed: FailedAttempt): Promise<Verdict> {
    const { result, attempt } = failed
    if (this.isOver(request, result) || attempt >= MAXIMUM_ATTEMPTS) return 'give-up'
    // A body that streams through can be sent once.
    const isBodySpent = request.call.kind === 'service' && request.incoming.body.readableDidRead
    if (isBodySpent) return 'give-up'
    if (result.kind === 'unsent') return this.afterUnsent(request)
    if (!request.repeatable) return 'give-up'
    const isFree = await this.isFree(failed)
    if (this.isOver(request, result) || (!isFree && !this.retries.withdraw())) return 'give-up'
    this.parts.onRetry()
    return 'retry'
  }

  /** Where nothing is reached from here, another instance is asked and not the next endpoint. */
  private afterUnsent({ target }: RoutedRequest): Verdict {
    return this.parts.isCutOff(target) ? 'give-up' : 'try-another'
  }

  /**
   * Retries are bounded so that a failing endpoint does not have its load multiplied. One that has ended bears no load, and all
   * that waited there comes in one moment, more than is ever saved up: so what it ran is sent again free. The attempts of a
   * request are bounded all the same, and what ends endpoints is kept from them by the guard.
   */
  private async isFree({ result, isKnown }: FailedAttempt): Promise<boolean> {
    const hasEnded = await isKnown
    return hasEnded || (result.kind === 'failed' && result.end === 'endpoint-ended')
  }

  private chooseAnother(
    request: RoutedRequest,
    results: readonly AttemptResult[],
    tries: AttemptHistory,
  ): EndpointId {
    try {
      return this.parts.router.choose(request, tries).endpointId
    } catch (thrown) {
      if (thrown instanceof NotRunError) throw this.failure(request, results)
      throw thrown
    }
  }

  private failure(request: RoutedRequest, results: readonly AttemptResult[]): Error {
    const error = dispatchFailure({
      results,
      isCallerGone: request.incoming.caller.disconnectSignal.aborted,
      isLate: this.isLate(request, results.at(-1)),
      isRepeatable: request.repeatable,
      refusal: this.parts.router.refusalFor(request),
    })
    if (error instanceof DispatchedError) request.scope.commit()
    return error
  }

  /** Whether nobody waits for an answer any more. */
  private isOver(request: RoutedRequest, result: AttemptResult | undefined): boolean {
    return request.incoming.caller.disconnectSignal.aborted || this.isLate(request, result)
  }

  /** An exchange that its deadline ended is late, however the clock rounds. */
  private isLate(request: RoutedRequest, result: AttemptResult | undefined): boolean {
    if (result?.kind === 'failed' && result.end === 'deadline') return true
    return this.parts.clock.sinceStart() >= request.deadline
  }

  private backOff(attempt: number): Promise<void> {
    return sleep(this.parts.clock, backoffMilliseconds(attempt, this.parts.random.next()))
  }
}

/** A refusal by status is worth another attempt; every other answer goes to the caller. */
function acceptedAnswer(result: AttemptResult, request: RoutedRequest): EndpointAnswer | undefined {
  if (result.kind !== 'answering') return undefined
  const isRefusal =
    result.answer.status === REFUSED_STATUS || result.answer.status === TOO_MANY_STATUS
  return isRefusal && request.repeatable ? undefined : result.answer
}

/** Nobody wants the answer. */
function drop(answer: EndpointAnswer): void {
  answer.cancel()
  answer.releaseBuffer()
}

/** Notes what becomes of an answer that broke off before anything of it was passed on. */
function noteFate(
  routing: RoutingRecord | undefined,
  result: AttemptResult,
  fate: AnswerDisposition,
) {
  if (routing === undefined || result.kind !== 'failed') return
  const { framing, end } = result
  if (framing !== undefined && end !== undefined) routing.answer = { framing, end, fate }
}

function promptEstimate({ call }: RoutedRequest): number {
  return call.kind === 'chat' ? call.chat.promptTokenEstimate : 0
}

function passedHeaders(headers: ReadonlyMap<string, string>): Record<string, string> {
  const passed = [...headers].filter(
    ([name]) => !DROPPED_HEADERS.has(name) && !name.startsWith('rackwalk-'),
  )
  return Object.fromEntries(passed)
}
