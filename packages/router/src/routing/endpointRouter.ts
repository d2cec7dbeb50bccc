/**
 * Makes the routing decision of each attempt: collects the views of the usable endpoints, lets the
 * routing policy choose one and records the compared scores. A request that may be crash-inducing
 * is isolated instead (all instances send it to the same endpoint), and a request that is known to
 * be crash-inducing is refused. Also chooses the engine that continues an interrupted answer.
 */

import { rendezvousChoice, chooseIsolationEndpoint } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { EndpointId, RandomSource, SoftwareVersion } from '@rackwalk/shared'
import type { RoutingRecord } from '../decisionRecord.js'
import type { CrashGuard } from '../crashes/crashGuard.js'
import { messageKeys, requestVerdict } from '../crashes/requestVerdict.js'
import type { ParsedRequest } from '../filters/stages.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { EndpointTable } from './endpointTable.js'
import type { EndpointView } from './endpointView.js'
import type { PrefixHash } from './prefixIndex.js'
import { noCandidateError, refusalByAdvice } from './noCandidate.js'
import { prefixHashes } from './prefixIndex.js'
import type { RoutingPolicy } from './routingPolicy.js'
import { LeastInFlightPolicy, createRoutingPolicy } from './routingPolicy.js'

/** Dependencies of an endpoint router. */
export interface EndpointRouterParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly random: RandomSource
  /** Returns the number of instances that send to the same endpoints. */
  readonly instances: () => number
  readonly crashes: CrashGuard
  /** Called once for each decision, for the log. */
  readonly onDecision: (request: ParsedRequest, decision: RoutingRecord) => void
}

/** Policy name in the record of a request that is isolated because it may be crash-inducing. */
const ISOLATING_POLICY = 'isolated'
/** Policy name in the record of an engine that is to continue an answer of another engine. */
const CONTINUING_POLICY = 'continued'

/** Endpoints that the request has been sent to. */
export interface AttemptHistory {
  readonly tried: ReadonlySet<EndpointId>
  /** Endpoints at which the first attempt of the request failed and that were not tried again. */
  readonly resetOnce: ReadonlySet<EndpointId>
}

const NOT_TRIED: AttemptHistory = { tried: new Set(), resetOnce: new Set() }

type EndpointChoice = Pick<RoutingRecord, 'endpointId' | 'compared'>

/** Makes the routing decision for each attempt and adds it to the request's decision record. */
export class EndpointRouter {
  private readonly policies = new Map<string, RoutingPolicy>()
  private readonly leastInFlight = new LeastInFlightPolicy()

  constructor(private readonly parts: EndpointRouterParts) {}

  /**
   * Chooses the endpoint of the next attempt. Chooses among the endpoints that have not been tried
   * yet; only an isolated request may be sent to a tried endpoint again. Throws if no endpoint may
   * get the request, or if the request is known to be crash-inducing.
   */
  choose(request: ParsedRequest, tries: AttemptHistory = NOT_TRIED): RoutingRecord {
    const { tried } = tries
    const hashes = request.call.kind === 'chat' ? prefixHashes(request.call.chat.prompt) : []
    const candidates = this.candidates(request, hashes)
    const untried = candidates.filter(view => !tried.has(view.endpointId))
    const isolated = this.isolate(request, candidates, tries)
    if (isolated !== undefined)
      return this.recordDecision(request, ISOLATING_POLICY, isolated, hashes)
    const policy = this.policyFor(request)
    const choice = policy.choose(
      this.withoutSuspects(untried),
      this.demandOf(request),
      this.parts.random,
    )
    if (choice === undefined) throw noCandidateError(this.parts, request)
    return this.recordDecision(request, policy.name, choice, hashes)
  }

  /**
   * Chooses the engine that continues an interrupted answer, among those that support continuation
   * and run the same software version. Rendezvous hashing of the request's fingerprint selects the
   * engine, as for a request that may be crash-inducing. Undefined if there is no such engine, or
   * if the request has no fingerprint or is known to be crash-inducing.
   */
  chooseForContinuation(
    request: ParsedRequest,
    tried: ReadonlySet<EndpointId>,
    softwareVersion: SoftwareVersion,
  ): RoutingRecord | undefined {
    const { crashFingerprint } = request
    if (crashFingerprint === undefined) return undefined
    if (requestVerdict(this.parts.crashes, request) === 'refuse') return undefined
    const ids = this.candidates(request, [])
      .map(({ endpointId }) => endpointId)
      .filter(endpointId => !tried.has(endpointId))
      .filter(endpointId => this.continues(endpointId, softwareVersion))
    const endpointId = rendezvousChoice(crashFingerprint, ids)
    if (endpointId === undefined) return undefined
    return this.recordDecision(request, CONTINUING_POLICY, { endpointId, compared: [] }, [])
  }

  private continues(endpointId: EndpointId, softwareVersion: SoftwareVersion): boolean {
    const { catalogue } = this.parts
    if (catalogue.softwareVersionOf(endpointId) !== softwareVersion) return false
    const spec = catalogue.findEndpoint(endpointId)?.spec
    return spec?.kind === 'model' && spec.continuesAnswers === true
  }

  /**
   * Returns why no endpoint, tried or not, may get the request now: the request is known to be
   * crash-inducing, or the endpoints' advice refuses the request. Undefined if an endpoint may get
   * the request, or if no endpoint exists.
   */
  refusalFor(request: ParsedRequest): NotRunError | undefined {
    const endsEndpoints = requestVerdict(this.parts.crashes, request) === 'refuse'
    if (endsEndpoints) return new NotRunError(ResultCode.EndsEndpoints)
    if (this.candidates(request, []).length > 0) return undefined
    return refusalByAdvice(this.parts, request)
  }

  /**
   * Chooses the endpoint to which all instances send a request that may be crash-inducing.
   * Undefined if the request is not suspect or no endpoint is suitable. Throws if the request is
   * known to be crash-inducing.
   */
  private isolate(
    request: ParsedRequest,
    candidates: readonly EndpointView[],
    tries: AttemptHistory,
  ): EndpointChoice | undefined {
    const { crashFingerprint } = request
    const verdict = requestVerdict(this.parts.crashes, request)
    if (verdict === 'refuse') throw new NotRunError(ResultCode.EndsEndpoints)
    if (verdict === 'send') return undefined
    const { crashes } = this.parts
    // All chats that contain the same suspect message share one isolation key, so that they are
    // sent to the same endpoint and crash at most that endpoint.
    const subject =
      crashes.promptParts.isolationKey(messageKeys(crashes, request)) ?? crashFingerprint
    if (subject === undefined) return undefined
    const ids = candidates.map(({ endpointId }) => endpointId)
    const endpointId = chooseIsolationEndpoint(subject, ids, {
      ...tries,
      isSuspect: candidate => crashes.isEndpointSuspect(candidate),
    })
    return endpointId === undefined ? undefined : { endpointId, compared: [] }
  }

  /**
   * Returns the endpoints without those that are being probed for a crash, or all of them if no
   * others are left.
   */
  private withoutSuspects(untried: readonly EndpointView[]): readonly EndpointView[] {
    const { crashes } = this.parts
    const trusted = untried.filter(({ endpointId }) => !crashes.isEndpointSuspect(endpointId))
    return trusted.length > 0 ? trusted : untried
  }

  private recordDecision(
    request: ParsedRequest,
    policy: string,
    choice: EndpointChoice,
    hashes: readonly PrefixHash[],
  ): RoutingRecord {
    if (hashes.length > 0) this.parts.endpoints.prefixes.noteSent(choice.endpointId, hashes)
    const record: RoutingRecord = { policy, outcome: 'sent', ...choice }
    request.record.routing.push(record)
    this.parts.onDecision(request, record)
    return record
  }

  private candidates(
    request: ParsedRequest,
    hashes: readonly PrefixHash[],
  ): readonly EndpointView[] {
    const { call } = request
    return call.kind === 'chat'
      ? this.parts.endpoints.modelCandidates(call.chat.modelId, hashes)
      : this.parts.endpoints.serviceCandidates(call.service)
  }

  private demandOf({ call }: ParsedRequest) {
    const promptTokens = call.kind === 'chat' ? call.chat.promptTokenEstimate : 0
    return { promptTokens, instances: this.parts.instances() }
  }

  private policyFor(request: ParsedRequest): RoutingPolicy {
    if (request.call.kind === 'service') return this.leastInFlight
    const { policy: name } = this.parts.catalogue.policyFor(request.target)
    const known = this.policies.get(request.target)
    if (known?.name === name) return known
    const created = createRoutingPolicy(name)
    this.policies.set(request.target, created)
    return created
  }
}
