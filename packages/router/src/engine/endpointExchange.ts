/**
 * One exchange with an endpoint, from its first byte to its end. Tells a request that was never sent from
 * one that may have run: only the former may be sent again whatever it is.
 */

import type { Dispatcher } from 'undici'
import { answerFraming, isProvenComplete } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, EndedAnswer } from '@rackwalk/decisions'
import { deferred } from '@rackwalk/shared'
import type { Clock, EndpointId, Milliseconds, Timer } from '@rackwalk/shared'
import type { AnswerConsumer, EndpointAnswer } from '../filters/stages.js'
import type { BufferReservation, AnswerBufferPool } from './answerBuffer.js'
import { bufferingModeOf } from './answerBuffer.js'
import type { AttemptResult } from './attemptResult.js'
import { createCompletenessCheck } from './bodyCompleteness.js'
import type { CompletenessCheck } from './bodyCompleteness.js'
import type { ConnectionEndGuard, ConnectionReader } from './endpointConnection.js'
import type { InFlightExchange, InFlightExchanges } from './inFlightExchanges.js'

// Errors that say the connection was never made.
const NEVER_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
])
const STALLED = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])
// Errors that say this instance closes its connections.
const STOPPED = new Set(['UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

type Headers = Record<string, string | string[] | undefined>

/** What is asked of an endpoint, and what an exchange works with. */
export interface ExchangeParts {
  readonly endpointId: EndpointId
  readonly method: string
  /** Whether the request may run once more; it may where nothing is told. */
  readonly isRepeatable?: boolean
  /** Aborted when nobody waits any more; its reason says why. */
  readonly signal: AbortSignal
  readonly space: AnswerBufferPool
  /** Where it is found while it has not ended. */
  readonly open: InFlightExchanges
  readonly clock: Clock
}

/**
 * One exchange with an endpoint. Chunks go straight from the connection's parser to whoever
 * relays them: a stream object between the two took a third of the time of each token.
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
  /** Whether it was there when its endpoint ended; undefined while that is not known to have ended. */
  private wasInFlightAtTermination: boolean | undefined
  private connection: ConnectionEndGuard | undefined
  private proof: CompletenessCheck | undefined
  private readonly begun = deferred<AttemptResult>()
  readonly endpointId: EndpointId
  private readonly bufferedChunks: Buffer[] = []
  private readonly hold: BufferReservation
  private holdTimer: Timer | undefined
  private controller: Dispatcher.DispatchController | undefined
  private consumer: AnswerConsumer | undefined
  private hasBegun = false
  private failure: Error | undefined

  constructor(private readonly parts: ExchangeParts) {
    this.endpointId = parts.endpointId
    this.isRepeatable = parts.isRepeatable ?? true
    this.hold = parts.space.openReservation()
    parts.signal.addEventListener('abort', this.abandon, { once: true })
  }

  /** Its request goes over this connection, once that is free. */
  readonly noteConnection = (connection: ConnectionEndGuard): void => {
    this.connection = connection
  }

  /** Settles when the answer is whole, or so much of it is there that it goes on as it comes, or there will be none. */
  get result(): Promise<AttemptResult> {
    return this.begun.promise
  }

  readonly cancel = (): void => {
    if (!this.isEnded) this.controller?.abort(new CancelledError('aborted'))
  }

  get isComplete(): boolean {
    return this.isEnded && this.failure === undefined
  }

  get isDelimited(): boolean {
    return this.framing !== 'connection' || (this.isComplete && this.proof?.state === 'closed')
  }

  releaseBuffer(): void {
    this.hold.release()
  }

  /** Hands the answer over; nothing was read until now beyond what is held of it and the chunk after that. */
  startReading(consumer: AnswerConsumer): void {
    this.consumer = consumer
    for (const chunk of this.bufferedChunks.splice(0)) this.pass(chunk)
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
    this.parts.open.add(this)
    if (this.parts.signal.aborted) this.abandon()
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number, headers: Headers): void {
    this.heardAt = this.parts.clock.monotonic()
    this.status = status
    this.headers = flatHeaders(headers)
    this.framing = answerFraming({
      method: this.parts.method,
      status,
      transferEncoding: this.headers['transfer-encoding'],
      contentLength: this.headers['content-length'],
    })
    this.proof = createCompletenessCheck(this.framing, this.headers)
    const kind = bufferingModeOf(this.headers)
    if (kind === 'not') this.hold.close()
    if (kind === 'for-a-while') this.limitHold()
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.heardAt = this.parts.clock.monotonic()
    this.proof?.read(chunk)
    if (this.consumer !== undefined) return this.pass(chunk)
    this.bufferedChunks.push(chunk)
    if (this.hold.reserve(chunk.length)) return
    this.pause()
    this.begin()
  }

  onResponseEnd(): void {
    const end = this.framing === 'connection' ? 'closed' : 'complete'
    const isBodyTruncated = this.proof?.state === 'open'
    const answer: EndedAnswer = { framing: this.framing, end, isBodyTruncated }
    if (isProvenComplete(answer)) this.succeed(end)
    else this.fail(end, new UnfinishedError())
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    // What its body proves whole is whole, whatever became of its connection.
    if (this.proof?.state === 'closed') this.succeed(answerEndOf(error))
    else this.fail(answerEndOf(error), error)
  }

  failByTermination(wasThere: boolean): void {
    if (this.isEnded) return
    this.wasInFlightAtTermination = wasThere
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
      this.begun.resolve(this.classified(error))
    }
    this.consumer?.fail(error)
  }

  private get isEnded(): boolean {
    return this.end !== undefined
  }

  /** Its signal says that nobody waits for it any more, and why. */
  private readonly abandon = (): void => {
    const end = (this.parts.signal.reason as AnswerEnd | undefined) ?? 'aborted'
    if (!this.isEnded) this.controller?.abort(new CancelledError(end))
  }

  private classified(error: Error): AttemptResult {
    const result = classifyAttemptError(error)
    if (result.kind !== 'failed') return result
    const told =
      this.wasInFlightAtTermination === undefined ? result : { ...result, ...this.withdrawn() }
    return this.status === 0 ? told : { ...told, end: this.end, framing: this.framing }
  }

  /** Whether the endpoint ended under it is to be found out only of what was there. */
  private withdrawn() {
    return {
      reason: 'its endpoint has ended',
      isAttributed: this.wasInFlightAtTermination === false,
    }
  }

  private pass(chunk: Buffer): void {
    this.consumer?.receive(chunk)
    if (this.consumer?.isFull) this.pause()
  }

  private pause(): void {
    if (this.isEnded) return
    this.isPaused = true
    this.controller?.pause()
  }

  /** An answer that may be meant to be read while it arrives is not held for long. */
  private limitHold(): void {
    const { clock, space } = this.parts
    this.holdTimer = clock.after(space.limits.maximumUnsizedMilliseconds, () => {
      this.hold.close()
      if (this.bufferedChunks.length === 0) return
      this.pause()
      this.begin()
    })
  }

  private begin(): void {
    this.holdTimer?.cancel()
    if (this.hasBegun) return
    this.hasBegun = true
    this.begun.resolve({ kind: 'answering', answer: this })
  }

  private finish(end: AnswerEnd): void {
    this.end = end
    this.isPaused = false
    this.parts.open.remove(this)
    this.holdTimer?.cancel()
    this.parts.signal.removeEventListener('abort', this.abandon)
  }
}

/** Breaks an exchange off on this side. */
class CancelledError extends Error {
  readonly code = 'CANCELLED'

  constructor(readonly end: AnswerEnd) {
    super(`given up: ${end}`)
  }
}

/** The body of an answer ended in the middle of its document. */
class UnfinishedError extends Error {
  readonly code = 'UNFINISHED'

  constructor() {
    super('the answer has no end')
  }
}

/** What an error before any answer says of the request. */
export function classifyAttemptError(thrown: unknown): AttemptResult {
  const code = errorCode(thrown)
  if (NEVER_CONNECTED.has(code)) return { kind: 'unsent', reason: code }
  return { kind: 'failed', reason: code, stalled: STALLED.has(code), end: answerEndOf(thrown) }
}

/** What the reading of an answer ended with, by the error that ended it. */
export function answerEndOf(thrown: unknown): AnswerEnd {
  if (thrown instanceof CancelledError) return thrown.end
  if (isStall(thrown)) return 'silence'
  return STOPPED.has(errorCode(thrown)) ? 'instance-stopped' : 'reset'
}

/** Whether an error means that an endpoint stopped sending. */
export function isStall(thrown: unknown): boolean {
  return STALLED.has(errorCode(thrown))
}

/** The code of an error; connecting to several addresses of a host gives an aggregate. */
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
