/**
 * State of one start of an endpoint: its record, and what this instance knows of it. Owns the requests in
 * progress from here, the connections, the recent failures, and until when the endpoint is cold. All of it
 * ends with the start.
 */

import { nextEventInterval } from '@rackwalk/decisions'
import type { EndpointLink, RateQuota } from '@rackwalk/decisions'
import { UNKNOWN_SOFTWARE_VERSION } from '@rackwalk/shared'
import type {
  Clock,
  EndpointStart,
  Milliseconds,
  SoftwareVersion,
  TokenCount,
} from '@rackwalk/shared'
import { SendHistory } from '../advice/sendHistory.js'
import type { EndpointLoad } from './dialect.js'
import { EndpointAgent } from './endpointAgent.js'
import { EndpointExchanges } from './endpointExchanges.js'

/** An endpoint as listed by the platform. */
export interface EndpointRecord {
  /** Id under which the platform lists the endpoint, and which the endpoint expects in requests. */
  readonly id: string
  readonly start: EndpointStart
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly failureDomain: string
  /** `UNKNOWN_SOFTWARE_VERSION` if the endpoint reports none. */
  readonly softwareVersion: SoftwareVersion
  readonly slots: number
  readonly isLeaving: boolean
  /** Time for which it still accepts only few requests; 0 once it is warm. */
  readonly coldMilliseconds: Milliseconds
}

/** Weight of the newest outcome in the failure share. */
const FAILURE_WEIGHT = 0.3
/** Half-life of the failure share while no request is sent there. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_500
/**
 * An endpoint that refused a connection gets no request for this long: its row may stay listed for longer,
 * and each instance would find out with requests of its own. An endpoint that recovers in the meantime is
 * missed for this long at most.
 */
const UNREACHABLE_MILLISECONDS = 1_000
/** A request in progress at an endpoint. */
export interface RequestInProgress {
  /** The first event arrived, so the prompt has been read; may be called again. */
  noteBegun(): void
  /** The request has ended; call it once. */
  end(): void
}

/** State of one start of an endpoint. */
export class EndpointState {
  running = 0
  /** Prompt tokens of requests whose first event has not arrived. */
  pendingTokens: TokenCount = 0
  load: EndpointLoad | undefined
  loadAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Milliseconds per event of its answers, following the quickest ones; undefined until timed. */
  pace: Milliseconds | undefined
  /**
   * Whether another endpoint answered at its address or another start replaced it: this start has terminated,
   * whatever is listed.
   */
  hasEnded = false
  /** Monotonic time at which data was last received from it. */
  heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Open exchanges with it from this instance. */
  readonly exchanges = new EndpointExchanges()
  /** False once its entry was removed. */
  isListed = true
  /** Monotonic time until which it is cold according to its row. */
  private coldUntil: Milliseconds
  /** Monotonic time until which it may be cold, having turned so since its newest row. */
  private assumedColdUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Requests sent there from here. */
  private readonly sends: SendHistory
  /** Monotonic time until which it is not tried again after it refused a connection. */
  private unreachableUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time at which a new connection was last established. */
  private connectedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time at which establishing a connection last failed. */
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private failureShare = 0
  private failureAt: Milliseconds = 0
  private connections: EndpointAgent | undefined

  constructor(
    public record: EndpointRecord,
    private readonly clock: Clock,
    private readonly connectionLimit: () => number,
    private readonly saysLeaving: (start: EndpointStart) => boolean = () => false,
  ) {
    this.coldUntil = clock.monotonic() + record.coldMilliseconds
    this.sends = new SendHistory(clock)
  }

  /** Applies a newer record of the same start. */
  update(record: EndpointRecord): void {
    this.record = withVersionOf(this.record, record)
    this.coldUntil = this.clock.monotonic() + record.coldMilliseconds
  }

  /** Whether it announced that it leaves, in its row or in an answer: a row may arrive late or never. */
  get isLeaving(): boolean {
    return this.record.isLeaving || this.saysLeaving(this.record.start)
  }

  /** Whether its termination was announced: it is leaving, or its entry was removed before it terminated. */
  get isPlannedShutdown(): boolean {
    return this.isLeaving || (!this.isListed && !this.hasEnded)
  }

  /** Its address refuses connections. */
  noteUnreachable(): void {
    this.unreachableUntil = this.clock.monotonic() + UNREACHABLE_MILLISECONDS
  }

  /** Whether it recently refused a connection. */
  get isUnreachable(): boolean {
    return this.clock.monotonic() < this.unreachableUntil
  }

  /** Whether it currently accepts only few requests. */
  get isCold(): boolean {
    return this.coldMilliseconds > 0
  }

  /** Time until it is warm; 0 if it is warm. */
  get coldMilliseconds(): Milliseconds {
    const until = Math.max(this.coldUntil, this.assumedColdUntil)
    return Math.max(0, until - this.clock.monotonic())
  }

  /** It may have turned cold unnoticed; it counts as cold for this long. */
  assumeCold(milliseconds: Milliseconds): void {
    this.assumedColdUntil = this.clock.monotonic() + milliseconds
  }

  get start(): EndpointStart {
    return this.record.start
  }

  get service(): string {
    return this.record.service
  }

  get address(): string {
    return this.record.address
  }

  /** Time until the sends from here to it are below the quota's limit for its window; 0 if they are now. */
  waitFor(quota: RateQuota): Milliseconds {
    return this.sends.waitFor(quota)
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

  /** A request is sent there; `tokens` of its prompt are not cached and have to be read. */
  beginRequest(tokens: TokenCount): RequestInProgress {
    let pending = tokens
    this.sends.note()
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

  /** What attempts to connect from here have shown of the link to it. */
  get link(): EndpointLink {
    const { connectedAt, failedAt } = this
    return { failureDomain: this.record.failureDomain, connectedAt, failedAt }
  }

  /** A new connection to it was established. */
  noteConnected(): void {
    this.connectedAt = this.clock.monotonic()
  }

  /** A new connection to it could not be established. */
  noteConnectFailed(): void {
    this.failedAt = this.clock.monotonic()
  }

  /** Data was received from it, so it is alive. */
  noteHeard(): void {
    this.heardAt = this.clock.monotonic()
  }

  /** One of its answers ran at this pace for a while; milliseconds per event. */
  notePace(pace: Milliseconds): void {
    this.pace = nextEventInterval(this.pace, pace)
  }

  noteLoad(load: EndpointLoad): void {
    this.load = load
    this.loadAt = this.clock.monotonic()
  }

  /** Records whether a request sent there was answered. */
  noteOutcome(succeeded: boolean): void {
    const share = this.failures
    this.failureShare = share + FAILURE_WEIGHT * ((succeeded ? 0 : 1) - share)
    this.failureAt = this.clock.monotonic()
  }

  /** Share of recent requests that failed there, in [0, 1], decaying with time. */
  get failures(): number {
    const age = this.clock.monotonic() - this.failureAt
    return this.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MILLISECONDS)
  }

  close(): void {
    this.connections?.destroy()
  }
}

/** A row without a version does not clear the version already known for the same start. */
function withVersionOf(before: EndpointRecord, after: EndpointRecord): EndpointRecord {
  if (after.softwareVersion !== UNKNOWN_SOFTWARE_VERSION) return after
  return { ...after, softwareVersion: before.softwareVersion }
}
