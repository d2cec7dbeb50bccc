/**
 * One start of an endpoint: its record, and what this instance knows of it. Owns what is in progress there from
 * here, the connections, late failures, and until when it is cold. All of it ends with the start.
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

/** An endpoint as the platform lists it. */
export interface EndpointRecord {
  /** Under which the platform lists it, and which it answers to. */
  readonly id: string
  readonly start: EndpointStart
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly failureDomain: string
  /** `UNTOLD_SOFTWARE_VERSION` where it tells none. */
  readonly softwareVersion: SoftwareVersion
  readonly slots: number
  readonly isLeaving: boolean
  /** How much longer it bears only few requests; 0 once it is warm. */
  readonly coldMilliseconds: Milliseconds
}

/** Weight of the newest outcome in an endpoint's failure share. */
const FAILURE_WEIGHT = 0.3
/** Time in which a failure share halves while nothing is sent there. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_500
/**
 * An endpoint where nobody listened is left alone for this long, since its row may stand for longer and each instance would
 * find out with requests of its own; one that is back in the meantime is missed for so long at the most.
 */
const UNREACHABLE_MILLISECONDS = 1_000
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
  /** Monotonic time at which anything last came from it. */
  heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** What is open there from here. */
  readonly exchanges = new EndpointExchanges()
  /** False once its entry has gone. */
  isListed = true
  /** By its own word, */
  private coldUntil: Milliseconds
  /** and where it may have turned cold since its newest word. */
  private suspectUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Requests that were sent there from here. */
  private readonly sends: SendHistory
  /** Nobody listened there a moment ago; until then it is not tried again. */
  private unreachableUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time at which a new connection last came up, */
  private connectedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** and at which one last did not. */
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

  /** Takes a newer record of the same start in. */
  update(record: EndpointRecord): void {
    this.record = withVersionOf(this.record, record)
    this.coldUntil = this.clock.monotonic() + record.coldMilliseconds
  }

  /** Whether it said that it leaves, in its row or in an answer: a row may come late, or not at all. */
  get isLeaving(): boolean {
    return this.record.isLeaving || this.saysLeaving(this.record.start)
  }

  /** Whether its end was announced: it said that it leaves, or its entry went while it went on. */
  get isPlannedShutdown(): boolean {
    return this.isLeaving || (!this.isListed && !this.hasEnded)
  }

  /** Nobody listens there. */
  noteUnreachable(): void {
    this.unreachableUntil = this.clock.monotonic() + UNREACHABLE_MILLISECONDS
  }

  /** Whether nobody listened there a moment ago. */
  get isUnreachable(): boolean {
    return this.clock.monotonic() < this.unreachableUntil
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
  assumeCold(milliseconds: Milliseconds): void {
    this.suspectUntil = this.clock.monotonic() + milliseconds
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

  /** Time until fewer than so many requests were sent there from here within a window; 0 where that is so now. */
  waitFor(licence: RateQuota): Milliseconds {
    return this.sends.waitFor(licence)
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

  /** What new connections from here have shown of the way to it. */
  get link(): EndpointLink {
    const { connectedAt, failedAt } = this
    return { failureDomain: this.record.failureDomain, connectedAt, failedAt }
  }

  /** A new connection to it came up. */
  noteConnected(): void {
    this.connectedAt = this.clock.monotonic()
  }

  /** A new connection to it did not come up. */
  noteConnectFailed(): void {
    this.failedAt = this.clock.monotonic()
  }

  /** Something came from it: it lives. */
  noteHeard(): void {
    this.heardAt = this.clock.monotonic()
  }

  /** An answer from there ran at this pace for a while; milliseconds an event. */
  notePace(pace: Milliseconds): void {
    this.pace = nextEventInterval(this.pace, pace)
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

/** A row that tells no version does not take back the one that was told of the same start. */
function withVersionOf(before: EndpointRecord, after: EndpointRecord): EndpointRecord {
  if (after.softwareVersion !== UNKNOWN_SOFTWARE_VERSION) return after
  return { ...after, softwareVersion: before.softwareVersion }
}
