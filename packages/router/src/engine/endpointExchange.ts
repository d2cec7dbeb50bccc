/**
 * One exchange (a request and its answer) with an endpoint of the OpenAI-style kind. Buffers or
 * streams the answer, determines whether the answer is complete, and classifies a failure.
 * Distinguishes a request that was never sent from a request that may have run, because only the
 * former may be repeated in any case.
 */

import type { Dispatcher } from 'undici'
import {
  answerFraming,
  isBodyMissing,
  isFinalStatus,
  isInterimStatus,
  isProvenComplete,
} from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, EndedAnswer } from '@rackwalk/decisions'
import { deferred } from '@rackwalk/shared'
import type { Clock, EndpointId, Milliseconds, Timer } from '@rackwalk/shared'
import type { AnswerConsumer, EndpointAnswer } from '../filters/stages.js'
import type { BufferReservation, AnswerBufferPool } from './answerBuffer.js'
import { ANSWER_BUFFER_LIMITS, bufferingModeOf } from './answerBuffer.js'
import type { AttemptResult } from './attemptResult.js'
import { createCompletenessCheck } from './bodyCompleteness.js'
import type { CompletenessCheck } from './bodyCompleteness.js'
import type { ConnectionEndGuard, ConnectionReader } from './endpointConnection.js'
import { HeldBytes } from './heldBytes.js'
import type { InFlightExchange, InFlightExchanges } from './inFlightExchanges.js'

// Error codes that show that no connection was established, unless the request was sent.
const NEVER_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
])
// Error codes that show that the endpoint sent nothing for too long.
const STALLED = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])
// Error codes that show that this instance closed its connections, since it stops.
const STOPPED = new Set(['UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

type Headers = Record<string, string | string[] | undefined>

/** Parameters and dependencies of an exchange. */
export interface ExchangeParts {
  readonly endpointId: EndpointId
  readonly method: string
  /** Whether the request may run more than once. Defaults to true. */
  readonly isRepeatable?: boolean
  /** Aborted when the answer is no longer needed. The abort reason is the `AnswerEnd`. */
  readonly signal: AbortSignal
  readonly bufferPool: AnswerBufferPool
  /** The registry that lists the exchange until it ends. */
  readonly inFlight: InFlightExchanges
  readonly clock: Clock
}

/**
 * One exchange with an endpoint. Chunks go directly from the connection's parser to the consumer,
 * because a stream object between them would take a third of the processing time per token.
 */
export class EndpointExchange
  implements Dispatcher.DispatchHandler, EndpointAnswer, ConnectionReader, InFlightExchange
{
  status = 0
  headers: Readonly<Record<string, string>> = {}
  framing: AnswerFraming = 'connection'
  end: AnswerEnd | undefined
  isPaused = false
  sentAt: Milliseconds = Number.POSITIVE_INFINITY
  heardAt: Milliseconds | undefined
  firstDoubtedAt: Milliseconds | undefined
  readonly isRepeatable: boolean
  /**
   * Whether the request was in flight when its endpoint terminated; undefined unless the endpoint
   * is known to have terminated.
   */
  private wasInFlightAtTermination: boolean | undefined
  private connection: ConnectionEndGuard | undefined
  private bodyCheck: CompletenessCheck | undefined
  private readonly attemptResult = deferred<AttemptResult>()
  readonly endpointId: EndpointId
  /** All buffered chunks but the last. */
  private readonly buffered = new HeldBytes(ANSWER_BUFFER_LIMITS.maximumAnswerBytes)
  /** Kept apart, since the consumer withholds the last chunk that it has got. */
  private lastBuffered: Buffer | undefined
  private readonly reservation: BufferReservation
  private bufferTimer: Timer | undefined
  private controller: Dispatcher.DispatchController | undefined
  private consumer: AnswerConsumer | undefined
  private hasBegun = false
  private hasBody = false
  private failure: Error | undefined

  constructor(private readonly parts: ExchangeParts) {
    this.endpointId = parts.endpointId
    this.isRepeatable = parts.isRepeatable ?? true
    this.reservation = parts.bufferPool.openReservation()
    parts.signal.addEventListener('abort', this.abandon, { once: true })
  }

  /** Called with the connection that is to carry the request, just before the request is sent. */
  readonly noteConnection = (connection: ConnectionEndGuard): void => {
    this.connection = connection
  }

  /**
   * Resolves when the answer is complete, when reading the answer has failed, or when the answer is
   * streamed: an event stream at its first chunk, any other answer once it is too large or, if its
   * headers allow streaming, too slow to be buffered.
   */
  get result(): Promise<AttemptResult> {
    return this.attemptResult.promise
  }

  readonly cancel = (): void => {
    if (!this.isEnded) this.controller?.abort(new CancelledError('aborted'))
  }

  get isComplete(): boolean {
    return this.isEnded && this.failure === undefined
  }

  get isDelimited(): boolean {
    return this.framing !== 'connection' || (this.isComplete && this.bodyCheck?.state === 'closed')
  }

  releaseBuffer(): void {
    this.reservation.release()
  }

  /**
   * Starts to pass the answer to the consumer. Before this call, at most the buffered part and one
   * further chunk of a streamed answer have been read.
   */
  startReading(consumer: AnswerConsumer): void {
    this.consumer = consumer
    if (this.buffered.length > 0) this.forward(this.buffered.take())
    if (this.lastBuffered !== undefined) this.forward(this.lastBuffered)
    this.lastBuffered = undefined
    if (this.failure !== undefined) consumer.fail(this.failure)
    else if (this.isEnded) consumer.end()
    else if (!consumer.isFull) this.resume()
  }

  resume(): void {
    if (this.isEnded) return
    this.isPaused = false
    this.controller?.resume()
    this.connection?.noteResumed()
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller
    this.connection?.assignReader(this)
    this.sentAt = this.parts.clock.monotonic()
    this.parts.inFlight.add(this)
    if (this.parts.signal.aborted) this.abandon()
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    this.heardAt = this.parts.clock.monotonic()
    if (isInterimStatus(status)) return
    if (!isFinalStatus(status)) return controller.abort(new InvalidStatusError(status))
    this.status = status
    this.headers = flatHeaders(headers)
    this.framing = answerFraming({
      method: this.parts.method,
      status,
      transferEncoding: this.headers['transfer-encoding'],
      contentLength: this.headers['content-length'],
    })
    this.bodyCheck = createCompletenessCheck(this.framing, this.headers)
    const kind = bufferingModeOf(this.headers)
    if (kind === 'not') this.reservation.close()
    if (kind === 'for-a-while') this.limitBuffering()
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.heardAt = this.parts.clock.monotonic()
    this.hasBody = true
    this.bodyCheck?.read(chunk)
    if (this.consumer !== undefined) return this.forward(chunk)
    if (this.lastBuffered !== undefined) this.buffered.append(this.lastBuffered)
    this.lastBuffered = chunk
    if (this.reservation.reserve(chunk.length)) return
    this.pause()
    this.begin()
  }

  onResponseEnd(): void {
    const end = this.framing === 'connection' ? 'closed' : 'complete'
    const { status, hasBody } = this
    const isBodyTruncated =
      this.bodyCheck?.state === 'open' || isBodyMissing(this.framing, { status, hasBody })
    const answer: EndedAnswer = { framing: this.framing, end, isBodyTruncated }
    if (isProvenComplete(answer)) this.succeed(end)
    else this.fail(end, new UnfinishedError())
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    // The client rejects a length that no body follows, also where the status or the method rules a body out.
    if (this.framing === 'bodiless') this.succeed('complete')
    // An answer whose body proves it complete is complete, however its connection ended.
    else if (this.bodyCheck?.state === 'closed') this.succeed(answerEndOf(error))
    else this.fail(answerEndOf(error), error)
  }

  failByTermination(wasInFlight: boolean): void {
    if (this.isEnded) return
    this.wasInFlightAtTermination = wasInFlight
    this.controller?.abort(new CancelledError('endpoint-ended'))
  }

  private succeed(end: AnswerEnd): void {
    this.finish(end)
    this.begin()
    this.consumer?.end()
  }

  private fail(end: AnswerEnd, error: Error): void {
    this.finish(end)
    this.failure = error
    if (!this.hasBegun) {
      this.releaseBuffer()
      this.attemptResult.resolve(this.classified(error))
    }
    this.consumer?.fail(error)
  }

  private get isEnded(): boolean {
    return this.end !== undefined
  }

  /** Aborts the exchange for the reason that its signal gives. */
  private readonly abandon = (): void => {
    const end = (this.parts.signal.reason as AnswerEnd | undefined) ?? 'aborted'
    if (!this.isEnded) this.controller?.abort(new CancelledError(end))
  }

  private get isSent(): boolean {
    return this.sentAt < Number.POSITIVE_INFINITY
  }

  private classified(error: Error): AttemptResult {
    const result = classifyAttemptError(error, this.isSent)
    if (result.kind !== 'failed') return result
    const described =
      this.wasInFlightAtTermination === undefined
        ? result
        : { ...result, ...this.terminationDetails() }
    return this.status === 0 ? described : { ...described, end: this.end, framing: this.framing }
  }

  /**
   * Describes a failure by the endpoint's termination. The failure of a request that was in flight
   * at the termination is not attributed yet: the crash guard still has to determine whether the
   * request crashed the endpoint.
   */
  private terminationDetails() {
    return {
      reason: 'its endpoint has ended',
      isAttributed: this.wasInFlightAtTermination === false,
    }
  }

  private forward(chunk: Buffer): void {
    this.consumer?.receive(chunk)
    if (this.consumer?.isFull) this.pause()
  }

  private pause(): void {
    if (this.isEnded) return
    this.isPaused = true
    this.controller?.pause()
  }

  /**
   * Limits the time for which an answer is buffered that callers may want to read as it arrives.
   * After this time, the answer is streamed from the first chunk on that has arrived or will
   * arrive.
   */
  private limitBuffering(): void {
    const { clock, bufferPool } = this.parts
    this.bufferTimer = clock.after(bufferPool.limits.maximumUnsizedMilliseconds, () => {
      this.reservation.close()
      if (this.lastBuffered === undefined) return
      this.pause()
      this.begin()
    })
  }

  private begin(): void {
    this.bufferTimer?.cancel()
    if (this.hasBegun) return
    this.hasBegun = true
    this.attemptResult.resolve({ kind: 'answering', answer: this })
  }

  private finish(end: AnswerEnd): void {
    this.end = end
    this.isPaused = false
    this.parts.inFlight.remove(this)
    this.bufferTimer?.cancel()
    this.parts.signal.removeEventListener('abort', this.abandon)
  }
}

/** The error with which this instance aborts an exchange. */
class CancelledError extends Error {
  readonly code = 'CANCELLED'

  constructor(readonly end: AnswerEnd) {
    super(`given up: ${end}`)
  }
}

/** The error for an answer with a status that HTTP does not define. */
class InvalidStatusError extends Error {
  readonly code = 'INVALID_STATUS'

  constructor(status: number) {
    super(`the answer has the status ${status}`)
  }
}

/** The error for an answer whose end is missing. */
class UnfinishedError extends Error {
  readonly code = 'UNFINISHED'

  constructor() {
    super('the answer has no end')
  }
}

/**
 * Classifies an error that ended an attempt before any of its answer was passed on. Once the request was sent, no error
 * shows that it did not run: a lost route ends an established connection with the code of one that was never established.
 */
export function classifyAttemptError(thrown: unknown, isSent: boolean): AttemptResult {
  const code = errorCode(thrown)
  if (!isSent && NEVER_CONNECTED.has(code)) return { kind: 'unsent', reason: code }
  return { kind: 'failed', reason: code, stalled: STALLED.has(code), end: answerEndOf(thrown) }
}

/** Returns how reading an answer ended, by the error that ended it. */
export function answerEndOf(thrown: unknown): AnswerEnd {
  if (thrown instanceof CancelledError) return thrown.end
  if (isStall(thrown)) return 'silence'
  return STOPPED.has(errorCode(thrown)) ? 'instance-stopped' : 'reset'
}

/** Whether an error means that an endpoint stopped sending. */
export function isStall(thrown: unknown): boolean {
  return STALLED.has(errorCode(thrown))
}

/**
 * Returns the code of an error. If a host has several addresses and none accepts the connection,
 * the error is an aggregate, whose first code is returned.
 */
function errorCode(thrown: unknown): string {
  const error = thrown as { code?: string; name?: string; errors?: readonly { code?: string }[] }
  return error.code ?? error.errors?.[0]?.code ?? error.name ?? 'unknown'
}

function flatHeaders(headers: Headers): Record<string, string> {
  const flat: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return flat
}
