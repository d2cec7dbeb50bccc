/**
 * Keeps the listed endpoints of all services, and ends or probes open exchanges when an endpoint
 * terminates or may have. Owns which endpoints exist, which failure domains are evacuated (get no new
 * requests), and the timers of lapsed entries: entries that are missing from the list and may reappear.
 */

import { baselineEventInterval, provesTakeover, slownessFactor } from '@rackwalk/decisions'
import { UNKNOWN_SOFTWARE_VERSION, asId } from '@rackwalk/shared'
import type {
  Clock,
  EndpointId,
  EndpointStart,
  Milliseconds,
  SoftwareVersion,
  Timer,
} from '@rackwalk/shared'
import { ExchangeTerminator } from './exchangeTerminator.js'
import { EndpointState } from './endpointState.js'
import type { EndpointRecord } from './endpointState.js'
import type { InstanceLoad } from './peerLoads.js'
import { startStateProbe } from './stateProbe.js'
import type { StateProbe } from './stateProbe.js'

/**
 * Share of an endpoint's connections that all instances together use; the rest covers instances that briefly
 * disagree about their number.
 */
const CONNECTION_SHARE = 0.85

/** Dependencies and callbacks of a directory. */
export interface EndpointDirectoryParts {
  readonly clock: Clock
  /** Number of instances that share the endpoints' connections. */
  readonly instances: () => number
  /** Connections that one endpoint of a service accepts. */
  readonly maximumConnections: (service: string) => number
  /** How long endpoints of a service stay cold after a start; 0 if they never are. */
  readonly coldMilliseconds: (service: string) => Milliseconds
  /** Whether one run (start) of an endpoint announced in an answer that it leaves. */
  readonly hasAnnouncedLeaving?: (start: EndpointStart) => boolean
  /** An endpoint's entry changed; `change` describes how, for the log. */
  readonly onChange: (endpoint: EndpointRecord, change: string) => void
  /** A start was replaced: another one is listed under its id. */
  readonly onReplaced?: (start: EndpointStart) => void
  /** Probes the state at IP:PORT and a path; over the network by default. */
  readonly ask?: (address: string, path: string) => StateProbe
}

/** Time for which a service's baseline event interval is reused. The interval changes only within seconds. */
const BASELINE_MILLISECONDS = 200

interface CachedBaseline {
  readonly pace: Milliseconds | undefined
  readonly at: Milliseconds
}

/** The listed endpoints and those whose entries lapsed. */
export class EndpointDirectory {
  private readonly endpoints = new Map<string, EndpointState>()
  /** Endpoints whose entries are missing and may reappear. */
  private readonly lapsed = new Map<string, Timer>()
  /** Evacuated failure domains, whose endpoints get no new requests. */
  private readonly evacuated = new Set<string>()
  /** Event interval of a usual endpoint, by service. */
  private readonly baselineIntervals = new Map<string, CachedBaseline>()

  /** Ends open exchanges with endpoints that have terminated. */
  private readonly terminator: ExchangeTerminator

  constructor(private readonly parts: EndpointDirectoryParts) {
    this.terminator = new ExchangeTerminator({
      clock: parts.clock,
      ask: parts.ask ?? startStateProbe,
    })
  }

  /** An endpoint was listed, or its record changed. */
  set(record: EndpointRecord): void {
    this.endLapse(record.id)
    const known = this.endpoints.get(record.id)
    if (known === undefined) {
      this.parts.onChange(record, record.isLeaving ? 'listed as leaving' : 'listed')
      this.endpoints.set(record.id, this.createState(record))
      return
    }
    if (isOtherStart(known.record, record)) return this.replace(known, record)
    if (record.isLeaving && !known.record.isLeaving) this.parts.onChange(record, 'leaving')
    if (record.coldMilliseconds > 0 && !known.isCold) this.parts.onChange(record, 'cold')
    known.update(record)
  }

  /** An endpoint restarted under its id. Nothing known of the earlier start applies to the new one. */
  private replace(known: EndpointState, record: EndpointRecord): void {
    this.unlist(record.id)
    known.hasEnded = true
    this.terminator.noteTerminated(known, 'replaced')
    this.parts.onReplaced?.(known.record.start)
    this.parts.onChange(record, 'started again')
    this.endpoints.set(record.id, this.createState(record))
  }

  /**
   * Evacuates or restores a failure domain. No new request is sent to the endpoints of an evacuated domain;
   * requests that run there continue. When a domain is restored, its endpoints may have turned cold while no
   * request was sent to them, and their rows show that up to a heartbeat later. So they count as cold for the
   * time that their service needs to warm up.
   */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuated.add(failureDomain)
    else if (this.evacuated.delete(failureDomain)) this.assumeCold(failureDomain)
  }

  private assumeCold(failureDomain: string): void {
    for (const endpoint of this.endpoints.values()) {
      const { record } = endpoint
      if (record.failureDomain !== failureDomain) continue
      endpoint.assumeCold(this.parts.coldMilliseconds(record.service))
    }
  }

  /** Requests of this instance that still run in evacuated failure domains. */
  get runningInEvacuated(): number {
    return [...this.endpoints.values()]
      .filter(({ record }) => this.evacuated.has(record.failureDomain))
      .reduce((sum, { running }) => sum + running, 0)
  }

  /** Number of endpoints that currently accept only few requests. */
  get coldCount(): number {
    return [...this.endpoints.values()].filter(({ isCold }) => isCold).length
  }

  /**
   * The endpoint's address refused a request as misdirected. `refusedBy` is the id of the server that did, if
   * it names itself.
   */
  noteMisdirected(endpoint: EndpointState, refusedBy: EndpointId | undefined): void {
    const { record, wasMisdirected } = endpoint
    endpoint.wasMisdirected = true
    const id = asId<EndpointId>(record.id)
    if (provesTakeover({ refusedBy, endpoint: id, wasMisdirected })) this.noteEnded(record)
  }

  /**
   * Another endpoint answers at this endpoint's address, so this start has terminated and gets no further
   * request. While the store is unreachable, the list shows the termination only seconds later.
   */
  noteEnded({ id, start }: Pick<EndpointRecord, 'id' | 'start'>): void {
    const known = this.endpoints.get(id)
    // A late report about an earlier start does not apply to the current one.
    if (known === undefined || known.hasEnded || known.record.start !== start) return
    known.hasEnded = true
    this.terminator.noteTerminated(known, 'misdirected')
    this.parts.onChange(known.record, 'replaced')
  }

  /**
   * This start has terminated or its engine does not respond, as this or another instance found or a stored
   * record says.
   */
  noteUnreachable(start: EndpointStart): void {
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.record.start === start) endpoint.noteUnreachable()
    }
  }

  /**
   * The engine of this start does not respond while its address accepts connections, as probes of this or
   * another instance found.
   */
  noteUnresponsive(start: EndpointStart): void {
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.record.start === start) this.terminator.noteSuspicion(endpoint, 'away')
    }
  }

  /**
   * An endpoint interrupted an answer. The interruption does not prove that the endpoint has terminated, so
   * the endpoint is probed before other exchanges are ended. An endpoint whose shutdown is planned is not.
   */
  noteInterrupted(endpoint: EndpointState): void {
    if (!endpoint.isPlannedShutdown) this.terminator.noteSuspicion(endpoint, 'broke-off')
  }

  /**
   * An endpoint is no longer listed. Its running requests may finish, unless a probe shows that it has
   * terminated. An endpoint that announced its shutdown is not probed.
   */
  remove(id: string): void {
    const known = this.unlist(id)
    if (known !== undefined && !known.isLeaving) this.terminator.noteSuspicion(known, 'unlisted')
  }

  private unlist(id: string): EndpointState | undefined {
    this.endLapse(id)
    const known = this.endpoints.get(id)
    if (known === undefined) return undefined
    this.endpoints.delete(id)
    known.isListed = false
    this.parts.onChange(known.record, 'gone')
    if (known.running === 0) known.close()
    return known
  }

  /**
   * The entry of an endpoint is missing. The endpoint is removed unless it is listed again within this time.
   */
  removeAfter(id: string, milliseconds: Milliseconds): void {
    const known = this.endpoints.get(id)
    if (known === undefined || this.lapsed.has(id)) return
    if (milliseconds <= 0) return this.remove(id)
    this.parts.onChange(known.record, 'lapsed')
    this.lapsed.set(
      id,
      this.parts.clock.after(milliseconds, () => this.remove(id)),
    )
  }

  get ids(): readonly string[] {
    return [...this.endpoints.keys()]
  }

  /**
   * Endpoints of a service to which new requests may be sent: neither leaving, terminated nor unreachable,
   * and not in an evacuated failure domain.
   */
  available(service: string): readonly EndpointState[] {
    return this.listed(service).filter(({ isUnreachable }) => !isUnreachable)
  }

  /** Like `available`, including endpoints that count as unreachable. */
  listed(service: string): readonly EndpointState[] {
    return [...this.endpoints.values()].filter(endpoint => {
      const { record, hasEnded, isLeaving } = endpoint
      if (record.service !== service || isLeaving) return false
      return !hasEnded && !this.evacuated.has(record.failureDomain)
    })
  }

  /** Endpoints of all other services that are not known to have terminated. */
  listedElsewhere(service: string): readonly EndpointState[] {
    return [...this.endpoints.values()].filter(endpoint => {
      return endpoint.service !== service && !endpoint.hasEnded
    })
  }

  /** Factor by which an endpoint is slower than usual for its service; at least 1. */
  slownessOf(endpoint: EndpointState): number {
    if (endpoint.eventIntervalMilliseconds === undefined) return 1
    return slownessFactor(
      endpoint.eventIntervalMilliseconds,
      this.baselineInterval(endpoint.record.service),
    )
  }

  private baselineInterval(service: string): Milliseconds | undefined {
    const now = this.parts.clock.monotonic()
    const known = this.baselineIntervals.get(service)
    if (known !== undefined && now - known.at < BASELINE_MILLISECONDS) return known.pace
    const paces = this.available(service).flatMap(
      ({ eventIntervalMilliseconds }) => eventIntervalMilliseconds ?? [],
    )
    const pace = baselineEventInterval(paces)
    this.baselineIntervals.set(service, { pace, at: now })
    return pace
  }

  /** Software versions of the listed endpoints of a service, including endpoints that are leaving. */
  softwareVersions(service: string): ReadonlySet<SoftwareVersion> {
    const versions = new Set<SoftwareVersion>()
    for (const { record } of this.endpoints.values()) {
      if (record.service === service) versions.add(record.softwareVersion)
    }
    return versions
  }

  get size(): number {
    return this.endpoints.size
  }

  startOf(id: string): EndpointStart | undefined {
    return this.endpoints.get(id)?.record.start
  }

  serviceOf(id: string): string | undefined {
    return this.endpoints.get(id)?.record.service
  }

  /**
   * Requests in progress from this instance, by endpoint of the wanted services; idle endpoints are left
   * out.
   */
  loads(isWanted: (service: string) => boolean): ReadonlyMap<string, InstanceLoad> {
    const loads = new Map<string, InstanceLoad>()
    for (const [id, { running, pendingTokens, record }] of this.endpoints) {
      if (running > 0 && isWanted(record.service)) loads.set(id, { running, pendingTokens })
    }
    return loads
  }

  private endLapse(id: string): void {
    this.lapsed.get(id)?.cancel()
    this.lapsed.delete(id)
  }

  private createState(record: EndpointRecord): EndpointState {
    const limit = () => {
      const all = this.parts.maximumConnections(record.service) * CONNECTION_SHARE
      return Math.max(1, Math.floor(all / Math.max(1, this.parts.instances())))
    }
    return new EndpointState(record, this.parts.clock, limit, this.parts.hasAnnouncedLeaving)
  }
}

/**
 * Whether two records describe different runs of an endpoint. A running process does not change its software,
 * so another known version means another start, even if the platform reports no start time.
 */
function isOtherStart(before: EndpointRecord, after: EndpointRecord): boolean {
  if (before === after) return false
  const versions = [before.softwareVersion, after.softwareVersion]
  const areVersionsKnown = !versions.includes(UNKNOWN_SOFTWARE_VERSION)
  const isOtherVersion = areVersionsKnown && before.softwareVersion !== after.softwareVersion
  return before.start !== after.start || isOtherVersion
}
