/**
 * State of one run (start) of an endpoint, identified by the endpoint's id and start time: its record, and
 * what this instance knows of the run. Owns this instance's requests in progress at the endpoint, its
 * connections to the endpoint, the share of recent failures, and until when the endpoint is cold, which means
 * that it accepts only few requests after its start. A later run gets a new state, so nothing here carries
 * over to it.
 */

import { nextEventInterval, nextPace, paceSlowness } from '@rackwalk/decisions'
import type { EndpointLink, PaceEstimate, RateQuota } from '@rackwalk/decisions'
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
  /** Time for which the endpoint still accepts only few requests; 0 once it is warm. */
  readonly coldMilliseconds: Milliseconds
}

/**
 * Weight of the newest outcome in the failure share, in [0, 1]; the rest is the weight of all earlier ones.
 */
const FAILURE_WEIGHT = 0.3
/** Half-life of the failure share since the newest outcome. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_500
/**
 * An endpoint that refused a connection, did not pass a state probe (no answer in time, or an error status)
 * or was reported as crashed gets no request for this long: its row may stay listed for longer, and each
 * instance would detect the termination with requests of its own. An endpoint that recovers in the meantime
 * is unused for this long at most.
 */
const UNREACHABLE_MILLISECONDS = 1_000

/** A request in progress at an endpoint. */
export interface RequestInProgress {
  /**
   * The first event arrived (the first bytes of an answer that is no stream), so the prompt has been read;
   * may be called again.
   */
  noteBegun(): void
  /** The request has ended; call it once. */
  end(): void
}

/** State of one run of an endpoint. */
export class EndpointState {
  /** This instance's requests in progress at the endpoint. */
  running = 0
  /** Uncached prompt tokens of those requests of this instance whose answers have not begun to arrive. */
  pendingTokens: TokenCount = 0
  /** Load that the endpoint reported in its newest answer with a load. */
  load: EndpointLoad | undefined
  /** Monotonic time at which `load` was received. */
  loadAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Estimated milliseconds per event of its answers, near the shortest intervals; undefined until timed. */
  eventIntervalMilliseconds: Milliseconds | undefined
  /** Estimate from the paces that the endpoint reported; undefined if it never reported one. */
  private pace: PaceEstimate | undefined
  /**
   * Whether another endpoint answered at the endpoint's address or another start replaced this one. Either
   * proves that this start has terminated, whatever its row says.
   */
  hasEnded = false
  /** Whether the last answer from the endpoint's address refused its request as misdirected. */
  wasMisdirected = false
  /** Monotonic time at which this instance last received data from the endpoint. */
  heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Open exchanges of this instance with the endpoint. */
  readonly exchanges = new EndpointExchanges()
  /** False once the endpoint's entry was removed from the directory. */
  isListed = true
  /** Monotonic time until which the endpoint is cold according to its newest row. */
  private coldUntil: Milliseconds
  /** Monotonic time until which `assumeCold` counts the endpoint as cold, whatever a newer row says. */
  private assumedColdUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Times at which this instance sent requests to the endpoint. */
  private readonly sends: SendHistory
  /** Monotonic time until which the endpoint counts as unreachable. */
  private unreachableUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time at which this instance last established a new connection to the endpoint. */
  private connectedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time at which this instance last failed to connect to the endpoint. */
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Failure share as of `lastOutcomeAt`, in [0, 1]. */
  private lastFailureShare = 0
  /** Monotonic time of the newest outcome. */
  private lastOutcomeAt: Milliseconds = 0
  /** Created at the first use of `agent`. */
  private ownAgent: EndpointAgent | undefined

  constructor(
    public record: EndpointRecord,
    private readonly clock: Clock,
    private readonly connectionLimit: () => number,
    private readonly hasAnnouncedLeaving: (start: EndpointStart) => boolean = () => false,
  ) {
    this.coldUntil = clock.monotonic() + record.coldMilliseconds
    this.sends = new SendHistory(clock)
  }

  /** Applies a newer record of the same run. */
  update(record: EndpointRecord): void {
    this.record = withVersionOf(this.record, record)
    this.coldUntil = this.clock.monotonic() + record.coldMilliseconds
  }

  /**
   * Whether the endpoint announced that it leaves, in its row or in an answer. Both count, since the row may
   * arrive late or never.
   */
  get isLeaving(): boolean {
    return this.record.isLeaving || this.hasAnnouncedLeaving(this.record.start)
  }

  /**
   * Whether a termination of the endpoint counts as planned: the endpoint is leaving, or its entry was
   * removed and no proof of its termination (`hasEnded`) is known.
   */
  get isPlannedShutdown(): boolean {
    return this.isLeaving || (!this.isListed && !this.hasEnded)
  }

  /** The endpoint refused a connection, did not pass a state probe or was reported as crashed. */
  noteUnreachable(): void {
    this.unreachableUntil = this.clock.monotonic() + UNREACHABLE_MILLISECONDS
  }

  /** Whether the endpoint was noted as unreachable within the last `UNREACHABLE_MILLISECONDS`. */
  get isUnreachable(): boolean {
    return this.clock.monotonic() < this.unreachableUntil
  }

  /** Whether the endpoint currently accepts only few requests. */
  get isCold(): boolean {
    return this.coldMilliseconds > 0
  }

  /** Time until the endpoint is warm; 0 if it is warm. */
  get coldMilliseconds(): Milliseconds {
    const until = Math.max(this.coldUntil, this.assumedColdUntil)
    return Math.max(0, until - this.clock.monotonic())
  }

  /**
   * Counts the endpoint as cold for this long from now, since it may have turned cold without a newer row.
   */
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

  /**
   * Time until this instance's sends to the endpoint are below the quota's limit for its window; 0 if they
   * are now.
   */
  waitFor(quota: RateQuota): Milliseconds {
    return this.sends.waitFor(quota)
  }

  /** Agent that keeps this instance's connections to the endpoint, with the current connection limit. */
  get agent(): EndpointAgent {
    const limit = this.connectionLimit()
    this.ownAgent ??= new EndpointAgent(limit)
    this.ownAgent.maxSockets = limit
    return this.ownAgent
  }

  /** Whether this instance may open one more connection to the endpoint. */
  get hasRoom(): boolean {
    return this.running < this.connectionLimit()
  }

  /**
   * This instance sends the endpoint a request, of whose prompt `tokens` are uncached and have to be read.
   */
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

  /** When this instance last connected to the endpoint and when it last failed to. */
  get link(): EndpointLink {
    const { connectedAt, failedAt } = this
    return { failureDomain: this.record.failureDomain, connectedAt, failedAt }
  }

  /** A new connection of this instance to the endpoint works. */
  noteConnected(): void {
    this.connectedAt = this.clock.monotonic()
  }

  /** A new connection of this instance to the endpoint was not established or is not answered. */
  noteConnectFailed(): void {
    this.failedAt = this.clock.monotonic()
  }

  /** This instance received data from the endpoint, so the endpoint is alive. */
  noteHeard(): void {
    this.heardAt = this.clock.monotonic()
    this.wasMisdirected = false
  }

  /**
   * Updates the estimated interval with the mean interval over some events of one answer; milliseconds per
   * event.
   */
  noteEventInterval(pace: Milliseconds): void {
    this.eventIntervalMilliseconds = nextEventInterval(this.eventIntervalMilliseconds, pace)
  }

  noteLoad(load: EndpointLoad): void {
    this.load = load
    this.loadAt = this.clock.monotonic()
    if (load.pace !== undefined) this.pace = nextPace(this.pace, load.pace, this.loadAt)
  }

  /** Factor by which work takes longer than normal by the endpoint's own reports; at least 1. */
  get reportedSlowness(): number {
    return paceSlowness(this.pace, this.clock.monotonic())
  }

  /** Records whether an attempt at the endpoint succeeded. */
  noteOutcome(succeeded: boolean): void {
    const share = this.failureShare
    this.lastFailureShare = share + FAILURE_WEIGHT * ((succeeded ? 0 : 1) - share)
    this.lastOutcomeAt = this.clock.monotonic()
  }

  /** Weighted share of recent attempts at the endpoint that failed, in [0, 1], decaying with time. */
  get failureShare(): number {
    const age = this.clock.monotonic() - this.lastOutcomeAt
    return this.lastFailureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MILLISECONDS)
  }

  /** Closes all connections to the endpoint. */
  close(): void {
    this.ownAgent?.destroy()
  }
}

/** Returns the new record; if it has no version, with the version already known for the same run. */
function withVersionOf(before: EndpointRecord, after: EndpointRecord): EndpointRecord {
  if (after.softwareVersion !== UNKNOWN_SOFTWARE_VERSION) return after
  return { ...after, softwareVersion: before.softwareVersion }
}
