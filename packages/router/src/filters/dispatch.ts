/**
 * Sends a request to endpoints until one answers, and sends the request for the rest of an
 * interrupted answer. Decides after each failed attempt whether another attempt is made, records
 * endpoints' advice and failures, and reports resets (requests whose connection was broken off
 * before any answer) to the crash guard. The router chooses the endpoint; the retry budget limits
 * further attempts.
 */

import { DispatchedError, NotRunError, endpointStart, sleep } from '@rackwalk/shared'
import type { Clock, EndpointId, EndpointStart, Milliseconds, RandomSource } from '@rackwalk/shared'
import { crashGossipWait, isServerError, parseAdvice } from '@rackwalk/decisions'
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
import { LOAD_PATH } from '../routing/endpointLinks.js'
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

/** Dependencies of dispatch. */
export interface DispatchParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly router: EndpointRouter
  readonly client: EndpointClient
  readonly crashes: CrashGuard
  readonly advices: EndpointAdviceStore
  /** Longest backoff (Retry-After) that is accepted from an endpoint. */
  readonly longestRestMilliseconds: Milliseconds
  readonly clock: Clock
  readonly random: RandomSource
  /** Longest wait for the first bytes of an answer. */
  readonly firstByteMilliseconds: Milliseconds
  readonly onRetry: () => void
  /** Called when no connection to an endpoint could be established. */
  readonly onConnectFailed: (target: string, endpointId: EndpointId) => void
  /** Whether no endpoint of a model or service can be reached from this instance. */
  readonly isCutOff: (target: string) => boolean
}

/**
 * Maximum number of attempts of a request, and of endpoints that are tried including continuation.
 */
const MAXIMUM_ATTEMPTS = 4
/**
 * Resolution of the time that identifies a start (run) of an endpoint whose platform reports none.
 * An engine takes longer than this to restart, so two starts do not get the same time.
 */
const START_RESOLUTION_MILLISECONDS = 1_000
const STATUS_OK = 200
const EVENT_STREAM = 'text/event-stream'
const REFUSED_STATUS = 503
const TOO_MANY_STATUS = 429
/** Request headers that describe the caller's connection or must not reach the endpoint. */
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

/** How an attempt was sent. */
interface AttemptSend {
  /** Whether the request was isolated as possibly crash-inducing. */
  readonly wasIsolated: boolean
  /** Monotonic time just before the attempt. */
  readonly sentAt: Milliseconds
}

/** An attempt together with its result. */
interface SentAttempt extends AttemptSend {
  readonly result: AttemptResult
}

/** An attempt without a usable answer. */
interface FailedAttempt {
  readonly result: AttemptResult
  /** Number of the attempt, from one. */
  readonly attempt: number
  /** Resolves with whether the endpoint is known to have terminated during the attempt. */
  readonly isTerminated: Promise<boolean>
}

/** The next step after an attempt without a usable answer. */
type NextStep = 'try-another' | 'retry' | 'give-up'

/**
 * Sends the request. After an attempt of which no byte was sent, another endpoint is tried without
 * taking from the retry budget, unless this instance reaches no endpoint. Any other failed attempt,
 * including a refusal by status, is repeated only if the request is repeatable, within the retry
 * budget, and before any part of an answer was delivered. A request whose streamed body was read is
 * never repeated.
 */
export class DispatchFilter implements Filter<RoutedRequest, DispatchedRequest> {
  private readonly retries: RetryBudget
  /** Functions that release what an answer holds. */
  private readonly answerReleasers = new WeakMap<EndpointAnswer, () => void>()
  /** How the attempts that continue another answer were sent. */
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
      const isTerminated = this.noteReset(request, endpointId, { ...sent, result })
      const step = await this.nextStep(request, { result, attempt, isTerminated })
      const routing = request.record.routing.at(-1)
      recordDisposition(
        routing,
        result,
        incoming.caller.disconnectSignal.aborted ? 'dropped' : 'refused',
      )
      if (step === 'give-up') throw this.failure(request, results)
      // An endpoint that asked for a backoff (Retry-After) is not tried again before its time, so
      // the next attempt goes elsewhere and needs no delay.
      if (step === 'retry' && !this.isBackingOff(endpointId)) await this.backOff(attempt)
      endpointId = this.chooseAnother(request, results, { tried, resetOnce })
      recordDisposition(routing, result, 'repeated')
    }
  }

  /**
   * Has another engine continue an interrupted answer; undefined if no engine does. The endpoints
   * that the request already tried count towards the maximum, and the deadline is that of the
   * request. After one more attempt that may have run, no further engine is tried, and the attempt
   * counts as isolated, because the request may have crashed the first engine.
   */
  async dispatchContinuation(
    interrupted: DispatchedRequest,
    { body, softwareVersion }: ContinuationRequest,
  ): Promise<DispatchedRequest | undefined> {
    const hasTerminated = await this.hasTerminatedDuring(interrupted)
    const tried = new Set(interrupted.tried)
    let isBudgetExempt = hasTerminated
    while (tried.size < MAXIMUM_ATTEMPTS && !this.isOver(interrupted, undefined)) {
      const choice = this.parts.router.chooseForContinuation(interrupted, tried, softwareVersion)
      const endpointId = choice?.endpointId
      if (endpointId === undefined || (!isBudgetExempt && !this.retries.withdraw()))
        return undefined
      tried.add(endpointId)
      const request: RoutedRequest = { ...interrupted, endpointId, continuedBody: body }
      const sent = { wasIsolated: true, sentAt: this.parts.clock.monotonic() }
      const result = await this.attempt(request, endpointId, sent)
      const answer = acceptedAnswer(result, request)
      if (answer !== undefined) {
        this.continuationSends.set(answer, sent)
        return this.requireEventStream({ ...request, answer, tried })
      }
      void this.noteReset(request, endpointId, { ...sent, result })
      if (result.kind === 'failed') return undefined
      isBudgetExempt = result.kind === 'unsent'
    }
    return undefined
  }

  /**
   * Handles an engine that interrupted a continued answer before its first event. The reset counts
   * against the request if the engine terminated.
   */
  noteContinuationFailure(request: DispatchedRequest): void {
    const { answer } = request
    const sent = this.continuationSends.get(answer)
    const result = { kind: 'failed', reason: 'cut', stalled: false } as const
    if (sent) void this.noteReset(request, answer.endpointId, { ...sent, result })
  }

  /**
   * Whether the engine is known to have terminated during the answer. Releases the slot and the
   * buffer of the interrupted answer at once, because the continued chat may last long.
   */
  private async hasTerminatedDuring(interrupted: DispatchedRequest): Promise<boolean> {
    const { answer } = interrupted
    this.answerReleasers.get(answer)?.()
    if (answer.end === 'endpoint-ended') return true
    const probeTarget = this.probeTargetOf(interrupted, answer.endpointId)
    return probeTarget !== undefined && this.parts.crashes.noteInterrupted(probeTarget)
  }

  /**
   * Returns the request if its answer is an event stream. Any other answer cannot continue a stream
   * and is discarded.
   */
  private requireEventStream(request: DispatchedRequest): DispatchedRequest | undefined {
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
      ...this.exchangeOf(request),
      isRepeatable: request.repeatable,
      firstByteMilliseconds: this.parts.firstByteMilliseconds,
      signal: this.signalOf(request),
    })
    const result = await this.rejectProxyError(request, endpointId, { ...sent, result: answered })
    this.noteResult(request, endpointId, result)
    return result
  }

  /**
   * Turns a server error into a failed attempt if the engine has terminated. A proxy or load
   * balancer in front of the engine then sent the error, which is not the engine's answer, so the
   * request may go to another endpoint.
   */
  private async rejectProxyError(
    request: RoutedRequest,
    endpointId: EndpointId,
    { result, ...sent }: SentAttempt,
  ): Promise<AttemptResult> {
    if (result.kind !== 'answering' || !isServerError(result.answer.status)) return result
    const reason = `status ${result.answer.status} of its front`
    const failed = { kind: 'failed', reason, stalled: false } as const
    const hasTerminated = await this.noteReset(request, endpointId, { ...sent, result: failed })
    if (!hasTerminated) return result
    discard(result.answer)
    return { ...failed, isAttributed: true }
  }

  private describeSend(request: RoutedRequest): AttemptSend {
    const { clock, crashes } = this.parts
    crashes.promptParts.noteSent(messageKeys(crashes, request))
    const wasIsolated = requestVerdict(crashes, request) === 'isolate'
    return { wasIsolated, sentAt: clock.monotonic() }
  }

  /**
   * Reports a failed attempt as a reset to the crash guard and resolves with whether the endpoint
   * terminated as it reset the request. Resolves without a report with true if the attempt is
   * already attributed to a termination, and with false if the attempt is no reset (it stalled, the
   * caller left or the deadline passed), the request has no fingerprint or the endpoint was
   * removed.
   */
  private async noteReset(
    request: RoutedRequest,
    endpointId: EndpointId,
    { result, wasIsolated, sentAt }: SentAttempt,
  ): Promise<boolean> {
    const { crashFingerprint: fingerprint } = request
    if (result.kind !== 'failed' || result.stalled || fingerprint === undefined) return false
    if (result.isAttributed === true) return true
    if (this.isOver(request, result)) return false
    const probeTarget = this.probeTargetOf(request, endpointId)
    if (probeTarget === undefined) return false
    const parts = allMessageKeys(request)
    return this.parts.crashes.noteReset(probeTarget, { fingerprint, wasIsolated, sentAt, parts })
  }

  /** Returns the endpoint as its probes need it; undefined if it is no longer configured. */
  private probeTargetOf({ call, target }: RoutedRequest, endpointId: EndpointId) {
    const { catalogue, endpoints } = this.parts
    const address = catalogue.findEndpoint(endpointId)?.spec.address
    if (address === undefined) return undefined
    return {
      id: endpointId,
      start: this.startOf(endpointId),
      service: target,
      address: new URL(address).host,
      isPlannedShutdown: endpoints.isLeaving(endpointId),
      // A plain service has no path for probes: a GET of any path would be a service call.
      statePath: call.kind === 'chat' ? LOAD_PATH : undefined,
      heard: () => endpoints.lastHeard(endpointId),
      hasEnded: false,
    }
  }

  /**
   * Returns the current start (run) of the endpoint. The platform does not distinguish one start
   * from the next. If the crash guard already suspects a start that the reset is attributed to, by
   * a reset that any instance observed, that start is returned. Otherwise the current wall time in
   * seconds identifies the start, so the first reset of a termination names the start for all
   * instances.
   */
  private startOf(endpointId: EndpointId): EndpointStart {
    const { clock, crashes, endpoints } = this.parts
    const knownStart = crashes.startOf(endpointId, endpoints.lastHeard(endpointId))
    const second = Math.floor(clock.wallTime() / START_RESOLUTION_MILLISECONDS)
    return knownStart ?? endpointStart(endpointId, second)
  }

  private exchangeOf(request: RoutedRequest) {
    const { incoming, call, requestId } = request
    const headers = { ...forwardedHeaders(incoming.headers), 'x-request-id': requestId }
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

  /** Returns a signal that aborts the exchange when the caller leaves or its deadline passes. */
  private signalOf(request: RoutedRequest): AbortSignal {
    const controller = new AbortController()
    const abort = (end: AnswerEnd) => controller.abort(end)
    const noteDisconnected = () => abort('caller-left')
    const remaining = Math.max(0, request.deadline - this.parts.clock.sinceStart())
    const timer = this.parts.clock.after(remaining, () => abort('deadline'))
    const { disconnectSignal } = request.incoming.caller
    if (disconnectSignal.aborted) noteDisconnected()
    disconnectSignal.addEventListener('abort', noteDisconnected, { once: true })
    request.scope.onEnd(() => {
      timer.cancel()
      disconnectSignal.removeEventListener('abort', noteDisconnected)
    })
    return controller.signal
  }

  /** Whether the endpoint asked for a backoff (Retry-After). Such an endpoint has not failed. */
  private isBackingOff(endpointId: EndpointId): boolean {
    const advice = this.parts.advices.of(endpointStart(endpointId, undefined))
    return advice !== undefined && advice.retryAfterMilliseconds > 0
  }

  /** Records the advice in an endpoint's answer, also if the answer is discarded. */
  private noteAdvice(endpointId: EndpointId, { status, headers }: EndpointAnswer): void {
    const { clock, longestRestMilliseconds, advices } = this.parts
    const context = { wallTime: clock.wallTime(), longestRestMilliseconds }
    const advice = parseAdvice(adviceFromHeaders(status, headers), context)
    const isRejected = status === REFUSED_STATUS || status === TOO_MANY_STATUS
    advices.note(endpointStart(endpointId, undefined), advice, !isRejected)
    if (advice.isLeaving) this.parts.endpoints.noteLeaving(endpointId, 'answer')
  }

  private noteResult(request: RoutedRequest, endpointId: EndpointId, result: AttemptResult): void {
    const routing = request.record.routing.at(-1)
    if (routing !== undefined) routing.outcome = resultText(result)
    if (result.kind === 'answering') this.noteAdvice(endpointId, result.answer)
    if (acceptedAnswer(result, request) !== undefined) {
      this.clearSuspicion(request, result)
      request.scope.commit()
      if (result.kind === 'answering') this.registerRelease(request, result.answer)
      return
    }
    if (result.kind === 'answering') discard(result.answer)
    if (result.kind === 'unsent') this.parts.onConnectFailed(request.target, endpointId)
    this.parts.endpoints.noteRequestEnded(endpointId)
    if (!this.isOver(request, result) && !this.isBackingOff(endpointId))
      this.parts.endpoints.noteFailure(endpointId)
  }

  /**
   * Clears the request of suspicion after an answer. A server error may come from a proxy in front
   * of an engine that terminated while it ran the request, so a server error clears nothing while
   * the endpoint is suspect.
   */
  private clearSuspicion(request: RoutedRequest, result: AttemptResult): void {
    const { crashFingerprint } = request
    if (crashFingerprint === undefined || result.kind !== 'answering') return
    const { crashes } = this.parts
    const { endpointId, status } = result.answer
    if (isServerError(status) && crashes.isEndpointSuspect(endpointId)) return
    crashes.noteAnswered(crashFingerprint)
    crashes.promptParts.noteAnswered(messageKeys(crashes, request))
  }

  /**
   * Registers the release of an answer, which takes effect once: at the end of the request or of
   * the answer.
   */
  private registerRelease({ scope }: RoutedRequest, answer: EndpointAnswer): void {
    let isHeld = true
    const end = () => {
      if (isHeld) this.parts.endpoints.noteRequestEnded(answer.endpointId)
      isHeld = false
      answer.releaseBuffer()
    }
    this.answerReleasers.set(answer, end)
    scope.onEnd(end)
  }

  private async nextStep(request: RoutedRequest, failed: FailedAttempt): Promise<NextStep> {
    const { result, attempt } = failed
    if (this.isOver(request, result) || attempt >= MAXIMUM_ATTEMPTS) return 'give-up'
    // A streamed body can be sent only once.
    const isBodySpent = request.call.kind === 'service' && request.incoming.body.readableDidRead
    if (isBodySpent) return 'give-up'
    if (result.kind === 'unsent') return this.afterUnsent(request)
    if (!request.repeatable) return 'give-up'
    const isBudgetExempt = await this.isBudgetExempt(failed)
    if (this.isOver(request, result) || (!isBudgetExempt && !this.retries.withdraw()))
      return 'give-up'
    this.parts.onRetry()
    return 'retry'
  }

  /**
   * If this instance reaches no endpoint of the target, dispatch gives up, so that the request is
   * relayed to another instance instead of tried at the next endpoint. An isolated request waits
   * for news of a crash before the next endpoint is put at risk.
   */
  private async afterUnsent(request: RoutedRequest): Promise<NextStep> {
    if (this.parts.isCutOff(request.target)) return 'give-up'
    const wait = crashGossipWait(requestVerdict(this.parts.crashes, request))
    if (wait > 0) await sleep(this.parts.clock, wait)
    return this.isOver(request, undefined) ? 'give-up' : 'try-another'
  }

  /**
   * Whether a retry does not count against the budget. Retries are bounded so that the load of a
   * failing endpoint is not multiplied. An endpoint that terminated bears no load, and all requests
   * that it was running fail at the same moment, more than the budget ever accumulates; so their
   * retries are free. The number of attempts per request is bounded nevertheless, and the crash
   * guard keeps crash-inducing requests from endpoints.
   */
  private async isBudgetExempt({ result, isTerminated }: FailedAttempt): Promise<boolean> {
    const hasTerminated = await isTerminated
    return hasTerminated || (result.kind === 'failed' && result.end === 'endpoint-ended')
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

  /** Whether the caller has left or the deadline has passed. */
  private isOver(request: RoutedRequest, result: AttemptResult | undefined): boolean {
    return request.incoming.caller.disconnectSignal.aborted || this.isLate(request, result)
  }

  /**
   * Whether the request is past its deadline. An exchange that its deadline ended is late even if
   * the clock still reads slightly less.
   */
  private isLate(request: RoutedRequest, result: AttemptResult | undefined): boolean {
    if (result?.kind === 'failed' && result.end === 'deadline') return true
    return this.parts.clock.sinceStart() >= request.deadline
  }

  private backOff(attempt: number): Promise<void> {
    return sleep(this.parts.clock, backoffMilliseconds(attempt, this.parts.random.next()))
  }
}

/**
 * Returns the answer if it goes to the caller. A refusal (status 429 or 503) goes to the caller
 * only if the request is not repeatable.
 */
function acceptedAnswer(result: AttemptResult, request: RoutedRequest): EndpointAnswer | undefined {
  if (result.kind !== 'answering') return undefined
  const isRefusal =
    result.answer.status === REFUSED_STATUS || result.answer.status === TOO_MANY_STATUS
  return isRefusal && request.repeatable ? undefined : result.answer
}

/** Cancels an answer that is not delivered, and releases its buffer. */
function discard(answer: EndpointAnswer): void {
  answer.cancel()
  answer.releaseBuffer()
}

/** Records what becomes of an answer that was interrupted before any of it was delivered. */
function recordDisposition(
  routing: RoutingRecord | undefined,
  result: AttemptResult,
  disposition: AnswerDisposition,
) {
  if (routing === undefined || result.kind !== 'failed') return
  const { framing, end } = result
  if (framing !== undefined && end !== undefined)
    routing.answer = { framing, end, fate: disposition }
}

function promptEstimate({ call }: RoutedRequest): number {
  return call.kind === 'chat' ? call.chat.promptTokenEstimate : 0
}

function forwardedHeaders(headers: ReadonlyMap<string, string>): Record<string, string> {
  const forwarded = [...headers].filter(
    ([name]) => !DROPPED_HEADERS.has(name) && !name.startsWith('rackwalk-'),
  )
  return Object.fromEntries(forwarded)
}
