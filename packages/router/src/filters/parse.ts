/**
 * Parses a request: its path, the headers that concern Rackwalk, and the body of a chat. Rejects
 * malformed requests before they take a key, a queue place, tokens or an endpoint.
 */

import { createHash } from 'node:crypto'
import { NotRunError, ResultCode, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  Bytes,
  Clock,
  IdempotencyKey,
  Milliseconds,
  RequestFingerprint,
} from '@rackwalk/shared'
import { requestFingerprint } from '../crashes/requestFingerprint.js'
import { parseChatRequest } from '../engine/chatRequest.js'
import type { BodyMemory } from '../bodies/bodyMemory.js'
import { readBody } from '../bodies/readBody.js'
import type { Catalogue, Team } from '../resources/catalogue.js'
import { nameSchema } from '../resources/name.js'
import type { AuthenticatedRequest, Call, Filter, ParsedRequest } from './stages.js'

/** Limits on what a caller may send and ask for. */
export interface CallerLimits {
  readonly maximumBodyBytes: Bytes
  readonly bodyTimeoutMilliseconds: Milliseconds
  readonly defaultDeadlineMilliseconds: Milliseconds
  readonly longestDeadlineMilliseconds: Milliseconds
}

const CHAT_PATH = '/v1/chat/completions'
const SERVICE_PATH = /^\/services\/([a-z0-9.-]+)(\/.*)?$/
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const PRIORITIES: Readonly<Record<string, number>> = { low: 0, normal: 1, high: 2 }

/** Parses the headers and, for a chat, the body. The body of a service call is streamed unread. */
export class ParseFilter implements Filter<AuthenticatedRequest, ParsedRequest> {
  constructor(
    private readonly catalogue: Catalogue,
    private readonly clock: Clock,
    private readonly limits: CallerLimits,
    private readonly bodies: BodyMemory,
  ) {}

  async apply(request: AuthenticatedRequest): Promise<ParsedRequest> {
    const { headers } = request.incoming
    const callerKey = parseKey(headers.get('idempotency-key'))
    const budgetId = parseBudget(headers.get('rackwalk-budget')) ?? request.team.budgetId
    const priority = parsePriority(headers.get('rackwalk-priority'))
    const deadline = request.receivedAt + this.parseDeadline(headers)
    const call = await this.parseCall(request)
    const target = call.kind === 'chat' ? call.chat.modelId : call.service
    const repeatable = isRepeatable(request, call)
    const { record } = request
    Object.assign(record, { target, repeatable, priority, key: callerKey })
    const billKey = callerKey ?? asId<IdempotencyKey>(request.requestId)
    const fingerprint = fingerprintOf(request, call)
    return {
      ...request,
      call,
      target,
      budgetId,
      repeatable,
      priority,
      deadline,
      callerKey,
      billKey,
      fingerprint,
      crashFingerprint: crashFingerprintOf(request, call, fingerprint),
    }
  }

  private async parseCall(request: AuthenticatedRequest): Promise<Call> {
    const { method, requestTarget, body } = request.incoming
    const [path = ''] = requestTarget.split('?')
    if (path === CHAT_PATH && method === 'POST') {
      const { maximumBodyBytes: bytes, bodyTimeoutMilliseconds: timeout } = this.limits
      const memory = this.bodies.open()
      request.scope.onEnd(() => memory.release())
      const raw = await readBody(body, { bytes, timeout, memory }, this.clock)
      const chat = parseChatRequest(raw, modelId => this.catalogue.findModel(modelId))
      checkModel(request.team, chat.modelId)
      return { kind: 'chat', chat }
    }
    const service = SERVICE_PATH.exec(path)?.[1]
    if (service === undefined) throw new NotRunError(ResultCode.NotFound, `${method} ${path}`)
    if (!this.catalogue.hasService(service)) {
      throw new NotRunError(ResultCode.UnknownService, service)
    }
    return { kind: 'service', service, path: servicePath(requestTarget, service) }
  }

  private parseDeadline(headers: ReadonlyMap<string, string>): Milliseconds {
    const text = headers.get('rackwalk-deadline-ms')
    if (text === undefined) return this.limits.defaultDeadlineMilliseconds
    const deadline = Number(text)
    if (!Number.isFinite(deadline) || deadline <= 0) {
      throw new NotRunError(ResultCode.MalformedRequest, 'Rackwalk-Deadline-Ms')
    }
    return Math.min(deadline, this.limits.longestDeadlineMilliseconds)
  }
}

/**
 * Returns the hash that the idempotency key is bound to. A service's body is streamed, so only the
 * method and path count.
 */
function fingerprintOf({ incoming }: AuthenticatedRequest, call: Call): string {
  const hash = createHash('sha256')
  if (call.kind === 'chat') hash.update(JSON.stringify(call.chat.body))
  else hash.update(`${incoming.method} ${incoming.requestTarget}`)
  return hash.digest('base64')
}

/**
 * Returns the fingerprint for the crash guard, in which the hash of the body represents the body.
 * Undefined for a streamed body, which is not known before it is sent.
 */
function crashFingerprintOf(
  { incoming, team }: AuthenticatedRequest,
  call: Call,
  fingerprint: string,
): RequestFingerprint | undefined {
  const { headers, requestTarget } = incoming
  const hasBody = headers.has('content-length') || headers.has('transfer-encoding')
  if (call.kind === 'service' && hasBody) return undefined
  return requestFingerprint({
    path: requestTarget,
    team: team.teamId,
    body: Buffer.from(fingerprint),
  })
}

function servicePath(target: string, service: string): string {
  const path = target.slice(`/services/${service}`.length)
  return path.startsWith('/') ? path : `/${path}`
}

function checkModel(team: Team, model: string): void {
  const isAllowed = team.spec.models === undefined || team.spec.models.includes(model)
  if (!isAllowed) throw new NotRunError(ResultCode.UnknownModel, model)
}

function parseKey(text: string | undefined): IdempotencyKey | undefined {
  if (text === undefined) return undefined
  if (!KEY_PATTERN.test(text)) {
    throw new NotRunError(ResultCode.MalformedRequest, 'Idempotency-Key')
  }
  return asId<IdempotencyKey>(text)
}

function parseBudget(text: string | undefined): BudgetId | undefined {
  if (text === undefined) return undefined
  if (nameSchema.safeParse(text).success) return asId<BudgetId>(text)
  throw new NotRunError(ResultCode.MalformedRequest, 'Rackwalk-Budget')
}

function parsePriority(text = 'normal'): number {
  const priority = PRIORITIES[text.toLowerCase()]
  if (priority === undefined) {
    throw new NotRunError(ResultCode.MalformedRequest, 'Rackwalk-Priority')
  }
  return priority
}

/**
 * Whether the request may run more than once. A chat may, unless its caller says no. A service call
 * may if its caller says yes, or if its caller says nothing and its method is safe. An unknown
 * value of the caller's header is rejected for service calls and ignored for chats.
 */
function isRepeatable({ incoming }: AuthenticatedRequest, call: Call): boolean {
  const stated = incoming.headers.get('rackwalk-repeatable')?.toLowerCase()
  if (stated === 'no') return false
  if (stated === 'yes' || call.kind === 'chat') return true
  if (stated !== undefined) {
    throw new NotRunError(ResultCode.MalformedRequest, 'Rackwalk-Repeatable')
  }
  return SAFE_METHODS.has(incoming.method)
}
