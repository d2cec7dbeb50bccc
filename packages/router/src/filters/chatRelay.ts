/**
 * Relays a chat to another instance when this instance can connect to no engine. Without relaying,
 * such chats would be refused although other instances reach the engines. The other instance serves
 * the chat as its own: the other instance admits the chat, reserves its budget, claims its key and
 * makes the attempts. Owns the connections to other instances, the exchanges in progress, and the
 * times of recent refusals by instance. The rules are in decisions/choosing/relayPeer and
 * decisions/retrying/relayStep.
 */

import {
  chooseRelayPeer,
  isBodyMissing,
  isDenial,
  isProvenComplete,
  relayStep,
} from '@rackwalk/decisions'
import type { AnswerEnd, RelayCandidate, RelayOrigin, RelayOutcome } from '@rackwalk/decisions'
import { DispatchedError, ResultCode } from '@rackwalk/shared'
import type { Clock, IncarnationId, Milliseconds, RandomSource } from '@rackwalk/shared'
import { relayedChatBody } from '../engine/chatRequest.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import { withoutConnectionHeaders } from '../gateway/connectionHeaders.js'
import { EndpointAgent } from '../gateway/endpointAgent.js'
import { RELAYED_BY } from '../gateway/peerRelay.js'
import { UpstreamExchange } from '../gateway/upstreamExchange.js'
import type { ParsedRequest } from './stages.js'

/** Another instance that serves callers. */
export interface ChatRelayPeer {
  readonly incarnation: IncarnationId
  readonly failureDomain: string
  /** IP:PORT at which it serves callers. */
  readonly callerAddress: string
}

/** Dependencies of a chat relay. */
export interface ChatRelayParts {
  readonly incarnation: IncarnationId
  readonly failureDomain: string
  readonly clock: Clock
  readonly random: RandomSource
  /** Returns the other instances that serve callers. */
  readonly peers: () => readonly ChatRelayPeer[]
  /** Called with the outcome at each instance that was tried. */
  readonly onRelayed: (outcome: RelayOutcome) => void
}

interface Candidate extends RelayCandidate {
  readonly peer: ChatRelayPeer
}

/** Longest wait for a connection to another instance. */
const CONNECT_MILLISECONDS: Milliseconds = 300
/** Maximum number of connections to one instance. */
const MAXIMUM_PEER_CONNECTIONS = 256
/**
 * Time after a refusal (status 503) for which an instance counts as overloaded and is tried last.
 * Instances do not announce for chats that they are overloaded or without a connection to the
 * engines, so the refusal is the only sign.
 */
const REFUSAL_MILLISECONDS: Milliseconds = 1_000
const STATUS_UNAVAILABLE = 503
/** Headers that are set anew for each hop. */
const PER_HOP_HEADERS = new Set(['host', 'content-length', 'rackwalk-deadline-ms'])

/** Relays chats of this instance to others. */
export class ChatRelay {
  private readonly agents = new Map<string, EndpointAgent>()
  /** Monotonic time of each instance's latest refusal. */
  private readonly refusedAt = new Map<IncarnationId, Milliseconds>()

  constructor(private readonly parts: ChatRelayParts) {}

  close(): void {
    for (const agent of this.agents.values()) agent.destroy()
  }

  /**
   * Whether the request may be relayed: only chats may, and only once, so that instances do not
   * relay a request in a circle.
   */
  canRelay({ incoming, call }: ParsedRequest): boolean {
    return call.kind === 'chat' && !incoming.headers.has(RELAYED_BY)
  }

  /**
   * Relays the request and returns the outcome whose answer was forwarded to the caller; undefined
   * if no answer was forwarded and no instance can have run the request. Throws if no answer was
   * forwarded and the request may have run.
   */
  async relay(request: ParsedRequest): Promise<RelayOutcome | undefined> {
    const { call } = request
    if (call.kind !== 'chat') return undefined
    const tried = new Set<IncarnationId>()
    const outcomes: RelayOutcome[] = []
    let peer = this.choose(tried)
    while (peer !== undefined && !this.isOver(request)) {
      tried.add(peer.incarnation)
      const exchange = this.openExchange(peer, request, call.chat)
      const next = this.choose(tried)
      const outcome = await this.forwardAnswer(exchange, request, outcomes, next !== undefined)
      this.noteOutcome(peer, outcome)
      const step = relayStep(outcomes, routeOf(request), next !== undefined)
      if (step === 'pass-on') return outcome
      if (step === 'give-up') break
      peer = next
    }
    if (!outcomes.some(({ kind }) => kind === 'failed')) return undefined
    throw new DispatchedError(ResultCode.EndpointFailed, 'the instance that it was handed to')
  }

  /** Whether the caller has left or the deadline has passed. */
  private isOver({ incoming, deadline }: ParsedRequest): boolean {
    return incoming.caller.disconnectSignal.aborted || this.parts.clock.sinceStart() >= deadline
  }

  /**
   * Waits for the answer and adds the outcome to `outcomes`. Forwards the answer to the caller if
   * `relayStep` decides so; otherwise reads the answer to its end and discards it.
   */
  private async forwardAnswer(
    exchange: UpstreamExchange,
    request: ParsedRequest,
    outcomes: RelayOutcome[],
    hasAnother: boolean,
  ): Promise<RelayOutcome> {
    const head = await exchange.awaitAnswer()
    if (head.kind === 'not-sent') return appended(outcomes, { kind: 'not-sent' })
    if (head.kind === 'failed') return appended(outcomes, { kind: 'failed', reason: head.reason })
    const status = head.response.statusCode ?? 0
    const isRefused = status === STATUS_UNAVAILABLE || isDenial({ status })
    const kind = isRefused ? 'refused' : 'answered'
    const outcome = appended(outcomes, { kind, status })
    if (relayStep(outcomes, routeOf(request), hasAnother) !== 'pass-on') {
      exchange.drain()
      return outcome
    }
    const names = withoutConnectionHeaders(head.response.rawHeaders)
    const isComplete = await forwardBody(exchange, request, status, namedHeaders(names))
    if (isComplete) return outcome
    request.incoming.caller.destroy()
    return outcome
  }

  private noteOutcome({ incarnation }: ChatRelayPeer, outcome: RelayOutcome): void {
    if (outcome.kind === 'refused') this.refusedAt.set(incarnation, this.now)
    this.parts.onRelayed(outcome)
  }

  private choose(tried: ReadonlySet<IncarnationId>): ChatRelayPeer | undefined {
    const { peers, failureDomain, random } = this.parts
    const candidates = peers()
      .filter(({ incarnation }) => !tried.has(incarnation))
      .map(peer => this.candidateOf(peer))
    return chooseRelayPeer(candidates, this.originIn(failureDomain), random.next())?.peer
  }

  /**
   * The load of instances of this kind is not known, so each counts as one unit of room, and each
   * instance of the failure domain that refused lately as one unit of demand besides this one's.
   */
  private originIn(failureDomain: string): RelayOrigin {
    const near = this.parts.peers().filter(peer => peer.failureDomain === failureDomain)
    const refusing = near.filter(({ incarnation }) => this.hasRefused(incarnation))
    return { failureDomain, demand: 1 + refusing.length }
  }

  private hasRefused(incarnation: IncarnationId): boolean {
    const refusedAt = this.refusedAt.get(incarnation) ?? Number.NEGATIVE_INFINITY
    return this.now - refusedAt < REFUSAL_MILLISECONDS
  }

  private candidateOf(peer: ChatRelayPeer): Candidate {
    const { incarnation, failureDomain } = peer
    const isOverloaded = this.hasRefused(incarnation)
    return { peer, instance: incarnation, failureDomain, isCutOff: false, isOverloaded, room: 1 }
  }

  private openExchange(
    peer: ChatRelayPeer,
    request: ParsedRequest,
    chat: ChatRequest,
  ): UpstreamExchange {
    const { incoming, deadline, scope } = request
    const { clock, incarnation } = this.parts
    const remaining = Math.max(1, Math.floor(deadline - clock.sinceStart()))
    const body = Buffer.from(JSON.stringify(relayedChatBody(chat)))
    const callerHeaders = withoutConnectionHeaders([...incoming.headers].flat(), name =>
      PER_HOP_HEADERS.has(name),
    )
    const relayHeaders = { [RELAYED_BY]: incarnation, 'rackwalk-deadline-ms': String(remaining) }
    const headers = [...callerHeaders, ...Object.entries(relayHeaders).flat()]
    headers.push('host', peer.callerAddress, 'content-length', String(body.length))
    const { method, requestTarget: path } = incoming
    const endpoint = { record: { address: peer.callerAddress }, agent: this.agentOf(peer) }
    const described = { method, path, headers, body, connectMilliseconds: CONNECT_MILLISECONDS }
    const exchange = new UpstreamExchange(endpoint, described)
    const noteDisconnected = () => exchange.abort('caller-left')
    incoming.caller.disconnectSignal.addEventListener('abort', noteDisconnected, { once: true })
    const timer = clock.after(remaining, () => exchange.abort('deadline'))
    scope.onEnd(() => timer.cancel())
    return exchange
  }

  private agentOf({ callerAddress }: ChatRelayPeer): EndpointAgent {
    const known = this.agents.get(callerAddress) ?? new EndpointAgent(MAXIMUM_PEER_CONNECTIONS)
    this.agents.set(callerAddress, known)
    return known
  }

  private get now(): Milliseconds {
    return this.parts.clock.monotonic()
  }
}

/**
 * Forwards the answer at the caller's pace. An answer that ends with its connection does so for the
 * caller too. Resolves with whether the answer is proven complete; if so, after the caller's
 * connection has taken all of it.
 */
function forwardBody(
  exchange: UpstreamExchange,
  { incoming: { caller } }: ParsedRequest,
  status: number,
  headers: Readonly<Record<string, string>>,
): Promise<boolean> {
  caller.writeHead(status, headers, exchange.framing !== 'connection')
  return new Promise(resolve => {
    let hasBody = false
    const onData = (chunk: Buffer) => {
      hasBody = true
      if (caller.write(chunk)) return
      exchange.pause()
      void caller.waitForDrain().then(() => exchange.resume())
    }
    const onEnd = (end: AnswerEnd) => {
      const { framing } = exchange
      const isBodyTruncated = isBodyMissing(framing, { status, hasBody })
      const isComplete = isProvenComplete({ framing, end, isBodyTruncated })
      if (isComplete) void caller.end().then(() => resolve(true))
      else resolve(false)
    }
    exchange.readBody({ onData, onEnd })
  })
}

function appended(outcomes: RelayOutcome[], outcome: RelayOutcome): RelayOutcome {
  outcomes.push(outcome)
  return outcome
}

function routeOf({ repeatable }: ParsedRequest) {
  return { isIdempotent: repeatable, isStreaming: false, isResumable: false }
}

function namedHeaders(rawHeaders: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {}
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers[(rawHeaders[index] ?? '').toLowerCase()] = rawHeaders[index + 1] ?? ''
  }
  return headers
}
