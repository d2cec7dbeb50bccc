/**
 * One exchange with an endpoint, from its first byte to its end. Tells a request that was never sent from
 * one that may have run: only the former may be sent again whatever it is.
 */

import type { Dispatcher } from 'undici'
import { answerFraming } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import { deferred } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import type { AnswerConsumer, EndpointAnswer } from '../filters/stages.js'
import type { AttemptResult } from './attemptResult.js'

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

/**
 * One exchange with an endpoint. Chunks go straight from the connection's parser to whoever
 * relays them: a stream object between the two took a third of the time of each token.
 */
export class EndpointExchange implements Dispatcher.DispatchHandler, EndpointAnswer {
  status = 0
  headers: Readonly<Record<string, string>> = {}
  framing: AnswerFraming = 'connection'
  end: AnswerEnd | undefined
  private readonly begun = deferred<AttemptResult>()
  private readonly early: Buffer[] = []
  private controller: Dispatcher.DispatchController | undefined
  private consumer: AnswerConsumer | undefined
  private hasBegun = false
  private failure: Error | undefined

  constructor(
    readonly endpointId: EndpointId,
    private readonly method: string,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', this.abandon, { once: true })
  }

  /** Settles when the first bytes of the answer are there, or there will be none. */
  get result(): Promise<AttemptResult> {
    return this.begun.promise
  }

  readonly cancel = (): void => {
    if (!this.isEnded) this.controller?.abort(new CancelledError('aborted'))
  }

  /** Hands the answer over; nothing was read beyond its first chunk until now. */
  start(consumer: AnswerConsumer): void {
    this.consumer = consumer
    for (const chunk of this.early.splice(0)) this.pass(chunk)
    if (this.failure !== undefined) consumer.fail(this.failure)
    else if (this.isEnded) consumer.end()
    else if (!consumer.isFull) this.controller?.resume()
  }

  resume(): void {
    if (!this.isEnded) this.controller?.resume()
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.signal.aborted) this.abandon()
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number, headers: Headers): void {
    this.status = status
    this.headers = flatHeaders(headers)
    this.framing = answerFraming({
      method: this.method,
      status,
      transferEncoding: this.headers['transfer-encoding'],
      contentLength: this.headers['content-length'],
    })
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.consumer !== undefined) return this.pass(chunk)
    this.early.push(chunk)
    controller.pause()
    this.begin()
  }

  onResponseEnd(): void {
    this.finish(this.framing === 'connection' ? 'closed' : 'complete')
    this.begin()
    this.consumer?.end()
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.finish(endOf(error))
    this.failure = error
    if (!this.hasBegun) this.begun.resolve(this.classified(error))
    this.consumer?.fail(error)
  }

  private get isEnded(): boolean {
    return this.end !== undefined
  }

  /** Its signal says that nobody waits for it any more, and why. */
  private readonly abandon = (): void => {
    const end = (this.signal.reason as AnswerEnd | undefined) ?? 'aborted'
    if (!this.isEnded) this.controller?.abort(new CancelledError(end))
  }

  private classified(error: Error): AttemptResult {
    const result = classify(error)
    if (result.kind !== 'failed' || this.status === 0) return result
    return { ...result, framing: this.framing }
  }

  private pass(chunk: Buffer): void {
    this.consumer?.take(chunk)
    if (this.consumer?.isFull) this.controller?.pause()
  }

  private begin(): void {
    if (this.hasBegun) return
    this.hasBegun = true
    this.begun.resolve({ kind: 'answering', answer: this })
  }

  private finish(end: AnswerEnd): void {
    this.end = end
    this.signal.removeEventListener('abort', this.abandon)
  }
}

/** Breaks an exchange off on this side. */
class CancelledError extends Error {
  readonly code = 'CANCELLED'

  constructor(readonly end: AnswerEnd) {
    super(`given up: ${end}`)
  }
}

/** What an error before any answer says of the request. */
export function classify(thrown: unknown): AttemptResult {
  const code = errorCode(thrown)
  if (NEVER_CONNECTED.has(code)) return { kind: 'unsent', reason: code }
  return { kind: 'failed', reason: code, stalled: STALLED.has(code), end: endOf(thrown) }
}

/** What the reading of an answer ended with, by the error that ended it. */
export function endOf(thrown: unknown): AnswerEnd {
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
