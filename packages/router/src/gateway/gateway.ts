/**
 * Serves requests of the gateway. Each request is matched with a route and a team, admitted, read and
 * recorded. A request that was read has its largest possible cost reserved from the team's prepaid budget,
 * is sent to endpoints, and is settled at its actual cost. If no endpoint can be connected, the request is
 * relayed to another instance, which reserves the cost. Owns the retry budget of each service and the count
 * of requests in progress.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { NotRunError, RESULT_TABLE, ResultCode, toRackwalkError } from '@rackwalk/shared'
import type { Bytes, Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import {
  FleetRetryBudget,
  budgetWaitLimit,
  extendedBudgetWaitLimit,
  toRetryAfterSeconds,
  settledCost,
} from '@rackwalk/decisions'
import type { RetryBounds, StreamOrigin, ShedRank } from '@rackwalk/decisions'
import type { PrepaidLedger, PrepaidReservation, RefusedOutcome } from '@rackwalk/coordination'
import type { BodyLease, BodyMemory } from '../bodies/bodyMemory.js'
import { readBody } from '../bodies/readBody.js'
import { declaredBodyBytes } from '../refusedBodyHandler.js'
import { requestFingerprint, requestScope } from '../crashes/requestFingerprint.js'
import { CallerReply } from './callerReply.js'
import type { Dialect, RequestMetadata } from './dialect.js'
import { chooseService } from './gatewayConfiguration.js'
import type {
  GatewayLimits,
  GatewayRoute,
  GatewayService,
  GatewayTeam,
  RouteTable,
} from './gatewayConfiguration.js'
import type { GatewayRecord } from './gatewayRecord.js'
import { InstanceAdmission } from './instanceAdmission.js'
import type { AdmissionState, InstanceAdmissionParts } from './instanceAdmission.js'
import { latenessCause } from './lateness.js'
import { PeerRelay } from './peerRelay.js'
import type { PeerRelayParts, RelayableRequest } from './peerRelay.js'
import { RequestAttempts } from './requestAttempts.js'
import { findStreamOrigin } from './findStreamOrigin.js'
import { untilStreamCanBegin } from './streamStart.js'
import { VersionedDenials } from './versionedDenials.js'
import type { ContradictedDenial } from './versionedDenials.js'
import type { AttemptsParts, AttemptsResult } from './attemptedRequest.js'

/** Dependencies and callbacks of the gateway. */
export interface GatewayParts extends AttemptsParts, InstanceAdmissionParts, PeerRelayParts {
  readonly dialect: Dialect
  readonly clock: Clock
  readonly random: RandomSource
  readonly ledger: PrepaidLedger
  /** The configuration in force; undefined until one is loaded. */
  readonly routes: () => RouteTable | undefined
  readonly retryBounds: RetryBounds
  /** Memory for the bodies of all requests. */
  readonly bodies: BodyMemory
  readonly instances: () => number
  /** Throws if this instance's knowledge is too stale to serve requests. */
  readonly checkStaleness: () => void
  /** Whether callers' connections close after their next answer. */
  readonly isDraining: () => boolean
  /** Whether new requests are refused. */
  readonly isRefusing: () => boolean
  readonly defaultDeadlineMilliseconds: Milliseconds
  readonly onRecord: (record: GatewayRecord) => void
  /** A neighbouring version of the configuration allows a request that was refused for its route or key. */
  readonly onContradictedDenial: (denial: ContradictedDenial) => void
}

/** The route and team of a request according to the known routes. */
interface MatchedRequest {
  readonly routes: RouteTable
  readonly host: string
  readonly path: string
  /** Undefined if no route matches the path. */
  readonly route: GatewayRoute | undefined
  /** Undefined if the route requires no key, or the key belongs to no team. */
  readonly team: GatewayTeam | undefined
}

/** Stands for the priority of a request that matches no route. */
const LEAST_URGENT = Number.POSITIVE_INFINITY

/** A request whose route and team are known. */
interface IdentifiedRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly team: GatewayTeam | undefined
  readonly deadlineAt: Milliseconds
}

/** The answer to a request and what is known of it besides its contents. */
interface ServedRequest {
  readonly reply: CallerReply
  readonly record: GatewayRecord
  /** The same whenever a caller sends the same request; undefined if it can't be told from others. */
  readonly returnKey: string | undefined
}

/** A request whose body was read completely. */
interface ReadRequest extends IdentifiedRequest {
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly reply: CallerReply
  readonly record: GatewayRecord
}

/** A request whose stream origin is determined. */
interface ResumedRequest extends ReadRequest {
  /** Undefined if the request resumes no stream. */
  readonly origin: StreamOrigin | undefined
}

/** Serves requests, each from its arrival to its end. */
export class Gateway {
  /** By service name. */
  private readonly retryBudgets = new Map<string, FleetRetryBudget>()
  private readonly admission: InstanceAdmission
  private readonly denials: VersionedDenials
  private running = 0

  constructor(private readonly parts: GatewayParts) {
    this.admission = new InstanceAdmission(parts, () => this.running)
    this.denials = new VersionedDenials(parts.clock, parts.onContradictedDenial)
  }

  /** Requests in progress. */
  get inFlight(): number {
    return this.running
  }

  /** Shares of this instance's processor and link capacity that are used or refused. */
  get admissionState(): AdmissionState {
    return this.admission.state
  }

  /** Share of recently ended requests that were refused because of this instance's own limits, in [0, 1]. */
  get refusedShare(): number {
    return this.admission.refusedShare
  }

  /** Serves one request to its end; `relayedBy` names the instance that relayed it, if any. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    relayedBy?: string,
  ): Promise<void> {
    const { dialect, isDraining } = this.parts
    const metadata = dialect.readRequest(request.headers)
    const record: GatewayRecord = {
      requestId: metadata?.requestId ?? '',
      receivedAt: this.parts.clock.sinceStart(),
      resumption: metadata?.resumption,
      attempts: [],
      relays: [],
      ...(relayedBy === undefined ? {} : { relayedBy }),
    }
    const ownHeaders = dialect.ownHeaders(metadata?.requestId)
    const { refusedBodies } = this.admission
    const reply = new CallerReply(response, ownHeaders, dialect, isDraining, refusedBodies)
    this.running += 1
    try {
      if (metadata === undefined) throw new NotRunError(ResultCode.MalformedRequest)
      await this.serve(request, metadata, reply, record)
    } catch (thrown) {
      this.refuse(reply, record, thrown)
    } finally {
      this.running -= 1
      this.finishRecord(record, response)
    }
  }

  private async serve(
    request: IncomingMessage,
    metadata: RequestMetadata,
    reply: CallerReply,
    record: GatewayRecord,
  ): Promise<void> {
    const identified = this.identify(request, metadata, record)
    const returnKey = returnKeyOf(identified, request.url ?? '/')
    try {
      await this.serveIdentified(request, identified, { reply, record, returnKey })
    } catch (thrown) {
      const remaining = identified.deadlineAt - this.parts.clock.sinceStart()
      const isRefused = returnKey !== undefined && thrown instanceof NotRunError
      if (isRefused) this.admission.noteRefused(returnKey, thrown, remaining)
      throw thrown
    }
  }

  private async serveIdentified(
    request: IncomingMessage,
    identified: IdentifiedRequest,
    { reply, record, returnKey }: ServedRequest,
  ): Promise<void> {
    this.checkSize(request)
    this.admission.admit(request, workRankOf(identified), returnKey)
    const memory = this.parts.bodies.open(declaredBodyBytes(request))
    try {
      const body = await this.readFully(request, reply, memory)
      await this.serveRead(request, {
        ...identified,
        ...forwardedParts(request),
        body,
        reply,
        record,
      })
    } finally {
      memory.release()
    }
  }

  private async serveRead(request: IncomingMessage, read: ReadRequest): Promise<void> {
    const { record } = read
    this.refuseIfDraining()
    this.refuseCrashing(read, request.url ?? '/', read.body, record)
    const mayRelay = record.relayedBy === undefined
    if (mayRelay && this.parts.links.isCutOff(read.service.name)) return this.relay(read)
    const result = await this.attempt(read, mayRelay)
    if (result.isUnsent) await this.relay(read)
  }

  /** Sends a request to endpoints, within the budget of its team. */
  private async attempt(read: ReadRequest, mayRelay: boolean): Promise<AttemptsResult> {
    const origin = await findStreamOrigin(this.parts, read)
    if (origin === undefined) await untilStreamCanBegin(this.parts, read)
    const service = this.serviceOf(origin, read)
    return this.attemptAt({ ...read, service, origin }, mayRelay)
  }

  /**
   * Returns the service that began a resumed stream, whichever target of the route is chosen for new streams;
   * the chosen service if the request resumes none or the configuration no longer has the other one.
   */
  private serviceOf(origin: StreamOrigin | undefined, { service }: ReadRequest): GatewayService {
    if (origin === undefined) return service
    return this.parts.routes()?.service(origin.service) ?? service
  }

  private async attemptAt(read: ResumedRequest, mayRelay: boolean): Promise<AttemptsResult> {
    const { route, service, team, record } = read
    const { clock, instances } = this.parts
    const retries = this.retryBudget(service.name)
    retries.noteRequest(clock.monotonic())
    const attempts = new RequestAttempts(this.parts, {
      ...read,
      team: team?.name,
      priority: service.engine === undefined ? undefined : (team?.priority ?? route.priority),
      takeRetry: () => retries.take(clock.monotonic(), instances()),
      mayRelay,
    })
    const reservation = await this.reserve(read, record)
    try {
      this.refuseIfDraining()
      await attempts.run()
      this.noteLateness(route, record)
    } finally {
      // A fault within an attempt costs the team what the caller was given until then.
      record.execution = attempts.result.mayHaveRun ? 'ran' : 'not-run'
      this.settle(read, reservation, attempts.result, record)
    }
    return attempts.result
  }

  /** Relays a request that this instance can't send to any endpoint. */
  private async relay(read: ReadRequest): Promise<void> {
    const relayed: RelayableRequest = { ...read, service: read.service.name }
    const isDone = await new PeerRelay(this.parts, relayed).run()
    if (isDone) return
    const { links } = this.parts
    const isCutOff = links.isCutOff(read.service.name)
    if (isCutOff) throw new NotRunError(ResultCode.CutOff, read.service.name)
    throw new NotRunError(ResultCode.NoEndpoint, 'no connection')
  }

  /**
   * Refuses a request that crashes endpoints, or contains a prompt part that does, before tokens are
   * reserved.
   */
  private refuseCrashing(
    { team, service, metadata: { promptParts } }: IdentifiedRequest,
    path: string,
    body: Buffer,
    record: GatewayRecord,
  ): void {
    const { crashes } = this.parts
    const keys = crashes.promptParts.keysOf({ service: service.name, promptParts })
    if (crashes.promptParts.verdict(keys) === 'refuse') {
      throw new NotRunError(ResultCode.EndsEndpoints, 'a part of its prompt')
    }
    const request = { path, team: team?.name, body }
    if (!crashes.hasSuspectsInScope(requestScope(request))) return
    record.fingerprint = requestFingerprint(request)
    if (crashes.verdict(record.fingerprint) !== 'refuse') return
    throw new NotRunError(ResultCode.EndsEndpoints)
  }

  /** Records why the answer was late for its caller, if it was. */
  private noteLateness(route: GatewayRoute, record: GatewayRecord): void {
    const lateness = latenessCause(route, {
      firstByteMilliseconds: record.firstByteMilliseconds,
      longestPause: record.attempts.at(-1)?.longestPause,
    })
    if (lateness !== undefined) record.lateness = lateness
  }

  private identify(
    request: IncomingMessage,
    metadata: RequestMetadata,
    record: GatewayRecord,
  ): IdentifiedRequest {
    const matched = this.matchRequest(request, metadata, record)
    this.refuseIfDraining()
    this.parts.checkStaleness()
    if (matched === undefined) throw new NotRunError(ResultCode.InstanceNotReady)
    const { routes, route, team } = matched
    if (route === undefined || (team === undefined && !route.isAnonymous)) {
      throw this.denial(matched, metadata, record)
    }
    const serviceName = chooseService(route, this.parts.random.next())
    const service = serviceName === undefined ? undefined : routes.service(serviceName)
    if (service === undefined) throw new NotRunError(ResultCode.NoEndpoint, serviceName)
    record.service = service.name
    const waitLimit = metadata.deadlineMilliseconds ?? this.parts.defaultDeadlineMilliseconds
    const deadlineAt = record.receivedAt + Math.min(waitLimit, route.timeoutMilliseconds)
    return { metadata, route, service, team, deadlineAt }
  }

  /**
   * Throws if this instance is about to stop: what is sent to an endpoint from now on could be cut off at the end of the
   * grace time. Called before each step that a wait precedes.
   */
  private refuseIfDraining(): void {
    if (this.parts.isRefusing()) throw new NotRunError(ResultCode.InstanceDraining)
  }

  /** The error of a request whose route or key the configuration does not contain. */
  private denial(
    { host, path, route }: MatchedRequest,
    { requestId, credential: key }: RequestMetadata,
    record: GatewayRecord,
  ): NotRunError {
    record.configurationAge = this.denials.versionAge
    this.denials.note({ requestId, host, path, key })
    if (route === undefined) return new NotRunError(ResultCode.NotFound, path)
    return new NotRunError(ResultCode.UnknownKey)
  }

  /**
   * Matches a request against the known routes; undefined if no configuration is known. The match is recorded
   * before the request may be refused, so that a team whose requests are all refused shows up in its own
   * counters.
   */
  private matchRequest(
    request: IncomingMessage,
    metadata: RequestMetadata,
    record: GatewayRecord,
  ): MatchedRequest | undefined {
    const routes = this.parts.routes()
    if (routes === undefined) return undefined
    this.denials.observe(routes)
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const host = request.headers.host ?? ''
    const route = routes.match(host, path)
    const key = metadata.credential
    const isKeyed = route !== undefined && !route.isAnonymous && key !== undefined
    const team = isKeyed ? routes.teamOf(key) : undefined
    const matched = { routes, host, path, route, team }
    noteMatch(record, matched)
    return matched
  }

  private get limits(): GatewayLimits | undefined {
    return this.parts.routes()?.configuration.limits
  }

  private get largestBody(): Bytes {
    return this.limits?.bodyBytes ?? 0
  }

  /** Refuses a body whose declared size is too large, before reading it. */
  private checkSize(request: IncomingMessage): void {
    const isTooLarge = (declaredBodyBytes(request) ?? 0) > this.largestBody
    if (isTooLarge) throw new NotRunError(ResultCode.BodyTooLarge)
  }

  /** Reads the complete body, and confirms that the caller has not left meanwhile. */
  private async readFully(
    request: IncomingMessage,
    reply: CallerReply,
    memory: BodyLease,
  ): Promise<Buffer> {
    const timeout = this.limits?.idleMilliseconds ?? 0
    const limits = { bytes: this.largestBody, timeout, memory }
    let bytes: Bytes = 0
    request.on('data', (chunk: Buffer) => (bytes += chunk.length))
    const reading = readBody(request, limits, this.parts.clock)
    const body = await reading.finally(() => this.admission.noteBody(request, bytes))
    await this.admission.confirmCaller(reply)
    return body
  }

  /**
   * Reserves the largest possible cost if the team has a prepaid budget and the request states its tokens.
   * Throws if the budget refuses.
   */
  private async reserve(
    { metadata, team, route, deadlineAt }: IdentifiedRequest,
    record: GatewayRecord,
  ): Promise<PrepaidReservation | undefined> {
    if (team?.prepaid === undefined || metadata.tokens === undefined) return undefined
    const tokens = metadata.tokens.prompt + metadata.tokens.maximumOutput
    record.tokens = tokens
    const { goalMilliseconds } = route
    const waitLimit = budgetWaitLimit(goalMilliseconds)
    const remaining = deadlineAt - this.parts.clock.sinceStart()
    const extendedWaitLimit = extendedBudgetWaitLimit(goalMilliseconds, remaining)
    const outcome = await this.parts.ledger.reserve(team.name, tokens, waitLimit, extendedWaitLimit)
    if (outcome.kind === 'reserved') {
      record.reservation = outcome.path
      const { loans } = outcome.reservation
      if (loans.length > 0) record.loans = loans.map(({ lender, tokens }) => ({ lender, tokens }))
      return outcome.reservation
    }
    throw this.budgetRefusal(team.name, outcome, record)
  }

  private budgetRefusal(team: string, outcome: RefusedOutcome, record: GatewayRecord): NotRunError {
    record.reservation = outcome.reason
    record.budget = this.parts.ledger.describe(team)
    if (outcome.lenders.length > 0) record.lenders = outcome.lenders
    if (outcome.reason === 'exhausted') return new NotRunError(ResultCode.BudgetExhausted)
    const retryAfterSeconds = toRetryAfterSeconds(outcome.waitMilliseconds)
    return new NotRunError(ResultCode.BudgetUnavailable, undefined, retryAfterSeconds)
  }

  /** Replaces the reservation by the tokens that were spent. */
  private settle(
    { metadata, service }: IdentifiedRequest,
    reservation: PrepaidReservation | undefined,
    result: AttemptsResult,
    record: GatewayRecord,
  ): void {
    if (reservation === undefined || metadata.tokens === undefined) return
    const spent = settledCost(result, metadata.tokens, service.engine?.tokensPerEvent ?? 1)
    record.spent = spent
    this.parts.ledger.settle(reservation, spent)
  }

  private refuse(reply: CallerReply, record: GatewayRecord, thrown: unknown): void {
    const error = toRackwalkError(thrown)
    record.code = error.code
    record.detail = error.message
    record.execution = RESULT_TABLE[error.code].execution ?? record.execution
    if (reply.isStarted) reply.abort()
    else if (!reply.isCallerGone) record.refusedBody = reply.refuse(error)
  }

  private finishRecord(record: GatewayRecord, response: ServerResponse): void {
    record.status = response.headersSent ? response.statusCode : 0
    record.code ??= ResultCode.Ok
    this.admission.noteEnd(record.code, record.priority ?? LEAST_URGENT)
    record.totalMilliseconds = this.parts.clock.sinceStart() - record.receivedAt
    this.parts.onRecord(record)
  }

  private retryBudget(service: string): FleetRetryBudget {
    const known = this.retryBudgets.get(service)
    if (known !== undefined) return known
    const created = new FleetRetryBudget(this.parts.retryBounds)
    this.retryBudgets.set(service, created)
    return created
  }
}

/** The parts of a request besides its body that are forwarded. */
function forwardedParts({ method = 'GET', url = '/', rawHeaders }: IncomingMessage) {
  return { method, path: url, rawHeaders }
}

function noteMatch(record: GatewayRecord, { routes, route, team }: MatchedRequest): void {
  record.configurationVersion = routes.version
  record.route = route?.name
  record.team = team?.name
  record.priority = team?.priority ?? route?.priority
}

/** The rank that load shedding gives a request: its priority and the number of answer tokens it may take. */
function workRankOf({ team, route, metadata }: IdentifiedRequest): ShedRank {
  const priority = team?.priority ?? route.priority
  return { priority, answerTokens: metadata.tokens?.maximumOutput ?? 0 }
}

/**
 * Returns a key that is the same whenever a caller sends the same request, from what is known before its body
 * is read. Undefined for requests without a prompt, since many of them are alike.
 */
function returnKeyOf({ metadata, team }: IdentifiedRequest, path: string): string | undefined {
  const { tokens, promptParts } = metadata
  if (tokens === undefined || promptParts.length === 0) return undefined
  const parts = promptParts.map(({ id }) => id).join(' ')
  return [team?.name, path, tokens.prompt, tokens.maximumOutput, parts].join(' ')
}
