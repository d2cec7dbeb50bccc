/**
 * Sends refusals and handles the bodies of refused requests: a body is read and discarded at once,
 * read after a hold (a time in which nothing is read from the connection), or dropped with its
 * connection. Without these limits, refused bodies would use up the bandwidth that admitted
 * requests need. Owns the number of connections that are held or whose bodies are being discarded.
 * The rule is in decisions/admitting.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  REFUSED_BODY_BYTES,
  REFUSED_BODY_MILLISECONDS,
  refusedBodyDisposition,
  toRetryAfterSeconds,
} from '@rackwalk/decisions'
import type { LinkBandwidthBudget, RefusedBodyDisposition } from '@rackwalk/decisions'
import type { Bytes, Clock, Milliseconds } from '@rackwalk/shared'

/**
 * What became of the body of a refused request: read at once, read after a hold, or dropped with
 * its connection.
 */
export type RefusedBodyOutcome = 'read' | 'held' | 'closed'

/** Counts the cost of refused bodies. */
export interface RefusedBodyCounters {
  noteRefusedBody(outcome: RefusedBodyOutcome): void
  /** Records bytes of refused bodies that crossed the link. */
  noteDiscardedBytes(bytes: Bytes): void
}

/** Dependencies of a refused body handler. */
export interface RefusedBodiesParts {
  readonly clock: Clock
  /** Bandwidth budget of this instance's link, shared with the bodies of admitted requests. */
  readonly link: LinkBandwidthBudget
  readonly counters: RefusedBodyCounters
}

/** The answer to a refused request. */
export interface Refusal {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** Creates a refusal. A retry time, if the refusal states one, is at least `leastSeconds`. */
export type RefusalFactory = (leastSeconds: number) => Refusal

/**
 * Sends refusals at once, and reads the bodies of their requests only as fast as the link's budget
 * allows.
 */
export class RefusedBodyHandler {
  /** Number of connections that are held or whose bodies are being discarded. */
  private unreadConnections = 0

  constructor(private readonly parts: RefusedBodiesParts) {}

  /**
   * Sends the whole refusal and returns what becomes of the request's body; undefined if the
   * request has no body or the whole body was read before.
   */
  refuse(response: ServerResponse, refusalAfter: RefusalFactory): RefusedBodyOutcome | undefined {
    const { req: request } = response
    if (!hasBody(request) || isFullyRead(request)) {
      send(response, refusalAfter(0))
      return undefined
    }
    const disposition = this.dispositionOf(request, response)
    const outcome = outcomeOf(disposition)
    this.parts.counters.noteRefusedBody(outcome)
    if (disposition.kind === 'close') this.sendAndClose(response, refusalAfter(0))
    else this.sendAndRead(response, refusalAfter, disposition.holdMilliseconds)
    return outcome
  }

  private dispositionOf(
    request: IncomingMessage,
    response: ServerResponse,
  ): RefusedBodyDisposition {
    const { clock, link } = this.parts
    const bytes = sizeOf(request) ?? 0
    const body = {
      mustClose: !response.shouldKeepAlive,
      isPartlyRead: request.readableDidRead,
      isSizeKnown: declaredBodyBytes(request) !== undefined,
      bytes,
      hasArrived: request.complete,
      expectsContinue: isAwaitingContinue(request),
      waitMilliseconds: link.refusedBodyWait(bytes, clock.monotonic()),
    }
    return refusedBodyDisposition(body, this.unreadConnections)
  }

  /**
   * Sends the refusal at once and resumes reading from the connection after the hold. Until then,
   * the next request of the caller on the connection waits.
   */
  private sendAndRead(
    response: ServerResponse,
    refusalAfter: RefusalFactory,
    hold: Milliseconds,
  ): void {
    const { req: request } = response
    const size = sizeOf(request)
    this.charge(size ?? 0)
    if (request.complete) this.parts.counters.noteDiscardedBytes(size ?? 0)
    const isDone = request.complete && hold === 0
    if (!isDone) whenSocketAssigned(response, () => this.readLater(request, hold))
    send(response, refusalAfter(toRetryAfterSeconds(hold)))
  }

  private readLater(request: IncomingMessage, hold: Milliseconds): void {
    const { socket } = request
    const finish = this.trackConnection(socket, hold + REFUSED_BODY_MILLISECONDS)
    if (!request.complete) this.discardBody(request, finish)
    holdReading(socket, this.parts.clock, hold, () => {
      if (request.complete) finish()
    })
  }

  /**
   * Sends the refusal with `connection: close` and closes the connection only after a time in which
   * the caller can read the refusal. Closing a connection with unread bytes resets the connection,
   * and the caller's system would discard the refusal.
   */
  private sendAndClose(response: ServerResponse, refusal: Refusal): void {
    const { req: request } = response
    const headers = { ...refusal.headers, connection: 'close' }
    if (request.complete) {
      const size = sizeOf(request) ?? 0
      this.charge(size)
      this.parts.counters.noteDiscardedBytes(size)
      send(response, { ...refusal, headers })
      return
    }
    this.charge(Math.min(sizeOf(request) ?? REFUSED_BODY_BYTES, REFUSED_BODY_BYTES))
    whenSocketAssigned(response, () => this.readSome(request))
    // Ending the answer here would close the connection at once.
    response.writeHead(refusal.status, headers)
    response.write(refusal.body, () => request.socket.end())
  }

  private readSome(request: IncomingMessage): void {
    const { socket } = request
    this.trackConnection(socket, REFUSED_BODY_MILLISECONDS)
    let bytes: Bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      // The request is paused, not the socket: a paused socket resumes as soon as the request asks
      // for more data.
      if (bytes > REFUSED_BODY_BYTES) request.pause()
    })
    this.discardBody(request, () => socket.destroySoon())
  }

  private charge(bytes: Bytes): void {
    const { clock, link } = this.parts
    link.noteRefusedBody(bytes, clock.monotonic())
  }

  /**
   * Counts a connection until the connection closes or the returned function is called. Destroys
   * the connection if neither happens within `milliseconds`.
   */
  private trackConnection(socket: Socket, milliseconds: Milliseconds): () => void {
    this.unreadConnections += 1
    const timer = this.parts.clock.after(milliseconds, () => socket.destroy())
    let isKept = true
    const finish = () => {
      if (!isKept) return
      isKept = false
      this.unreadConnections -= 1
      timer.cancel()
      socket.off('close', finish)
    }
    socket.once('close', finish)
    return finish
  }

  /** Discards the body as it arrives. */
  private discardBody(request: IncomingMessage, onEnd: () => void): void {
    request.on('data', (chunk: Buffer) => this.parts.counters.noteDiscardedBytes(chunk.length))
    request.once('end', onEnd)
    // Without a read before the answer ends, Node.js would drain the body without counting it.
    request.read(0)
    request.resume()
  }
}

/**
 * Runs the callback once the response owns the socket, that is, after all earlier answers on the
 * connection, so that the limits for a refused body do not end an earlier answer.
 */
function whenSocketAssigned(response: ServerResponse, run: () => void): void {
  if (response.socket === null) response.once('socket', run)
  else run()
}

function send(response: ServerResponse, { status, headers, body }: Refusal): void {
  response.writeHead(status, headers)
  response.end(body)
}

function outcomeOf(disposition: RefusedBodyDisposition): RefusedBodyOutcome {
  if (disposition.kind === 'close') return 'closed'
  return disposition.holdMilliseconds === 0 ? 'read' : 'held'
}

function hasBody(request: IncomingMessage): boolean {
  return declaredBodyBytes(request) !== 0
}

/** Whether the whole body was read by its request's handler. */
function isFullyRead(request: IncomingMessage): boolean {
  return request.readableDidRead && request.readableEnded
}

/**
 * Returns the declared size or, if the body has arrived completely, the received size; undefined if
 * it is not known yet.
 */
function sizeOf(request: IncomingMessage): Bytes | undefined {
  const announced = declaredBodyBytes(request)
  if (announced !== undefined) return announced
  return request.complete ? request.readableLength : undefined
}

function isAwaitingContinue(request: IncomingMessage): boolean {
  const expects = request.headers.expect?.toLowerCase() === '100-continue'
  return expects && !request.complete && request.readableLength === 0 && !request.readableDidRead
}

/**
 * Pauses reading from a connection for a time. Node.js resumes the socket whenever a message ends,
 * so the socket is paused again at each resume during this time.
 */
function holdReading(
  socket: Socket,
  clock: Clock,
  milliseconds: Milliseconds,
  onRelease: () => void,
): void {
  if (milliseconds === 0) return onRelease()
  const pause = () => socket.pause()
  socket.pause()
  socket.on('resume', pause)
  clock.after(milliseconds, () => {
    socket.off('resume', pause)
    socket.resume()
    onRelease()
  })
}

/** Returns the declared size of a body; undefined for a chunked body. */
export function declaredBodyBytes({ headers }: IncomingMessage): Bytes | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined
  return Number(headers['content-length'] ?? 0)
}

/**
 * Makes a server send `100 Continue` to a caller that expects the status only once reading of the
 * body begins, so that a caller that is refused before then does not send its body.
 */
export function sendContinueOnRead(server: Server): void {
  server.on('checkContinue', (request, response) => {
    request.once('resume', () => {
      if (!response.headersSent) response.writeContinue()
    })
    server.emit('request', request, response)
  })
}
