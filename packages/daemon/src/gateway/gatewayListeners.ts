/**
 * The sockets of a gateway instance: the listener for callers and the plain listeners for short calls.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { BodyMemory, readBody, sendContinueOnRead } from '@rackwalk/router'
import type { BodyLease, GatewayLimits } from '@rackwalk/router'
import { NotRunError } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { acceptAbsoluteTargets } from '../callers/absoluteTargets.js'
import { limitPipelining } from '../callers/pipelining.js'
import { refuseMalformed } from '../observe/httpAnswer.js'
import type { UnparsedRefusal } from '../observe/httpAnswer.js'
import { listenOn } from '../observe/listenOn.js'
import type { PlainAnswer } from './platformAdapter.js'

/**
 * Time added to the limits of a configuration. Callers may reuse a connection that was idle for almost the idle time,
 * so the connection must still be open then.
 */
const IDLE_SLACK_MILLISECONDS = 1_000
const LONGEST_HEADER_BYTES = 64 * 1024
/** Time limit for the headers of a request until a configuration is in force. */
const HEADER_MILLISECONDS = 10_000

/** Creates the listener for callers; a configuration changes its limits. */
export function createCallerListener(
  observer: { noteUnparsed(refusal: UnparsedRefusal): void },
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const server = createServer(
    { maxHeaderSize: LONGEST_HEADER_BYTES, noDelay: true },
    limitPipelining(handle),
  )
  server.requestTimeout = 0
  server.headersTimeout = HEADER_MILLISECONDS
  acceptAbsoluteTargets(server)
  refuseMalformed(server, refusal => observer.noteUnparsed(refusal))
  sendContinueOnRead(server)
  return server
}

/** Sets the time limits of a configuration for idle connections and for headers. */
export function applyLimits(server: Server, limits: GatewayLimits): void {
  server.keepAliveTimeout = timeoutOf(limits.idleMilliseconds)
  server.headersTimeout = timeoutOf(limits.headerMilliseconds)
}

/** Longest time that Node.js accepts; a longer one would be cut to 32 bits, and could so become very short. */
const LONGEST_TIMEOUT_MILLISECONDS = 2 ** 31 - 1

function timeoutOf(limit: Milliseconds): Milliseconds {
  return Math.min(LONGEST_TIMEOUT_MILLISECONDS, Math.ceil(limit) + IDLE_SLACK_MILLISECONDS)
}

/** Maximum size of the body of a short call; a caller that sends more is disconnected. */
const LONGEST_PLAIN_BODY_BYTES = 64 * 1024
/** A caller that takes longer to send a call is disconnected. */
const PLAIN_CALL_MILLISECONDS = 10_000

/** Base for parsing a request's target; the host is ignored. */
const ANY_ORIGIN = 'http://localhost'
const BAD_REQUEST: PlainAnswer = { status: 400 }

/** Answers a path; `body` is empty for calls without one. */
export type PlainHandler = (url: string, body: string) => PlainAnswer | Promise<PlainAnswer>

/** Memory for the bodies of short calls at one listener; calls of peers are far smaller than the longest body. */
const PLAIN_BODY_MEMORY_BYTES = 2 * 1024 * 1024

/** Creates a listener that gives plain answers to short calls. */
export function createPlainListener(answer: PlainHandler, clock: Clock): Server {
  const limits = {
    requestTimeout: PLAIN_CALL_MILLISECONDS,
    headersTimeout: PLAIN_CALL_MILLISECONDS,
  }
  return createServer(limits, limitPipelining(new PlainCalls(answer, clock).handle))
}

/** Reads short calls as a whole and answers them. Owns the memory for their bodies. */
export class PlainCalls {
  private readonly bodies = new BodyMemory(PLAIN_BODY_MEMORY_BYTES)

  constructor(
    private readonly answer: PlainHandler,
    private readonly clock: Clock,
  ) {}

  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    void this.serve(request, response)
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const memory = this.bodies.open()
    try {
      const body = await this.read(request, memory)
      const target = request.url ?? '/'
      const answer = () => (isValidTarget(target) ? this.answer(target, body) : BAD_REQUEST)
      await respond(response, async () => answer())
    } catch (thrown) {
      if (!(thrown instanceof NotRunError)) throw thrown
      // A body that is too large, too slow, broken off or given up: its sender is disconnected.
      request.destroy()
    } finally {
      memory.release()
    }
  }

  private async read(request: IncomingMessage, memory: BodyLease): Promise<string> {
    const limits = { bytes: LONGEST_PLAIN_BODY_BYTES, timeout: PLAIN_CALL_MILLISECONDS, memory }
    return (await readBody(request, limits, this.clock)).toString('utf8')
  }
}

/** Sends an answer. If there is none because of a fault, its caller is not kept waiting. */
async function respond(
  response: ServerResponse,
  answer: () => Promise<PlainAnswer>,
): Promise<void> {
  try {
    write(response, await answer())
  } catch (error) {
    response.destroy()
    throw error
  }
}

/** Whether a request's target can be parsed as a path with a query; `//` and `/%ff`, for example, can't. */
function isValidTarget(target: string): boolean {
  if (!URL.canParse(target, ANY_ORIGIN)) return false
  try {
    decodeURIComponent(new URL(target, ANY_ORIGIN).pathname)
    return true
  } catch {
    // An escape sequence that is no UTF-8 is an expected result.
    return false
  }
}

/** Listens at all addresses; rejects with `CannotListen` if one cannot be bound. */
export async function listenAll(
  listeners: readonly { readonly server: Server; readonly address: string }[],
): Promise<void> {
  await Promise.all(listeners.map(({ server, address }) => listenOn(server, address)))
}

function write(response: ServerResponse, { status, body, json }: PlainAnswer): void {
  const isText = typeof body === 'string'
  const bytes = isText ? body : (json ?? (body === undefined ? '' : JSON.stringify(body)))
  response.writeHead(status, {
    'content-type': isText ? 'text/plain; version=0.0.4' : 'application/json',
    'content-length': String(Buffer.byteLength(bytes)),
  })
  response.end(bytes)
}
