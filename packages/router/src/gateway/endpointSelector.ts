/**
 * Chooses the endpoint of each attempt at one request. Leaves out endpoints that were tried, that have no
 * free connection, that may not be sent a request now, or to which this instance has lost its links; ranks
 * the others by load, or sends a request that may crash endpoints to one endpoint for all instances
 * (isolates it). The rules are in packages/decisions. Owns the reason why no endpoint was chosen and the
 * quarantine verdict on the request at the newest choice.
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
import type { StreamOrigins } from '../streams/streamOrigins.js'
import { startableEndpoints } from './streamStart.js'

/** Dependencies of a selector. */
export interface EndpointSelectorParts {
  readonly directory: EndpointDirectory
  readonly fleetLoad: FleetLoad
  readonly permits: SendAdmission
  readonly crashes: CrashGuard
  readonly links: LinkMonitor<EndpointState>
  readonly turnAways: RejectionGuard
  readonly streams: StreamOrigins
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
  /** Endpoint starts (runs of endpoints) that the request was attempted at. */
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
   * Why no endpoint was chosen. Set if the first choice found none, if the request was refused as
   * crash-inducing before it may have run, or if all endpoints rejected it; otherwise undefined, and the
   * outcome of the last attempt is the reason.
   */
  noChoice: NoEndpointReason | undefined
  /** Prefix of the fingerprint, which depends on team and path only and so is known without the body. */
  private readonly scope: string

  constructor(
    private readonly parts: EndpointSelectorParts,
    private readonly request: ChoosingRequest,
    private readonly constraints: SelectionConstraints,
  ) {
    this.scope = requestScope(request)
  }

  /**
   * Returns the best endpoint, or undefined if none may take the request. `mayHaveRun`: whether an earlier
   * attempt may have run the request.
   */
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
   * The newest attempt was rejected, and no attempt ran the request. If no available endpoint may be sent a
   * request now, records the shortest wait until one may, so that the caller knows when to retry.
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

  /**
   * Whether an untried endpoint may be sent the request now, leaving aside free connections and lost links.
   */
  get hasUntried(): boolean {
    return this.available.some(
      endpoint => !this.constraints.tried.has(endpoint.start) && this.mayReceive(endpoint),
    )
  }

  /**
   * Available endpoints of the service. Once an answer has begun, only those of the software version that
   * began it; before, a stream that may be resumed can only begin at some of them.
   */
  private get available(): readonly EndpointState[] {
    const { softwareVersion } = this.constraints
    const { route, service } = this.request
    const all = this.parts.directory.available(service.name)
    if (softwareVersion === undefined) {
      return route.isResumable ? startableEndpoints(this.parts.streams, all) : all
    }
    return all.filter(({ record }) => record.softwareVersion === softwareVersion)
  }

  /** Whether any request of the same team and path is suspected. Needs no body. */
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

  /** Identifies the request; equal for each try that the caller makes of it. */
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

  /** Returns the endpoints without those to which this instance has lost its links. */
  private withoutUnreachable(open: readonly EndpointState[]): readonly EndpointState[] {
    const unreachable = this.parts.links.unreachableEndpoints(this.request.service.name)
    return open.filter(endpoint => !unreachable.has(endpoint))
  }

  /** Returns the endpoints that are not suspected to have crashed, or all if each one is suspected. */
  private preferUnsuspected(open: readonly EndpointState[]): readonly EndpointState[] {
    const unsuspected = open.filter(({ start }) => !this.parts.crashes.isSuspect(start))
    return unsuspected.length > 0 ? unsuspected : open
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

  /**
   * Returns the endpoint that rendezvous hashing assigns to a suspected request. All instances with the same
   * open endpoints choose the same one.
   */
  private chooseIsolated(open: readonly EndpointState[]): ChosenEndpoint | undefined {
    const ids = open.map(({ record }) => record.id)
    // The part selects the endpoint, so that all requests that contain it crash at most this one.
    const part = this.parts.crashes.promptParts.isolationKey(this.promptPartKeys)
    const id = rendezvousChoice(part ?? this.fingerprint, ids)
    const endpoint = open.find(({ record }) => record.id === id)
    return endpoint && { endpoint, score: 0, compared: open.length }
  }

  /** Why no endpoint was chosen, given the available endpoints and those of them with a free connection. */
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

  /**
   * How long pauses during long prompts are, relative to the longest pause that the route accepts; 0 if the
   * route accepts any pause, undefined until observed.
   */
  private get pauseStretch(): number | undefined {
    const { route, service } = this.request
    if (route.pauseGoalMilliseconds === undefined) return 0
    return this.parts.fleetLoad.pauses.stretchOf(service.name)
  }
}
