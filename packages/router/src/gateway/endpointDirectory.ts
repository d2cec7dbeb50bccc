/**
 * The endpoints of all services, with what this instance knows of each. Owns what is in progress there from
 * here, the connections, late failures, and the timers of entries that lapsed.
 */

import { nextPace, slownessOf, usualPace } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds, Timer, TokenCount } from '@rackwalk/shared'
import type { EndpointLoad } from './dialect.js'
import type { InstanceLoad } from './peerLoads.js'
import { EndpointAgent } from './endpointAgent.js'

/** An endpoint as the platform lists it. */
export interface EndpointRecord {
  /** Under which the platform lists it, and which it answers to. */
  readonly id: string
  readonly start: EndpointStart
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly isLeaving: boolean
  /** How much longer it bears only few requests; 0 once it is warm. */
  readonly coldMilliseconds: Milliseconds
}

/** Weight of the newest outcome in an endpoint's failure share. Chosen, not measured. */
const FAILURE_WEIGHT = 0.3
/** Time in which a failure share halves while nothing is sent there. Chosen, not measured. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_500
/** Share of an endpoint's connections that all instances together use; the rest covers instances
 * that count their number differently for a moment. Chosen, not measured. */
const CONNECTION_SHARE = 0.85

/** Times of requests that are remembered at the most. Chosen: far more than a cold endpoint is sent. */
const REMEMBERED_SENDS = 64

/** A request in progress at an endpoint. */
export interface RequestInProgress {
  /** Its first event came, so its prompt is read; may be called again. */
  noteBegun(): void
  /** It has ended; call it once. */
  end(): void
}

/** One endpoint: its record, and what is in progress there from this instance. */
export class EndpointState {
  running = 0
  /** Prompt tokens of requests that have not had their first event. */
  pendingTokens: TokenCount = 0
  load: EndpointLoad | undefined
  loadAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Milliseconds an event of its answers, at their quickest; undefined until one was timed. */
  pace: Milliseconds | undefined
  /** Whether something else answered at its address: this start of it is over, whatever is listed. */
  hasEnded = false
  /** By its own word, */
  private coldUntil: Milliseconds
  /** and where it may have turned cold since its newest word. */
  private suspectUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Times at which requests were sent there, the newest last. */
  private readonly sends: Milliseconds[] = []
  private failureShare = 0
  private failureAt: Milliseconds = 0
  private connections: EndpointAgent | undefined

  constructor(
    public record: EndpointRecord,
    private readonly clock: Clock,
    private readonly connectionLimit: () => number,
  ) {
    this.coldUntil = clock.monotonic() + record.coldMilliseconds
  }

  /** Takes a newer record of the same start in. */
  update(record: EndpointRecord): void {
    this.record = record
    this.coldUntil = this.clock.monotonic() + record.coldMilliseconds
  }

  /** Whether it bears only few requests at present. */
  get isCold(): boolean {
    return this.coldMilliseconds > 0
  }

  /** Time until it is warm; 0 where it is. */
  get coldMilliseconds(): Milliseconds {
    const until = Math.max(this.coldUntil, this.suspectUntil)
    return Math.max(0, until - this.clock.monotonic())
  }

  /** It may have turned cold unseen, and counts as cold for this long. */
  suspectCold(milliseconds: Milliseconds): void {
    this.suspectUntil = this.clock.monotonic() + milliseconds
  }

  /** Requests that were sent there from here within this time. */
  sentWithin(milliseconds: Milliseconds): number {
    const after = this.clock.monotonic() - milliseconds
    return this.sends.filter(sentAt => sentAt > after).length
  }

  get agent(): EndpointAgent {
    const limit = this.connectionLimit()
    this.connections ??= new EndpointAgent(limit)
    this.connections.maxSockets = limit
    return this.connections
  }

  get hasRoom(): boolean {
    return this.running < this.connectionLimit()
  }

  /** A request is sent there; `tokens` of its prompt have to be read. */
  beginRequest(tokens: TokenCount): RequestInProgress {
    let pending = tokens
    this.noteSend()
    const noteBegun = () => {
      this.pendingTokens -= pending
      pending = 0
    }
    this.running += 1
    this.pendingTokens += tokens
    const end = () => {
      noteBegun()
      this.running -= 1
    }
    return { noteBegun, end }
  }

  private noteSend(): void {
    this.sends.push(this.clock.monotonic())
    if (this.sends.length > REMEMBERED_SENDS) this.sends.shift()
  }

  /** An answer from there ran at this pace for a while; milliseconds an event. */
  notePace(pace: Milliseconds): void {
    this.pace = nextPace(this.pace, pace)
  }

  noteLoad(load: EndpointLoad): void {
    this.load = load
    this.loadAt = this.clock.monotonic()
  }

  /** Notes whether a request sent there came to an answer. */
  noteOutcome(succeeded: boolean): void {
    const share = this.failures
    this.failureShare = share + FAILURE_WEIGHT * ((succeeded ? 0 : 1) - share)
    this.failureAt = this.clock.monotonic()
  }

  /** Share of late requests that failed there, in [0, 1], fading with time. */
  get failures(): number {
    const age = this.clock.monotonic() - this.failureAt
    return this.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MILLISECONDS)
  }

  close(): void {
    this.connections?.destroy()
  }
}

/** What a directory works with. */
export interface EndpointDirectoryParts {
  readonly clock: Clock
  /** Instances that share the endpoints' connections. */
  readonly instances: () => number
  /** Connections that one endpoint of a service takes. */
  readonly maximumConnections: (service: string) => number
  /** How long endpoints of a service stay cold after a start; 0 where they never are. */
  readonly coldMilliseconds: (service: string) => Milliseconds
  readonly onChange: (endpoint: EndpointRecord, change: string) => void
}

/** The usual pace of a service is reckoned anew after this time. Chosen: it changes in seconds. */
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

  constructor(private readonly parts: EndpointDirectoryParts) {}

  /** An endpoint was listed, or its record changed. */
  set(record: EndpointRecord): void {
    this.endLapse(record.id)
    const known = this.endpoints.get(record.id)
    if (known === undefined) {
      this.parts.onChange(record, record.isLeaving ? 'listed as leaving' : 'listed')
      this.endpoints.set(record.id, this.createState(record))
      return
    }
    if (record.start !== known.record.start) return this.replace(known, record)
    if (record.isLeaving && !known.record.isLeaving) this.parts.onChange(record, 'leaving')
    if (record.coldMilliseconds > 0 && !known.isCold) this.parts.onChange(record, 'cold')
    known.update(record)
  }

  /** An endpoint started again under its id: nothing that was believed of the start before holds. */
  private replace(known: EndpointState, record: EndpointRecord): void {
    this.remove(record.id)
    known.hasEnded = true
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
      endpoint.suspectCold(this.parts.coldMilliseconds(record.service))
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
    this.parts.onChange(known.record, 'replaced')
  }

  /** An endpoint is no longer listed; what runs there may end. */
  remove(id: string): void {
    this.endLapse(id)
    const known = this.endpoints.get(id)
    if (known === undefined) return
    this.endpoints.delete(id)
    this.parts.onChange(known.record, 'gone')
    if (known.running === 0) known.close()
  }

  /** The entry of an endpoint is missing; unless it is listed again in time, the endpoint is gone. */
  lapse(id: string, milliseconds: Milliseconds): void {
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
    return [...this.endpoints.values()].filter(endpoint => {
      const { record, hasEnded } = endpoint
      const isOpen = !record.isLeaving && !hasEnded && !this.evacuated.has(record.failureDomain)
      return record.service === service && isOpen
    })
  }

  /** How many times as long as a usual endpoint of its service one takes for an answer; 1 or more. */
  slownessOf(endpoint: EndpointState): number {
    if (endpoint.pace === undefined) return 1
    return slownessOf(endpoint.pace, this.usualPace(endpoint.record.service))
  }

  private usualPace(service: string): Milliseconds | undefined {
    const now = this.parts.clock.monotonic()
    const known = this.usualPaces.get(service)
    if (known !== undefined && now - known.at < USUAL_PACE_MILLISECONDS) return known.pace
    const paces = this.available(service).flatMap(({ pace }) => pace ?? [])
    const pace = usualPace(paces)
    this.usualPaces.set(service, { pace, at: now })
    return pace
  }

  get size(): number {
    return this.endpoints.size
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
    return new EndpointState(record, this.parts.clock, limit)
  }
}
