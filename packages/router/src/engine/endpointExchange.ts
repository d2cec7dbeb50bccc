/**
 * One exchange with an endpoint, from its first byte to its end. Tells a request that was never sent from
 * one that may have run: only the former may be sent again whatever it is.
 */

import type { Dispatcher } from 'undici'
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

type Headers = Record<string, string | string[] | undefined>

/**
 * One exchange with an endpoint. Chunks go straight from the connection's parser to whoever
 * relays them: a stream object between the two took a third of the time of each token.
 */
export class EndpointExchange implements Dispatcher.DispatchHandler, EndpointAnswer {
  status = 0
  headers: Readonly<Record<string, string>> = {}
  private readonly begun = deferred<AttemptResult>()
  private readonly early: Buffer[] = []
  private controller: Dispatcher.DispatchController | undefined
  private consumer: AnswerConsumer | undefined
  private hasBegun = false
  private isEnded = false
  private failure: Error | undefined

  constructor(
    readonly endpointId: EndpointId,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', this.cancel, { once: true })
  }

  /** Settles when the first bytes of the answer are there, or there will be none. */
  get result(): Promise<AttemptResult> {
    return this.begun.promise
  }

  readonly cancel = (): void => {
    if (!this.isEnded) this.controller?.abort(new CancelledError())
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
    if (this.signal.aborted) this.cancel()
  }

  onResponseStart(_: Dispatcher.DispatchController, status: number, headers: Headers): void {
    this.status = status
    this.headers = flatHeaders(headers)
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.consumer !== undefined) return this.pass(chunk)
    this.early.push(chunk)
    controller.pause()
    this.begin()
  }

  onResponseEnd(): void {
    this.finish()
    this.begin()
    this.consumer?.end()
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.finish()
    this.failure = error
    if (!this.hasBegun) this.begun.resolve(classify(error))
    this.consumer?.fail(error)
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

  private finish(): void {
    this.isEnded = true
    this.signal.removeEventListener('abort', this.cancel)
  }
}

/** Breaks an exchange off on this side. */
class CancelledError extends Error {
  readonly code = 'CANCELLED'
}

/** What an error before any answer says of the request. */
export function classify(thrown: unknown): AttemptResult {
  const code = errorCode(thrown)
  if (NEVER_CONNECTED.has(code)) return { kind: 'unsent', reason: code }
  return { kind: 'failed', reason: code, stalled: STALLED.has(code) }
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
