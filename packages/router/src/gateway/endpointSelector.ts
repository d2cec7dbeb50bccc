/**
 * Chooses the endpoint of each attempt at one request: collects the state of the endpoints that may be sent a
 * request now and applies the rules. Owns the reason why no endpoint was chosen and the verdict on the
 * request at the newest choice.
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

/** Dependencies of a selector. */
export interface EndpointSelectorParts {
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

/** The part of a request that a choice depends on. */
export interface ChoosingRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly team: string | undefined
  readonly path: string
  readonly body: Buffer
  readonly record: GatewayRecord
}

/** Constraints that earlier attempts put on a choice. */
export interface SelectionConstraints {
  /** Starts to which the request was sent. */
  readonly tried: ReadonlySet<EndpointStart>
  /** Software version that must give the answer; undefined if any may. */
  readonly softwareVersion: SoftwareVersion | undefined
}

/** A chosen endpoint with its score. */
export interface ChosenEndpoint {
  readonly endpoint: EndpointState
  readonly score: number
  /** Number of endpoints that were compared. */
  readonly compared: number
}

/** Chooses endpoints for one request. */
export class EndpointSelector {
  /** Quarantine verdict on the request as of the newest choice. */
  verdict: QuarantineVerdict = 'send'
  /**
   * Why no endpoint was chosen; undefined if one was, or if the outcome of an attempt is the better reason.
   */
  noChoice: NoEndpointReason | undefined
  /** Prefix of the fingerprint: everything that is known without the body. */
  private readonly scope: string

  constructor(
    private readonly parts: EndpointSelectorParts,
    private readonly request: ChoosingRequest,
    private readonly constraints: SelectionConstraints,
  ) {
    this.scope = requestScope(request)
  }

  /** Returns the best endpoint, or undefined if none may take the request. */
  choose(mayHaveRun: boolean): ChosenEndpoint | undefined {
    const { tried } = this.constraints
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

  /**
   * Every endpoint rejected the request. Records why no other endpoint may be tried, so that the caller knows
   * when to retry.
   */
  noteAllRejected(): void {
    const { available } = this
    const why = this.noChoiceReason(
      available,
      available.filter(({ hasRoom }) => hasRoom),
    )
    const hasOpen = available.some(endpoint => this.parts.permits.allows(endpoint))
    if (why.kind === 'none-permitted' && !hasOpen) this.noChoice = why
  }

  /** Whether an untried endpoint may be sent the request now. */
  get hasUntried(): boolean {
    return this.available.some(
      endpoint => !this.constraints.tried.has(endpoint.start) && this.mayReceive(endpoint),
    )
  }

  /** Endpoints of the service that may give the answer or the rest of it. */
  private get available(): readonly EndpointState[] {
    const { softwareVersion } = this.constraints
    const all = this.parts.directory.available(this.request.service.name)
    if (softwareVersion === undefined) return all
    return all.filter(({ record }) => record.softwareVersion === softwareVersion)
  }

  /** Whether the request may be suspected, judged by what is known without its body. */
  get isSuspect(): boolean {
    return this.parts.crashes.hasSuspectsInScope(this.scope)
  }

  /** Keys of the prompt parts; empty while no part is suspected. */
  get promptPartKeys(): readonly PromptPartKey[] {
    const { service, metadata } = this.request
    const { promptParts } = metadata
    return this.parts.crashes.promptParts.keysOf({ service: service.name, promptParts })
  }

  /** The verdict on the request itself or on a part of its prompt, whichever is stricter. */
  private get currentVerdict(): QuarantineVerdict {
    const { crashes } = this.parts
    const ofRequest = this.isSuspect ? crashes.verdict(this.fingerprint) : 'send'
    return strictestVerdict(ofRequest, crashes.promptParts.verdict(this.promptPartKeys))
  }

  /** Identifies the request, whichever try of it this is. */
  get fingerprint(): RequestFingerprint {
    const { path, team, body, record } = this.request
    record.fingerprint ??= requestFingerprint({ path, team, body })
    return record.fingerprint
  }

  /** The request is sent to an endpoint that may reject it. */
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

  /** The endpoints without those to which this instance has lost its links. */
  private withoutUnreachable(open: readonly EndpointState[]): readonly EndpointState[] {
    const unreached = this.parts.links.unreachableEndpoints(this.request.service.name)
    return open.filter(endpoint => !unreached.has(endpoint))
  }

  /** The endpoints without those that are probed for a crash, if others are left. */
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

  /** The endpoint to which all instances send a suspected request. */
  private chooseIsolated(open: readonly EndpointState[]): ChosenEndpoint | undefined {
    const ids = open.map(({ record }) => record.id)
    // All requests that contain the same suspected part cost one endpoint together.
    const part = this.parts.crashes.promptParts.isolationKey(this.promptPartKeys)
    const id = rendezvousChoice(part ?? this.fingerprint, ids)
    const endpoint = open.find(({ record }) => record.id === id)
    return endpoint && { endpoint, score: 0, compared: open.length }
  }

  /** Why no endpoint was open, given the available endpoints and those of them that have room. */
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

  /** A pause never harms callers that accept any pause. */
  private get pauseStretch(): number | undefined {
    const { route, service } = this.request
    if (route.pauseGoalMilliseconds === undefined) return 0
    return this.parts.fleetLoad.pauses.stretchOf(service.name)
  }
}
