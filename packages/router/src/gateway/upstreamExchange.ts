/**
 * One request to one endpoint, up to the head of its answer and then its body. Owns the connection's part
 * in it; tells a whole answer from a broken one.
 */

import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { answerFraming } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import { ConnectionEnd } from './connectionEnd.js'

/** Where a request is sent. */
export interface ExchangeEndpoint {
  /** `address` is IP:PORT. */
  readonly record: { readonly address: string }
  readonly agent: Agent
  /** Called once a new connection has come up. */
  noteConnected?(): void
}

/** What is sent. */
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly connectMilliseconds: Milliseconds
}

/** What came of sending it. */
export type HeadOutcome =
  | { readonly kind: 'head'; readonly response: IncomingMessage }
  /** No connection came up: nothing was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** Something was sent, and no answer came. */
  | { readonly kind: 'failed'; readonly reason: string }

/** What becomes of the body of an answer. */
export interface BodyListener {
  onData(chunk: Buffer): void
  /** What the reading ended with; `complete` and `closed` only after all that came was handed over. */
  onEnd(end: AnswerEnd): void
}

/** Why an exchange is ended on this side. */
export type AbortReason = Extract<
  AnswerEnd,
  'aborted' | 'deadline' | 'caller-left' | 'endpoint-ended'
>

/** The reason of an exchange that was ended here since its endpoint is over. */
export const ENDPOINT_ENDED = 'endpoint-ended'

/** The exchange, from the sending to the end of the answer. */
export class UpstreamExchange {
  private readonly call: ClientRequest
  private readonly head: Promise<HeadOutcome>
  private readonly method: string
  private response: IncomingMessage | undefined
  private connectionEnd: ConnectionEnd | undefined
  private abortReason: AbortReason | undefined
  private connected = false
  private ended = false
  private mustFlush = false

  constructor(
    private readonly endpoint: ExchangeEndpoint,
    request: UpstreamRequest,
  ) {
    const [host = '', port = ''] = endpoint.record.address.split(':')
    this.method = request.method
    this.call = httpRequest({
      host,
      port: Number(port),
      method: request.method,
      path: request.path,
      headers: request.headers as unknown as Record<string, string>,
      agent: endpoint.agent,
      setHost: false,
    })
    this.head = this.awaitHead(request.connectMilliseconds)
    this.call.end(request.body)
  }

  awaitAnswer(): Promise<HeadOutcome> {
    return this.head
  }

  /** How the answer tells where it ends; ask it after the head. */
  get framing(): AnswerFraming {
    const headers = this.response?.headers
    return answerFraming({
      method: this.method,
      status: this.response?.statusCode ?? 0,
      transferEncoding: headers?.['transfer-encoding'],
      contentLength: headers?.['content-length'],
    })
  }

  /** Hands the body over as it comes; call it once, after the head. */
  readBody(listener: BodyListener): void {
    const response = this.response
    if (response === undefined) return
    const finish = (end: AnswerEnd) => {
      if (this.ended) return
      this.ended = true
      this.connectionEnd?.release()
      listener.onEnd(this.abortReason ?? end)
    }
    response.on('data', (chunk: Buffer) => listener.onData(chunk))
    response.on('end', () => finish(this.deliveredEnd(response)))
    response.on('error', () => finish(this.brokenEnd))
    response.on('close', () => finish(this.brokenEnd))
  }

  /** Reads the rest of an answer that nobody wants, so that its connection can be used again. */
  drain(): void {
    this.readBody({ onData: () => {}, onEnd: () => {} })
  }

  /** Reads no more until it is resumed; has no effect on a rest that is handed over since its time is up. */
  pause(): void {
    if (!this.mustFlush) this.response?.pause()
  }

  resume(): void {
    this.response?.resume()
  }

  /** Whether nothing is read at present. */
  get isPaused(): boolean {
    return this.response?.isPaused() === true
  }

  /**
   * Ends the exchange and its connection; the endpoint drops the request. A deadline ends no answer that is all here: what is
   * left of it is handed over at once, since a caller who reads no more would hold its request for ever. The end of its
   * endpoint does not touch it either.
   */
  abort(reason: AbortReason): void {
    if (reason === 'deadline' && this.isReceived) return this.handOver()
    if (reason === ENDPOINT_ENDED && this.isReceived) return
    this.abortReason ??= reason
    this.call.destroy()
  }

  private handOver(): void {
    this.mustFlush = true
    this.response?.resume()
  }

  /** Whether all of the answer has come, though a slow caller may not have been given it yet. */
  private get isReceived(): boolean {
    if (this.framing === 'connection') return this.connectionEnd?.kind === 'closed'
    return this.response?.complete === true
  }

  /** The end of an answer of which all that came was handed over. */
  private deliveredEnd(response: IncomingMessage): AnswerEnd {
    if (this.framing !== 'connection') return response.complete ? 'complete' : this.brokenEnd
    return this.connectionEnd?.kind ?? 'reset'
  }

  /** The end of an answer that may lack something: one that ends with its connection can't be told from a broken one. */
  private get brokenEnd(): AnswerEnd {
    const isClosed = this.framing !== 'connection' && this.connectionEnd?.kind === 'closed'
    return isClosed ? 'closed' : 'reset'
  }

  private awaitHead(connectMilliseconds: Milliseconds): Promise<HeadOutcome> {
    return new Promise(resolve => {
      this.watchConnection(connectMilliseconds)
      this.call.on('error', error => {
        const reason = (error as NodeJS.ErrnoException).code ?? error.message
        const kind = this.connected ? 'failed' : 'not-sent'
        resolve({ kind, reason: this.abortReason === ENDPOINT_ENDED ? ENDPOINT_ENDED : reason })
      })
      this.call.on('close', () => resolve({ kind: 'failed', reason: 'closed' }))
      this.call.on('response', response => {
        this.response = response
        this.connectionEnd = new ConnectionEnd(response.socket)
        resolve({ kind: 'head', response })
      })
    })
  }

  private giveUpConnecting(): void {
    if (!this.connected) this.call.destroy(new Error('no connection in time'))
  }

  private watchConnection(connectMilliseconds: Milliseconds): void {
    this.call.on('socket', socket => {
      if (!socket.connecting) {
        this.connected = true
        return
      }
      // On a busy processor the timer is late, and the connection may be up and wait to be seen: that comes first.
      const giveUp = () => setImmediate(() => this.giveUpConnecting())
      const timer = setTimeout(giveUp, connectMilliseconds)
      socket.setNoDelay(true)
      socket.once('connect', () => {
        this.connected = true
        this.endpoint.noteConnected?.()
        clearTimeout(timer)
      })
      socket.once('close', () => clearTimeout(timer))
    })
  }
}
