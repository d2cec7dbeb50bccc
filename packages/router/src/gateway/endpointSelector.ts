/**
 * Chooses the endpoint of each attempt at one request: collects what is known of those that may be sent something now,
 * and asks the rules. Owns why nothing was chosen, and what was believed of the request at the newest choice.
 */

import {
  rankEndpoints,
  rendezvousChoice,
  soonestRefusal,
  strictestVerdict,
} from '@rackwalk/decisions'
import type { QuarantineVerdict, NoEndpointReason } from '@rackwalk/decisions'
import type {
  Clock,
  EndpointStart,
  PromptPartKey,
  RandomSource,
  RequestFingerprint,
  SoftwareVersion,
} from '@rackwalk/shared'
import type { SendAdmission } from '../advice/sendAdmission.js'
import type { EndpointOccupancy, RejectionGuard } from '../advice/rejectionGuard.js'
import type { CrashGuard } from '../crashes/crashGuard.js'
import { requestFingerprint, requestScope } from '../crashes/requestFingerprint.js'
import type { RequestMetadata } from './dialect.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import { sharedPartOf, snapshotEndpoint } from './endpointSnapshots.js'
import type { EndpointState } from './endpointState.js'
import type { FleetLoad } from './fleetLoad.js'
import type { GatewayRoute, GatewayService } from './gatewayConfiguration.js'
import type { GatewayRecord } from './gatewayRecord.js'
import type { LinkMonitor } from '../routing/linkMonitor.js'

/** What a choice rests on. */
export interface AttemptChoiceParts {
  readonly directory: EndpointDirectory
  readonly fleetLoad: FleetLoad
  readonly permits: SendAdmission
  readonly crashes: CrashGuard
  readonly links: LinkMonitor<EndpointState>
  readonly turnAways: RejectionGuard
  readonly clock: Clock
  readonly random: RandomSource
  readonly failureDomain: string
}

/** What a choice looks at of its request. */
export interface ChoosingRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly team: string | undefined
  readonly path: string
  readonly body: Buffer
  readonly record: GatewayRecord
}

/** What the attempts so far leave to choose. */
export interface SelectionConstraints {
  /** Starts that the request was sent to. */
  readonly tried: ReadonlySet<EndpointStart>
  /** The software version that the answer is bound to; undefined where any may give it. */
  readonly softwareVersion: SoftwareVersion | undefined
}

/** The endpoint that was chosen, and how. */
export interface ChosenEndpoint {
  readonly endpoint: EndpointState
  readonly score: number
  /** Endpoints that were compared. */
  readonly compared: number
}

/** The choices for one request. */
export class EndpointSelector {
  /** What is believed of the request, as of the newest choice. */
  verdict: QuarantineVerdict = 'send'
  /** Why nothing was chosen; undefined where something was, or where an attempt tells more. */
  noChoice: NoEndpointReason | undefined
  /** What the fingerprint begins with: all that is known without the body. */
  private readonly scope: string

  constructor(
    private readonly parts: AttemptChoiceParts,
    private readonly request: ChoosingRequest,
    private readonly bounds: SelectionConstraints,
  ) {
    this.scope = requestScope(request)
  }

  /** The best endpoint, or undefined where none may take the request. */
  choose(mayHaveRun: boolean): ChosenEndpoint | undefined {
    const { tried } = this.bounds
    const { available } = this
    const free = available.filter(({ hasRoom, start }) => hasRoom && !tried.has(start))
    const open = this.withoutUnreachable(free.filter(endpoint => this.mayReceive(endpoint)))
    this.verdict = this.currentVerdict
    if (this.verdict === 'refuse') {
      if (!mayHaveRun) this.noChoice = { kind: 'crashing' }
      return undefined
    }
    const isIsolated = this.verdict === 'isolate' && open.length > 0
    const chosen = isIsolated
      ? this.chooseIsolated(open)
      : this.chooseBest(available, this.preferUnsuspected(open))
    const isFirst = tried.size === 0
    if (chosen === undefined && isFirst) this.noChoice = this.noChoiceReason(available, free)
    return chosen
  }

  /** All that it was sent to turned it away: why no other one may be asked, for its caller to know when to return. */
  noteAllRejected(): void {
    const { available } = this
    const why = this.noChoiceReason(
      available,
      available.filter(({ hasRoom }) => hasRoom),
    )
    const hasOpen = available.some(endpoint => this.parts.permits.allows(endpoint))
    if (why.kind === 'none-permitted' && !hasOpen) this.noChoice = why
  }

  /** Whether an endpoint that was not tried may be sent something now. */
  get hasUntried(): boolean {
    return this.available.some(
      endpoint => !this.bounds.tried.has(endpoint.start) && this.mayReceive(endpoint),
    )
  }

  /** Endpoints of the service that may give the answer, or the rest of it. */
  private get available(): readonly EndpointState[] {
    const { softwareVersion } = this.bounds
    const all = this.parts.directory.available(this.request.service.name)
    if (softwareVersion === undefined) return all
    return all.filter(({ record }) => record.softwareVersion === softwareVersion)
  }

  /** Whether the request may be suspected of ending endpoints, by what is known of it without its body. */
  get isSuspect(): boolean {
    return this.parts.crashes.hasSuspectsInScope(this.scope)
  }

  /** Keys of the parts of its prompt, where anything is held against any part. */
  get promptPartKeys(): readonly PromptPartKey[] {
    const { service, metadata } = this.request
    const { promptParts } = metadata
    return this.parts.crashes.promptParts.keysOf({ service: service.name, promptParts })
  }

  /** By the request itself, or by a part of its prompt. */
  private get currentVerdict(): QuarantineVerdict {
    const { crashes } = this.parts
    const ofRequest = this.isSuspect ? crashes.verdict(this.fingerprint) : 'send'
    return strictestVerdict(ofRequest, crashes.promptParts.verdict(this.promptPartKeys))
  }

  /** What the request is, apart from this try of it. */
  get fingerprint(): RequestFingerprint {
    const { path, team, body, record } = this.request
    record.fingerprint ??= requestFingerprint({ path, team, body })
    return record.fingerprint
  }

  /** Something is sent to an endpoint that may turn it away. */
  noteSent(endpoint: EndpointState): void {
    this.parts.turnAways.noteSent(this.occupancyOf(endpoint))
  }

  private mayReceive(endpoint: EndpointState): boolean {
    const { permits, turnAways } = this.parts
    return permits.allows(endpoint) && turnAways.allows(this.occupancyOf(endpoint))
  }

  private occupancyOf({ record, running }: EndpointState): EndpointOccupancy {
    const { id, start, service, slots } = record
    const all = running + this.parts.fleetLoad.ofPeers(id).running
    return { start, service, slots, running: all }
  }

  /** Without those to which this instance has lost its links. */
  private withoutUnreachable(open: readonly EndpointState[]): readonly EndpointState[] {
    const unreached = this.parts.links.unreachableEndpoints(this.request.service.name)
    return open.filter(endpoint => !unreached.has(endpoint))
  }

  /** Without those at which it is looked whether they have ended, where others are left. */
  private preferUnsuspected(open: readonly EndpointState[]): readonly EndpointState[] {
    const trusted = open.filter(({ start }) => !this.parts.crashes.isSuspect(start))
    return trusted.length > 0 ? trusted : open
  }

  private chooseBest(
    available: readonly EndpointState[],
    open: readonly EndpointState[],
  ): ChosenEndpoint | undefined {
    const { fleetLoad, clock, random, failureDomain } = this.parts
    const { metadata } = this.request
    const now = clock.monotonic()
    const ranked = rankEndpoints({
      open: open.map(endpoint => snapshotEndpoint(endpoint, fleetLoad, metadata, now)),
      serviceIds: available.map(({ record }) => record.id),
      sharedPartId: sharedPartOf(metadata),
      answerTokens: metadata.tokens?.maximumOutput ?? 0,
      pauseStretch: this.pauseStretch,
      failureDomain,
      chance: random.next(),
    })
    const [best] = ranked
    const endpoint = open.find(({ record }) => record.id === best?.id)
    if (best === undefined || endpoint === undefined) return undefined
    return { endpoint, score: best.score, compared: ranked.length }
  }

  /** The one among these at which all instances try a suspected request. */
  private chooseIsolated(open: readonly EndpointState[]): ChosenEndpoint | undefined {
    const ids = open.map(({ record }) => record.id)
    // All requests that hold the same suspected part cost one endpoint together.
    const part = this.parts.crashes.promptParts.isolationKey(this.promptPartKeys)
    const id = rendezvousChoice(part ?? this.fingerprint, ids)
    const endpoint = open.find(({ record }) => record.id === id)
    return endpoint && { endpoint, score: 0, compared: open.length }
  }

  /** Why nothing was open, given the endpoints that are available and those of them that are not full. */
  private noChoiceReason(
    available: readonly EndpointState[],
    free: readonly EndpointState[],
  ): NoEndpointReason {
    if (available.length === 0) return { kind: 'none-listed' }
    const { permits, random } = this.parts
    const refusal = soonestRefusal(free.flatMap(endpoint => permits.refusalOf(endpoint) ?? []))
    if (refusal === undefined) return { kind: 'none-with-room' }
    return { kind: 'none-permitted', refusal, chance: random.next() }
  }

  /** Callers that accept any pause are harmed by none. */
  private get pauseStretch(): number | undefined {
    const { route, service } = this.request
    if (route.pauseGoalMilliseconds === undefined) return 0
    return this.parts.fleetLoad.pauses.stretchOf(service.name)
  }
}
