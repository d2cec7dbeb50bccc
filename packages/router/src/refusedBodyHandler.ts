/**
 * Sends refusals and sees to the bodies of their requests, which nobody wants. Owns which connections are held or read
 * in vain; the rule is in decisions/admitting.
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

/** What became of the body of a refused request: read as it came, read later, or given up with its connection. */
export type RefusedBodyOutcome = 'read' | 'held' | 'closed'

/** Counts what refused bodies cost. */
export interface RefusedBodyCounters {
  noteRefusedBody(outcome: RefusedBodyOutcome): void
  /** Bytes of refused bodies that came over the link. */
  noteDiscardedBytes(bytes: Bytes): void
}

/** What the refusals of one instance work with. */
export interface RefusedBodiesParts {
  readonly clock: Clock
  /** What the own link carries, shared with the bodies of admitted requests. */
  readonly link: LinkBandwidthBudget
  readonly counters: RefusedBodyCounters
}

/** The answer to a request whose body nobody wants. */
export interface Refusal {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** Makes a refusal that lets its caller come back after so many seconds at the soonest. */
export type RefusalFactory = (leastSeconds: number) => Refusal

/** Sends refusals at once, and reads their requests' bodies only as far as the link bears it. */
export class RefusedBodyHandler {
  /** Connections that are held or read in vain at present. */
  private unread = 0

  constructor(private readonly parts: RefusedBodiesParts) {}

  /** Sends the whole refusal; undefined where the request has no body that is left to be seen to. */
  refuse(response: ServerResponse, refusalAfter: RefusalFactory): RefusedBodyOutcome | undefined {
    const { req: request } = response
    if (!hasBody(request) || isFullyRead(request)) {
      send(response, refusalAfter(0))
      return undefined
    }
    const fate = this.fateOf(request, response)
    const outcome = outcomeOf(fate)
    this.parts.counters.noteRefusedBody(outcome)
    if (fate.kind === 'close') this.sendAndClose(response, refusalAfter(0))
    else this.sendAndRead(response, refusalAfter, fate.holdMilliseconds)
    return outcome
  }

  private fateOf(request: IncomingMessage, response: ServerResponse): RefusedBodyDisposition {
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
    return refusedBodyDisposition(body, this.unread)
  }

  /** The connection is read again after the hold; its caller may send the next request meanwhile. */
  private sendAndRead(response: ServerResponse, refusal: RefusalFactory, hold: Milliseconds): void {
    const { req: request } = response
    const size = sizeOf(request)
    this.charge(size ?? 0)
    if (request.complete) this.parts.counters.noteDiscardedBytes(size ?? 0)
    const isDone = request.complete && hold === 0
    if (!isDone) whenSocketAssigned(response, () => this.readLater(request, hold))
    send(response, refusal(toRetryAfterSeconds(hold)))
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
   * The caller is told to leave, and has time to take the refusal before the connection ends: a reset that meets bytes
   * still on their way would take the refusal with it.
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
    // An answer that is ended would take the connection with it at once.
    response.writeHead(refusal.status, headers)
    response.write(refusal.body, () => request.socket.end())
  }

  private readSome(request: IncomingMessage): void {
    const { socket } = request
    this.trackConnection(socket, REFUSED_BODY_MILLISECONDS)
    let bytes: Bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      // A socket that is paused alone is read again as soon as the request asks for more.
      if (bytes > REFUSED_BODY_BYTES) request.pause()
    })
    this.discardBody(request, () => socket.destroySoon())
  }

  private charge(bytes: Bytes): void {
    const { clock, link } = this.parts
    link.noteRefusedBody(bytes, clock.monotonic())
  }

  /** Counts a connection until it ends or `finish` is called; ends it after a time. Gives `finish`. */
  private trackConnection(socket: Socket, milliseconds: Milliseconds): () => void {
    this.unread += 1
    const timer = this.parts.clock.after(milliseconds, () => socket.destroy())
    let isKept = true
    const finish = () => {
      if (!isKept) return
      isKept = false
      this.unread -= 1
      timer.cancel()
      socket.off('close', finish)
    }
    socket.once('close', finish)
    return finish
  }

  /** Throws away what comes of a body. */
  private discardBody(request: IncomingMessage, onEnd: () => void): void {
    request.on('data', (chunk: Buffer) => this.parts.counters.noteDiscardedBytes(chunk.length))
    request.once('end', onEnd)
    // Node.js would read on without counting where nobody had begun to read before the answer ends.
    request.read(0)
    request.resume()
  }
}

/** Earlier answers of the connection go first, and none is cut off by the bounds of a refused body behind it. */
function whenSocketAssigned(response: ServerResponse, run: () => void): void {
  if (response.socket === null) response.once('socket', run)
  else run()
}

function send(response: ServerResponse, { status, headers, body }: Refusal): void {
  response.writeHead(status, headers)
  response.end(body)
}

function outcomeOf(fate: RefusedBodyDisposition): RefusedBodyOutcome {
  if (fate.kind === 'close') return 'closed'
  return fate.holdMilliseconds === 0 ? 'read' : 'held'
}

function hasBody(request: IncomingMessage): boolean {
  return declaredBodyBytes(request) !== 0
}

/** Whether all of the body was read for its request. */
function isFullyRead(request: IncomingMessage): boolean {
  return request.readableDidRead && request.readableEnded
}

/** The size as it was told or, where all is there, as it came; undefined where nobody knows it yet. */
function sizeOf(request: IncomingMessage): Bytes | undefined {
  const announced = declaredBodyBytes(request)
  if (announced !== undefined) return announced
  return request.complete ? request.readableLength : undefined
}

function isAwaitingContinue(request: IncomingMessage): boolean {
  const expects = request.headers.expect?.toLowerCase() === '100-continue'
  return expects && !request.complete && request.readableLength === 0 && !request.readableDidRead
}

/** Stops reading a connection for a time. Node.js reads on whenever a message ends, so the pause is renewed until then. */
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

/** The size of a body, told ahead; undefined where it comes in chunks. */
export function declaredBodyBytes({ headers }: IncomingMessage): Bytes | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined
  return Number(headers['content-length'] ?? 0)
}

/**
 * A caller that waits for `100 Continue` is asked for its body when the body is read, so that one who is refused never
 * sends it.
 */
export function sendContinueOnRead(server: Server): void {
  server.on('checkContinue', (request, response) => {
    request.once('resume', () => {
      if (!response.headersSent) response.writeContinue()
    })
    server.emit('request', request, response)
  })
}
