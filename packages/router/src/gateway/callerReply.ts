/**
 * The answer to one caller: its head, its bytes and how it ends. Owns whether it has begun and whether the
 * caller has left.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { RESULT_TABLE } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { errorBody, errorHeaders } from '../errorBody.js'
import type { RefusedBodyHandler, RefusedBodyOutcome, Refusal } from '../refusedBodyHandler.js'
import type { RetryAfterFormat } from '../retryAfter.js'
import { withoutConnectionHeaders } from './connectionHeaders.js'

/** The answer to one caller. */
export class CallerReply {
  private started = false
  private ended = false
  /** Whether the caller can tell where the answer ends without the end of the connection. */
  private isFramed = true
  private hasLeft = false
  private readonly leaveListeners: (() => void)[] = []

  constructor(
    private readonly response: ServerResponse,
    private readonly ownHeaders: Readonly<Record<string, string>>,
    private readonly returnTime: RetryAfterFormat,
    /** Whether the connection ends with this answer. */
    private readonly mustClose: () => boolean,
    private readonly refusedBodies: RefusedBodyHandler,
  ) {
    response.on('close', () => this.noteClose())
    response.on('error', () => this.noteClose())
  }

  get isStarted(): boolean {
    return this.started
  }

  /** Whether the caller went away before the answer was whole. */
  get isCallerGone(): boolean {
    return this.hasLeft
  }

  onLeave(listener: () => void): void {
    this.leaveListeners.push(listener)
  }

  /**
   * Passes on the head of an endpoint's answer. One whose length is not known ahead is sent in chunks, however the endpoint
   * framed it: the end of a connection is no proof, since it also comes when this process ends.
   */
  start(response: IncomingMessage, isLengthKnown: boolean): void {
    this.started = true
    this.isFramed = isLengthKnown || this.response.useChunkedEncodingByDefault
    this.prepareEnd()
    const isDropped = (name: string) => name === 'content-length' && !isLengthKnown
    const headers = withoutConnectionHeaders(response.rawHeaders, isDropped)
    this.response.writeHead(response.statusCode ?? 0, headers as unknown as Record<string, string>)
  }

  /** False where the caller reads too slowly; `onDrain` is called when it has caught up. */
  write(chunk: Buffer, onDrain: () => void): boolean {
    const hasRoom = this.response.write(chunk)
    if (!hasRoom) this.response.once('drain', onDrain)
    return hasRoom
  }

  /** Ends an answer that is whole. */
  end(lastChunk?: Buffer): void {
    this.ended = true
    this.response.end(lastChunk)
  }

  /** Breaks the answer off, so that it cannot be taken for whole; one that has ended stays as it is. */
  abort(): void {
    if (this.ended) return
    this.ended = true
    const socket = this.response.socket
    // An answer that waits behind another one of its connection ends it when its turn comes.
    if (socket === null) this.response.destroy()
    else if (this.isFramed) socket.destroy()
    else socket.resetAndDestroy()
  }

  /** Answers with a numbered error of the gateway's own; tells what became of a body that nobody wants. */
  refuse(error: RackwalkError): RefusedBodyOutcome | undefined {
    this.started = true
    this.ended = true
    this.prepareEnd()
    return this.refusedBodies.refuse(this.response, leastSeconds =>
      this.refusal(error, leastSeconds),
    )
  }

  private refusal(error: RackwalkError, leastSeconds: number): Refusal {
    const body = Buffer.from(JSON.stringify(errorBody(error, undefined, undefined, leastSeconds)))
    const headers = {
      ...this.ownHeaders,
      ...errorHeaders(error, undefined, this.returnTime, leastSeconds),
      'content-length': String(body.length),
    }
    return { status: RESULT_TABLE[error.code].httpStatus, headers, body }
  }

  private prepareEnd(): void {
    if (this.mustClose()) this.response.shouldKeepAlive = false
  }

  private noteClose(): void {
    if (this.ended || this.hasLeft) return
    this.hasLeft = true
    for (const listener of this.leaveListeners) listener()
  }
}
