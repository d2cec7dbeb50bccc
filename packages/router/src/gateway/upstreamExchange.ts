/**
 * Sends one request to one endpoint (or to another instance) and reads the head and body of the answer. Owns
 * the use of the connection; determines how reading the answer ended, so that a complete answer can be told
 * from an interrupted one.
 */

import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { answerFraming, declaresForbiddenBody } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, AnswerHead } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import { ConnectionEnd } from './connectionEnd.js'
import { HeadLines } from './headLines.js'

/** The endpoint to which a request is sent. */
export interface ExchangeEndpoint {
  /** `address` is IP:PORT. */
  readonly record: { readonly address: string }
  readonly agent: Agent
  /** Called when an answer has begun on a new connection. */
  noteConnected?(): void
}

/** A request as it is sent to an endpoint. */
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  /** Names and values alternate. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly connectMilliseconds: Milliseconds
}

/** The outcome of sending a request, up to the head of the answer. */
export type HeadOutcome =
  | { readonly kind: 'head'; readonly response: IncomingMessage }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The request may have been sent, and no answer arrived. */
  | { readonly kind: 'failed'; readonly reason: string }

/** Receives the body of an answer. */
export interface BodyListener {
  onData(chunk: Buffer): void
  /** How the body ended; `complete` and `closed` only after all received data was passed to `onData`. */
  onEnd(end: AnswerEnd): void
}

/** An answer that is not delivered is read up to this size, so that its connection can be reused. */
const MAXIMUM_DRAINED_BYTES = 64 * 1024
/** Time within which such an answer has to end; an answer without an end would occupy its connection forever. */
const DRAIN_MILLISECONDS = 1_000

/** Why this instance ended an exchange. */
export type AbortReason = Extract<
  AnswerEnd,
  'aborted' | 'deadline' | 'caller-left' | 'endpoint-ended'
>

/** Reason of an exchange whose answer has a head that did not end as HTTP requires. */
const MALFORMED_HEAD = 'malformed head'

/** Reason of an exchange that this instance ended because its endpoint has terminated. */
export const ENDPOINT_ENDED = 'endpoint-ended'

/** The exchange, from sending the request to the end of the answer. */
export class UpstreamExchange {
  private readonly call: ClientRequest
  private readonly head: Promise<HeadOutcome>
  private readonly method: string
  private response: IncomingMessage | undefined
  private connectionEnd: ConnectionEnd | undefined
  private abortReason: AbortReason | undefined
  private connected = false
  private isNewConnection = false
  private ended = false
  private mustFlush = false
  private readonly headLines = new HeadLines()
  private interimHeads = 0

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

  /** Resolves with the head of the answer, or with why there is none. */
  awaitAnswer(): Promise<HeadOutcome> {
    return this.head
  }

  /** Whether the connection was opened for this exchange, so that it has carried no other answer. */
  get isFirstOnConnection(): boolean {
    return this.isNewConnection
  }

  /** How the answer marks its end; valid only after the head. */
  get framing(): AnswerFraming {
    return answerFraming(this.answerHead)
  }

  private get answerHead(): AnswerHead {
    const headers = this.response?.headers
    return {
      method: this.method,
      status: this.response?.statusCode ?? 0,
      transferEncoding: headers?.['transfer-encoding'],
      contentLength: headers?.['content-length'],
    }
  }

  /** Passes the body to a listener as it arrives; call it once, after the head. */
  readBody(listener: BodyListener): void {
    const response = this.response
    if (response === undefined) return
    const finish = (end: AnswerEnd) => {
      if (this.ended) return
      this.ended = true
      this.connectionEnd?.release()
      listener.onEnd(this.abortReason ?? end)
    }
    if (this.framing === 'bodiless') {
      this.leaveBodiless(response)
      finish('complete')
      return
    }
    response.on('data', (chunk: Buffer) => listener.onData(chunk))
    response.on('end', () => finish(this.deliveredEnd(response)))
    response.on('error', () => finish(this.brokenEnd))
    response.on('close', () => finish(this.brokenEnd))
  }

  /** Frees the connection of an answer that ends with its head, or closes it if other bytes may be left on it. */
  private leaveBodiless(response: IncomingMessage): void {
    response.on('error', () => {})
    if (declaresForbiddenBody(this.answerHead)) this.call.destroy()
    else response.resume()
  }

  /**
   * Reads and discards the rest of an answer so that its connection can be reused. An answer that is long or does not
   * end in time is aborted.
   */
  drain(): void {
    let bytes = 0
    const timer = setTimeout(() => this.abort('aborted'), DRAIN_MILLISECONDS)
    const onData = (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > MAXIMUM_DRAINED_BYTES) this.abort('aborted')
    }
    this.readBody({ onData, onEnd: () => clearTimeout(timer) })
  }

  /**
   * Stops reading until `resume`. Has no effect once the deadline has passed and the rest of a received
   * answer is being passed on.
   */
  pause(): void {
    if (!this.mustFlush) this.response?.pause()
  }

  resume(): void {
    this.response?.resume()
  }

  /** Whether reading is paused. */
  get isPaused(): boolean {
    return this.response?.isPaused() === true
  }

  /**
   * Ends the exchange and its connection, so that the endpoint drops the request. Two reasons do not end an
   * answer that was received completely. At the deadline, the rest of such an answer is passed on at once,
   * since a caller that has stopped reading would otherwise hold its request forever. A termination of the
   * endpoint does not affect such an answer.
   */
  abort(reason: AbortReason): void {
    if (reason === 'deadline' && this.isReceived) return this.flush()
    if (reason === ENDPOINT_ENDED && this.isReceived) return
    this.abortReason ??= reason
    this.call.destroy()
  }

  private flush(): void {
    this.mustFlush = true
    this.response?.resume()
  }

  /** Whether the complete answer was received, even if a slow caller does not have all of it yet. */
  private get isReceived(): boolean {
    if (this.response === undefined) return false
    if (this.framing === 'bodiless') return true
    if (this.framing === 'connection') return this.connectionEnd?.kind === 'closed'
    return this.response.complete
  }

  /** The end of an answer whose received data was all passed on. */
  private deliveredEnd(response: IncomingMessage): AnswerEnd {
    if (this.framing !== 'connection') return response.complete ? 'complete' : this.brokenEnd
    return this.connectionEnd?.kind ?? 'reset'
  }

  /**
   * The end of an answer that may lack data. An answer whose end is marked only by its connection's end
   * counts as reset then, since it can't be told from an interrupted one.
   */
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
      this.call.on('information', () => (this.interimHeads += 1))
      this.call.on('response', response => resolve(this.noteHead(response)))
    })
  }

  private noteHead(response: IncomingMessage): HeadOutcome {
    response.socket.off('data', this.readHeadLines)
    if (!this.headLines.haveEnded(this.interimHeads + 1)) {
      this.call.destroy()
      return { kind: 'failed', reason: MALFORMED_HEAD }
    }
    this.response = response
    if (this.isNewConnection) this.endpoint.noteConnected?.()
    this.connectionEnd = new ConnectionEnd(response.socket)
    return { kind: 'head', response }
  }

  private readonly readHeadLines = (bytes: Buffer): void => this.headLines.add(bytes)

  private giveUpConnecting(): void {
    if (!this.connected) this.call.destroy(new Error('no connection in time'))
  }

  private watchConnection(connectMilliseconds: Milliseconds): void {
    this.call.on('socket', socket => {
      // The parser of node:http reads in a listener of its own, so this listener must run first.
      socket.prependListener('data', this.readHeadLines)
      if (!socket.connecting) {
        this.connected = true
        return
      }
      // On a busy processor the timer fires late, and an established connection may not have been noticed
      // yet: that event is processed first.
      const giveUp = () => setImmediate(() => this.giveUpConnecting())
      const timer = setTimeout(giveUp, connectMilliseconds)
      socket.setNoDelay(true)
      socket.once('connect', () => {
        this.connected = true
        this.isNewConnection = true
        clearTimeout(timer)
      })
      socket.once('close', () => clearTimeout(timer))
    })
  }
}
