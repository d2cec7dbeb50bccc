/**
 * The endpoints of all services, as they are listed. Owns which are there, which failure domains are being emptied,
 * and the timers of entries that lapsed.
 */

import { slownessFactor, baselineEventInterval } from '@rackwalk/decisions'
import { UNKNOWN_SOFTWARE_VERSION } from '@rackwalk/shared'
import type { Clock, EndpointStart, Milliseconds, SoftwareVersion, Timer } from '@rackwalk/shared'
import { ExchangeTerminator } from './exchangeTerminator.js'
import { EndpointState } from './endpointState.js'
import type { EndpointRecord } from './endpointState.js'
import type { InstanceLoad } from './peerLoads.js'
import { startStateProbe } from './stateProbe.js'
import type { StateProbe } from './stateProbe.js'

/** Share of an endpoint's connections that all instances together use; the rest covers instances
 * that count their number differently for a moment. */
const CONNECTION_SHARE = 0.85

/** What a directory works with. */
export interface EndpointDirectoryParts {
  readonly clock: Clock
  /** Instances that share the endpoints' connections. */
  readonly instances: () => number
  /** Connections that one endpoint of a service takes. */
  readonly maximumConnections: (service: string) => number
  /** How long endpoints of a service stay cold after a start; 0 where they never are. */
  readonly coldMilliseconds: (service: string) => Milliseconds
  /** Whether a start said in an answer that it leaves. */
  readonly saysLeaving?: (start: EndpointStart) => boolean
  readonly onChange: (endpoint: EndpointRecord, change: string) => void
  /** A start of an endpoint is over, since another one is listed under its id. */
  readonly onReplaced?: (start: EndpointStart) => void
  /** Asks at IP:PORT for the state under a path; over the network unless it is given. */
  readonly ask?: (address: string, path: string) => StateProbe
}

/** The usual pace of a service is reckoned anew after this time: it changes in seconds. */
const USUAL_PACE_MILLISECONDS = 200

interface KnownPace {
  readonly pace: Milliseconds | undefined
  readonly at: Milliseconds
}

/** All endpoints that are listed, and those that lapsed. */
export class EndpointDirectory {
  private readonly endpoints = new Map<string, EndpointState>()
  /** Endpoints whose entries are missing and may come back. */
  private readonly lapsed = new Map<string, Timer>()
  /** Failure domains to which nothing new may be sent. */
  private readonly evacuated = new Set<string>()
  /** Usual paces, by service. */
  private readonly usualPaces = new Map<string, KnownPace>()

  /** Ends what is open where nobody will answer. */
  private readonly ends: ExchangeTerminator

  constructor(private readonly parts: EndpointDirectoryParts) {
    this.ends = new ExchangeTerminator({ clock: parts.clock, ask: parts.ask ?? startStateProbe })
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

  /** An endpoint started again under its id: nothing that was believed of the start before holds. */
  private replace(known: EndpointState, record: EndpointRecord): void {
    this.takeOut(record.id)
    known.hasEnded = true
    this.ends.noteTerminated(known, 'replaced')
    this.parts.onReplaced?.(known.record.start)
    this.parts.onChange(record, 'started again')
    this.endpoints.set(record.id, this.createState(record))
  }

  /**
   * Nothing new is sent to the endpoints of a failure domain that is evacuated; what runs there goes on. When it
   * is restored, its endpoints may have turned cold while nobody sent there, which their rows tell up to a heartbeat
   * later: they count as cold until they would be warm.
   */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuated.add(failureDomain)
    else if (this.evacuated.delete(failureDomain)) this.suspectCold(failureDomain)
  }

  private suspectCold(failureDomain: string): void {
    for (const endpoint of this.endpoints.values()) {
      const { record } = endpoint
      if (record.failureDomain !== failureDomain) continue
      endpoint.assumeCold(this.parts.coldMilliseconds(record.service))
    }
  }

  /** Requests from here that still run in failure domains that are being emptied. */
  get runningInEvacuated(): number {
    return [...this.endpoints.values()]
      .filter(({ record }) => this.evacuated.has(record.failureDomain))
      .reduce((sum, { running }) => sum + running, 0)
  }

  /** Endpoints that bear only few requests at present. */
  get coldCount(): number {
    return [...this.endpoints.values()].filter(({ isCold }) => isCold).length
  }

  /**
   * Something else answers at the address of an endpoint: nothing more is sent there. While the
   * store is out of reach, the list tells of an end only seconds later.
   */
  noteEnded({ id, start }: Pick<EndpointRecord, 'id' | 'start'>): void {
    const known = this.endpoints.get(id)
    // What an earlier start is told late does not speak of the one that is there now.
    if (known === undefined || known.hasEnded || known.record.start !== start) return
    known.hasEnded = true
    this.ends.noteTerminated(known, 'misdirected')
    this.parts.onChange(known.record, 'replaced')
  }

  /** Nobody listens any more where this start of an endpoint did. */
  noteUnreachable(start: EndpointStart): void {
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.record.start === start) endpoint.noteUnreachable()
    }
  }

  /** The engine of this start is away while something listens for it, as looks here or elsewhere found. */
  noteUnresponsive(start: EndpointStart): void {
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.record.start === start) this.ends.noteSuspicion(endpoint, 'away')
    }
  }

  /** An endpoint broke an answer off that had begun: the others there are not told of its end by that. */
  noteInterrupted(endpoint: EndpointState): void {
    if (!endpoint.isPlannedShutdown) this.ends.noteSuspicion(endpoint, 'broke-off')
  }

  /** An endpoint is no longer listed; what runs there may end, unless nobody is there any more. */
  remove(id: string): void {
    const known = this.takeOut(id)
    if (known !== undefined && !known.isLeaving) this.ends.noteSuspicion(known, 'unlisted')
  }

  private takeOut(id: string): EndpointState | undefined {
    this.endLapse(id)
    const known = this.endpoints.get(id)
    if (known === undefined) return undefined
    this.endpoints.delete(id)
    known.isListed = false
    this.parts.onChange(known.record, 'gone')
    if (known.running === 0) known.close()
    return known
  }

  /** The entry of an endpoint is missing; unless it is listed again in time, the endpoint is gone. */
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

  /** Ids of all endpoints known here. */
  get ids(): readonly string[] {
    return [...this.endpoints.keys()]
  }

  /** Endpoints of a service to which new requests may go. */
  available(service: string): readonly EndpointState[] {
    return this.listed(service).filter(({ isUnreachable }) => !isUnreachable)
  }

  /** The same, those included where nobody listened a moment ago. */
  listed(service: string): readonly EndpointState[] {
    return [...this.endpoints.values()].filter(endpoint => {
      const { record, hasEnded, isLeaving } = endpoint
      if (record.service !== service || isLeaving) return false
      return !hasEnded && !this.evacuated.has(record.failureDomain)
    })
  }

  /** Endpoints of all other services. */
  listedElsewhere(service: string): readonly EndpointState[] {
    return [...this.endpoints.values()].filter(endpoint => {
      return endpoint.service !== service && !endpoint.hasEnded
    })
  }

  /** How many times as long as a usual endpoint of its service one takes for an answer; 1 or more. */
  slownessOf(endpoint: EndpointState): number {
    if (endpoint.pace === undefined) return 1
    return slownessFactor(endpoint.pace, this.usualPace(endpoint.record.service))
  }

  private usualPace(service: string): Milliseconds | undefined {
    const now = this.parts.clock.monotonic()
    const known = this.usualPaces.get(service)
    if (known !== undefined && now - known.at < USUAL_PACE_MILLISECONDS) return known.pace
    const paces = this.available(service).flatMap(({ pace }) => pace ?? [])
    const pace = baselineEventInterval(paces)
    this.usualPaces.set(service, { pace, at: now })
    return pace
  }

  /** Software versions of the endpoints of a service that are listed, those included that leave. */
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

  /** The start of a listed endpoint. */
  startOf(id: string): EndpointStart | undefined {
    return this.endpoints.get(id)?.record.start
  }

  /** The service of a listed endpoint. */
  serviceOf(id: string): string | undefined {
    return this.endpoints.get(id)?.record.service
  }

  /** What is in progress from here, by endpoint of such services; those with nothing are left out. */
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
    return new EndpointState(record, this.parts.clock, limit, this.parts.saysLeaving)
  }
}

/** Software does not change while it runs, so another version is another start, also where no time of the start is told. */
function isOtherStart(before: EndpointRecord, after: EndpointRecord): boolean {
  const versions = [before.softwareVersion, after.softwareVersion]
  const isVersionTold = !versions.includes(UNKNOWN_SOFTWARE_VERSION)
  const isOtherVersion = isVersionTold && before.softwareVersion !== after.softwareVersion
  return before.start !== after.start || isOtherVersion
}
