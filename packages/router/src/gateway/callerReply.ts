/**
 * Writes the answer to one caller: head, body and end. Owns whether the answer has begun and whether the
 * caller has left.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { RESULT_TABLE } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { errorBody, errorHeaders } from '../errorBody.js'
import type { RefusedBodyHandler, RefusedBodyOutcome, Refusal } from '../refusedBodyHandler.js'
import type { RetryAfterFormat } from '../retryAfter.js'
import { withoutConnectionHeaders } from './connectionHeaders.js'

/** An answer with this status must not declare a length; callers would wait for the body. */
const STATUS_NO_CONTENT = 204

/** The answer to one caller. */
export class CallerReply {
  private started = false
  private ended = false
  /**
   * Whether a length or chunks mark the end of the answer, so that its end differs from the connection's
   * end.
   */
  private isFramed = true
  private hasLeft = false
  private readonly leaveListeners: (() => void)[] = []

  constructor(
    private readonly response: ServerResponse,
    private readonly ownHeaders: Readonly<Record<string, string>>,
    private readonly retryAfterFormat: RetryAfterFormat,
    /** Whether the connection closes after this answer. */
    private readonly mustClose: () => boolean,
    private readonly refusedBodies: RefusedBodyHandler,
  ) {
    response.on('close', () => this.noteClose())
    response.on('error', () => this.noteClose())
    this.watchConnection()
  }

  /** Whether the head of an answer or a refusal was sent. */
  get isStarted(): boolean {
    return this.started
  }

  /** Whether the caller left before this instance had ended the answer. */
  get isCallerGone(): boolean {
    return this.hasLeft
  }

  /** Adds a listener that is called once if the caller leaves before this instance has ended the answer. */
  onLeave(listener: () => void): void {
    this.leaveListeners.push(listener)
  }

  /**
   * Delivers the head of an endpoint's answer. An answer of unknown length is sent in chunks, however the
   * endpoint framed it: a closed connection does not prove that the answer is complete, since it also closes
   * when this process terminates.
   */
  start(response: IncomingMessage, isLengthKnown: boolean): void {
    this.started = true
    this.isFramed = isLengthKnown || this.response.useChunkedEncodingByDefault
    this.prepareEnd()
    const mayDeclareLength = isLengthKnown && response.statusCode !== STATUS_NO_CONTENT
    const isDropped = (name: string) => name === 'content-length' && !mayDeclareLength
    const headers = withoutConnectionHeaders(response.rawHeaders, isDropped)
    this.response.writeHead(response.statusCode ?? 0, headers as unknown as Record<string, string>)
  }

  /** Returns false if the caller reads too slowly; `onDrain` is called once it has caught up. */
  write(chunk: Buffer, onDrain: () => void): boolean {
    const hasRoom = this.response.write(chunk)
    if (!hasRoom) this.response.once('drain', onDrain)
    return hasRoom
  }

  /** Ends a complete answer. */
  end(lastChunk?: Buffer): void {
    this.ended = true
    this.response.end(lastChunk)
  }

  /** Interrupts the answer so that it cannot be taken for complete. An ended answer is left as it is. */
  abort(): void {
    if (this.ended) return
    this.ended = true
    const socket = this.response.socket
    // An answer queued behind another one on its connection has no socket yet; it closes the connection when
    // its turn comes.
    if (socket === null) this.response.destroy()
    else if (this.isFramed) socket.destroy()
    else socket.resetAndDestroy()
  }

  /** Answers with a numbered error of the gateway. Returns what became of the unread body. */
  refuse(error: RackwalkError): RefusedBodyOutcome | undefined {
    this.started = true
    this.ended = true
    this.prepareEnd()
    return this.refusedBodies.refuse(this.response, minimumSeconds =>
      this.refusal(error, minimumSeconds),
    )
  }

  private refusal(error: RackwalkError, minimumSeconds: number): Refusal {
    const body = Buffer.from(JSON.stringify(errorBody(error, undefined, undefined, minimumSeconds)))
    const headers = {
      ...this.ownHeaders,
      ...errorHeaders(error, undefined, this.retryAfterFormat, minimumSeconds),
      'content-length': String(body.length),
    }
    return { status: RESULT_TABLE[error.code].httpStatus, headers, body }
  }

  private prepareEnd(): void {
    if (this.mustClose()) this.response.shouldKeepAlive = false
  }

  /**
   * The server ends a connection that its caller has ended, so the caller gets no answer. The response closes only some
   * turns of the event loop later, in which a loaded instance would still send the request.
   */
  private watchConnection(): void {
    const { socket } = this.response
    const noteEnd = () => this.noteClose()
    socket?.once('end', noteEnd)
    this.response.once('close', () => socket?.off('end', noteEnd))
  }

  private noteClose(): void {
    if (this.ended || this.hasLeft) return
    this.hasLeft = true
    for (const listener of this.leaveListeners) listener()
  }
}
