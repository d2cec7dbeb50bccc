/**
 * Detects whether an endpoint that resets a request or interrupts an answer has crashed, which requests of
 * this instance it left unanswered, and when an engine behind a proxy or load balancer is back. The endpoint
 * is probed: this instance connects to its address and requests its state. Without this, no request could be
 * recognized as crash-inducing. Owns the suspicions of the last seconds, each about one run (start) of an
 * endpoint, with the requests that were reset. The rule is in decisions/retrying/livenessProbe.
 *
 * Planned terminations (the endpoint is leaving, or was removed from the list) are ignored.
 */

import { wasAliveAfterReset, judgeLiveness, lastAliveAt } from '@rackwalk/decisions'
import type {
  SuspectEndpoints,
  ProbeResult,
  LivenessVerdict,
  LastContactTimes,
} from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type {
  Clock,
  EndpointStart,
  Milliseconds,
  PromptPartKey,
  RequestFingerprint,
} from '@rackwalk/shared'
import type { ProbedEndpoint } from './endpointProbe.js'

/** An endpoint that reset a request, as known at the time of the reset. */
export interface SuspectEndpoint extends ProbedEndpoint {
  readonly id: string
  readonly start: EndpointStart
  /**
   * Whether the endpoint's platform reports each new start. Otherwise only the time of a reset tells starts
   * apart.
   */
  readonly isStartReported?: boolean
  /** Name of the service or model. */
  readonly service: string
  /** Whether a termination of the endpoint counts as planned. */
  readonly isPlannedShutdown: boolean
  /** Whether this start is known to have terminated. */
  readonly hasEnded: boolean
  /** When state reports or bytes were last received from the endpoint. */
  readonly heard: () => LastContactTimes
}

/** An unannounced termination of an endpoint. */
export interface EndpointCrash {
  readonly endpoint: SuspectEndpoint
  /** Results of the probes so far; may be empty if the endpoint's row shows a new start. */
  readonly signs: readonly ProbeResult[]
  /**
   * Requests of this instance that were in flight to the endpoint without any part of an answer. Each one is
   * reported once.
   */
  readonly unanswered: readonly ResetRequest[]
  readonly seen: CrashTimes
}

/** When a crash was detected; times are monotonic. */
export interface CrashTimes {
  /** When the reset or interruption occurred that started the probes. */
  readonly resetAt: Milliseconds
  /** When the newest probe began. */
  readonly lookedAt: Milliseconds
}

/** A request that an endpoint reset. */
export interface ResetRequest {
  readonly fingerprint: RequestFingerprint
  /** Whether the request was isolated as a suspected one. */
  readonly wasIsolated: boolean
  /** Monotonic time at which the request was sent to the endpoint. */
  readonly sentAt: Milliseconds
  /** Prompt parts that other requests may contain as well; absent if they are not known. */
  readonly parts?: readonly PromptPartKey[]
}

/**
 * A suspicion that a newly started instance has to know: a start that is being probed, or one that has
 * terminated while its address still accepts connections.
 */
export interface OpenSuspicion {
  readonly start: EndpointStart
  /** Whether the start has terminated while its address still accepts connections. */
  readonly isUnresponsive: boolean
  /** Requests that may have crashed the endpoint. */
  readonly requests: readonly ResetRequest[]
}

/** Dependencies and callbacks of a detector. */
export interface EndpointCrashDetectorParts {
  readonly clock: Clock
  readonly probe: (endpoint: SuspectEndpoint) => Promise<ProbeResult>
  /** Suspected starts, from this detector and from gossip. */
  readonly suspects: SuspectEndpoints
  readonly onCrash: (crash: EndpointCrash) => void
  /**
   * Requests were reset and their endpoint is being probed. Called again at intervals while the probes last.
   */
  readonly onProbing: (start: EndpointStart, requests: readonly ResetRequest[]) => void
  /**
   * The probes showed that the endpoint has terminated or lives. If it has terminated and left requests
   * unanswered, `onCrash` is called before.
   */
  readonly onProbed: (start: EndpointStart, hasEnded: boolean) => void
  /** The probes showed that this start lives. */
  readonly onAlive: (start: EndpointStart) => void
  /**
   * The address of a terminated start accepts connections and does not answer. Called again at each probe
   * while that lasts.
   */
  readonly onUnresponsive: (start: EndpointStart, seen: CrashTimes) => void
}

/** A reset request that was not reported with a crash yet. */
interface UnreportedReset {
  readonly request: ResetRequest
  /** Monotonic time of the reset. */
  readonly at: Milliseconds
}

/** Suspicion that one start has terminated, with the requests that it reset. */
interface SuspicionState {
  readonly endpoint: SuspectEndpoint
  unreported: UnreportedReset[]
  /** Keys of the requests that were reported or are in `unreported`, so that none is reported twice. */
  readonly reportedKeys: Set<string>
  /** Requests announced since the probes began. */
  readonly announced: Set<RequestFingerprint>
  /** Requests that the next announcement contains. */
  readonly pendingAnnouncements: ResetRequest[]
  /** Monotonic time of the reset or interruption that started the probes. */
  resetAt: Milliseconds
  /** Monotonic time at which the first probe was complete; infinite before. */
  lookedAt: Milliseconds
  /** Monotonic time at which the newest probe began. */
  probeStartedAt: Milliseconds
  /** Monotonic time of the newest reset or interruption. */
  newestAt: Milliseconds
  /** Results of the probes, the newest last. */
  signs: ProbeResult[]
  /** Whether another instance has reported the termination since the reset. */
  wasReportedByPeer: boolean
  hasEnded: boolean
  /** Whether the endpoint is listed with a later start. */
  isReplaced: boolean
  /** Resolves once the probes are over; undefined while none are made. */
  probing: Promise<void> | undefined
}

/**
 * Time for which a reset is kept. An endpoint may be back at its address before the first probe; its row then
 * shows a new start within a heartbeat and a read of the rows. A crash is attributed only to requests that
 * were reset within this time before it was known, however many resets follow.
 */
const RETENTION_MILLISECONDS = 5_000
/** Time between two probes of an endpoint that did not answer the first one. */
const REPROBE_MILLISECONDS: Milliseconds = 25
/** Interval at which an open suspicion is announced again. Peers forget a suspicion after twice this time. */
const RENEWAL_MILLISECONDS: Milliseconds = 500
/**
 * A peer's report of a termination applies to a suspicion whose newest reset is no older than this. An older
 * reset had another cause.
 */
const PEER_REPORT_MILLISECONDS: Milliseconds = 1_000
/**
 * Delay of the probe after a suspected request is sent. A probe that began before the request crashes the
 * endpoint could still find it alive.
 */
const SUSPECT_PROBE_DELAY_MILLISECONDS: Milliseconds = 100
/** Time between two probes of an engine that terminated while its address still accepts connections. */
const RECOVERY_PROBE_MILLISECONDS: Milliseconds = 500
/** Maximum number of these probes: one minute. After them the endpoint is used like any other. */
const MAXIMUM_RECOVERY_PROBES = 120

/** Crash detection for all endpoints, as seen by one instance. */
export class EndpointCrashDetector {
  private readonly suspicions = new Map<EndpointStart, SuspicionState>()
  /** Starts that terminated while their address still accepts connections, until they recover. */
  private readonly recovering = new Set<EndpointStart>()
  private isStopped = false

  constructor(private readonly parts: EndpointCrashDetectorParts) {}

  stop(): void {
    this.isStopped = true
  }

  /**
   * An endpoint reset a request before any part of an answer. Resolves with whether the endpoint is known to
   * have terminated.
   */
  async noteReset(endpoint: SuspectEndpoint, request: ResetRequest): Promise<boolean> {
    if (endpoint.isPlannedShutdown) return false
    const suspicion = this.suspicionOf(endpoint)
    const wasInFlight = this.wasInFlight(suspicion, request)
    if (wasInFlight) addUnreported(suspicion, request, this.parts.clock.monotonic())
    if (suspicion.hasEnded) {
      this.reportCrash(suspicion)
      return true
    }
    if (wasInFlight) this.announceSuspicion(suspicion, request)
    suspicion.probing ??= this.startProbing(suspicion)
    await suspicion.probing
    return suspicion.hasEnded
  }

  /**
   * Suspicions that this instance is probing, and unresponsive starts that have not recovered, whether or not
   * peers know of them.
   */
  get openSuspicions(): readonly OpenSuspicion[] {
    const probed = [...this.suspicions.values()].filter(({ probing }) => probing !== undefined)
    return [
      ...probed.map(({ endpoint: { start }, unreported, announced }) => {
        // Unannounced resets belong to earlier probes and are kept only in case a row shows a new start.
        const requests = uniqueByFingerprint(unreported.map(({ request }) => request)).filter(
          ({ fingerprint }) => announced.has(fingerprint),
        )
        return { start, isUnresponsive: false, requests }
      }),
      ...[...this.recovering].map(start => ({ start, isUnresponsive: true, requests: [] })),
    ]
  }

  /**
   * Announces the first request of a suspicion at once, and the others of the same turn of the event loop
   * together.
   */
  private announceSuspicion(suspicion: SuspicionState, request: ResetRequest): void {
    const { announced, pendingAnnouncements, endpoint } = suspicion
    if (announced.has(request.fingerprint)) return
    announced.add(request.fingerprint)
    if (announced.size === 1) return this.parts.onProbing(endpoint.start, [request])
    pendingAnnouncements.push(request)
    if (pendingAnnouncements.length === 1) queueMicrotask(() => this.announcePending(suspicion))
  }

  private announcePending(suspicion: SuspicionState): void {
    const pending = suspicion.pendingAnnouncements.splice(0)
    if (suspicion.probing !== undefined) this.parts.onProbing(suspicion.endpoint.start, pending)
  }

  /**
   * An endpoint interrupted an answer. Resolves with whether the endpoint is known to have terminated. The
   * interrupted request gets no crash mark.
   */
  async noteInterrupted(endpoint: SuspectEndpoint): Promise<boolean> {
    if (endpoint.isPlannedShutdown) return false
    const suspicion = this.suspicionOf(endpoint)
    if (suspicion.hasEnded) return true
    suspicion.probing ??= this.startProbing(suspicion)
    await suspicion.probing
    return suspicion.hasEnded
  }

  /** The endpoint's row shows that this start was replaced. */
  noteReplaced(start: EndpointStart): void {
    const suspicion = this.suspicions.get(start)
    if (suspicion === undefined) return
    suspicion.isReplaced = true
    this.noteTermination(suspicion)
  }

  /**
   * Another instance detected the termination. If this instance's own probes got no connection, the report
   * also proves the termination for the requests that were reset here.
   */
  notePeerReport(start: EndpointStart): void {
    const suspicion = this.suspicions.get(start)
    if (suspicion === undefined || suspicion.hasEnded) return
    const { clock } = this.parts
    if (clock.monotonic() > suspicion.newestAt + PEER_REPORT_MILLISECONDS) return
    suspicion.wasReportedByPeer = true
    if (suspicion.probing === undefined && this.judge(suspicion) === 'ended')
      this.noteTermination(suspicion)
  }

  /**
   * A suspected request is sent to a start. If the start reset requests and its probes proved nothing, it is
   * probed again: a proxy or load balancer in front of the engine that holds requests without answering would
   * reset no further request. These probes do not prolong the suspicion by themselves.
   */
  noteSuspectSent(start: EndpointStart): void {
    const suspicion = this.suspicions.get(start)
    if (suspicion === undefined || !this.isUnproven(suspicion)) return
    this.parts.clock.after(SUSPECT_PROBE_DELAY_MILLISECONDS, () => {
      if (!this.isUnproven(suspicion) || this.isStopped) return
      suspicion.signs = []
      suspicion.probing = this.probeUntilKnown(suspicion)
    })
  }

  /** Whether the probes are over and proved nothing, and nothing received since shows the endpoint alive. */
  private isUnproven(suspicion: SuspicionState): boolean {
    const { hasEnded, probing } = suspicion
    return !hasEnded && probing === undefined && this.judge(suspicion) === 'unknown'
  }

  /**
   * Whether the request may have been at the endpoint when the endpoint crashed, so that it may be the cause.
   */
  private wasInFlight({ endpoint, probing }: SuspicionState, { sentAt }: ResetRequest): boolean {
    const { suspects } = this.parts
    const { start, isStartReported = false } = endpoint
    if (probing === undefined) this.noteAlive(endpoint)
    return isStartReported
      ? suspects.wasInFlightAtStart(start, sentAt)
      : suspects.wasInFlightAtEndpoint(start, sentAt)
  }

  private noteAlive({ start, isStartReported = false, heard }: SuspectEndpoint): void {
    const { suspects } = this.parts
    const lived = lastAliveAt(heard())
    if (isStartReported) suspects.noteAliveAt(start, lived)
    else suspects.noteEndpointAliveAt(start, lived)
  }

  private startProbing(suspicion: SuspicionState): Promise<void> {
    suspicion.resetAt = this.parts.clock.monotonic()
    this.parts.suspects.noteReset(suspicion.endpoint.start, suspicion.resetAt)
    suspicion.lookedAt = Number.POSITIVE_INFINITY
    suspicion.signs = []
    suspicion.wasReportedByPeer = false
    const probing = this.probeUntilKnown(suspicion)
    this.scheduleRenewal(suspicion)
    return probing
  }

  /** Probing may last longer than peers keep an announced suspicion. */
  private scheduleRenewal(suspicion: SuspicionState): void {
    const { resetAt, endpoint } = suspicion
    this.parts.clock.after(RENEWAL_MILLISECONDS, () => {
      const isOver = suspicion.probing === undefined || suspicion.resetAt !== resetAt
      if (isOver || suspicion.hasEnded || this.isStopped) return
      const requests = suspicion.unreported.map(({ request }) => request)
      if (requests.length > 0) this.parts.onProbing(endpoint.start, uniqueByFingerprint(requests))
      this.scheduleRenewal(suspicion)
    })
  }

  private async probeUntilKnown(suspicion: SuspicionState): Promise<void> {
    let verdict = await this.probeOnce(suspicion)
    while (verdict === 'look-again') {
      await sleep(this.parts.clock, REPROBE_MILLISECONDS)
      verdict = await this.probeOnce(suspicion)
    }
    suspicion.probing = undefined
    suspicion.announced.clear()
    const isTermination = verdict === 'ended' && !suspicion.hasEnded
    if (isTermination) this.noteTermination(suspicion)
    this.applyVerdict(suspicion, verdict)
    if (!isTermination) return
    if (suspicion.signs.at(-1) === 'does-not-answer') void this.watchRecovery(suspicion)
  }

  /**
   * Announces a conclusive verdict. Inconclusive probes clear neither the suspected requests nor the
   * endpoint: each suspected request that then passed for harmless would crash another endpoint.
   */
  private applyVerdict({ endpoint, hasEnded }: SuspicionState, verdict: LivenessVerdict): void {
    const { start } = endpoint
    if (verdict === 'unknown' && !hasEnded) return
    if (!hasEnded) this.parts.suspects.clearSuspicion(start)
    this.parts.onProbed(start, hasEnded)
    if (verdict === 'lives') this.parts.onAlive(start)
  }

  private async probeOnce(suspicion: SuspicionState): Promise<LivenessVerdict> {
    const { endpoint, signs } = suspicion
    suspicion.probeStartedAt = this.parts.clock.monotonic()
    signs.push(await this.parts.probe(endpoint))
    suspicion.lookedAt = Math.min(suspicion.lookedAt, this.parts.clock.monotonic())
    return this.judge(suspicion)
  }

  private judge(suspicion: SuspicionState): LivenessVerdict {
    const { endpoint, signs, wasReportedByPeer } = suspicion
    return judgeLiveness(signs, wasAliveAfterReset(suspicion, endpoint.heard()), wasReportedByPeer)
  }

  /**
   * Probes a terminated start whose address still accepts connections until it has recovered, so that the
   * engine behind the proxy is used again as soon as it reports its state.
   */
  private async watchRecovery(suspicion: SuspicionState): Promise<void> {
    const { start } = suspicion.endpoint
    this.recovering.add(start)
    for (let probe = 0; probe < MAXIMUM_RECOVERY_PROBES && !this.isStopped; probe += 1) {
      this.parts.suspects.noteTerminated(start, this.parts.clock.monotonic())
      this.parts.onUnresponsive(start, crashTimesOf(suspicion))
      await sleep(this.parts.clock, RECOVERY_PROBE_MILLISECONDS)
      if (!(await this.isStillUnresponsive(suspicion))) break
    }
    this.recovering.delete(start)
    this.parts.suspects.noteRecovered(start, this.parts.clock.monotonic())
    this.suspicions.delete(start)
  }

  /**
   * Probes once more. A listed later start, or a state report requested after the reset, shows the recovery
   * whatever the probe finds, since the probe may meet the next crash.
   */
  private async isStillUnresponsive(suspicion: SuspicionState): Promise<boolean> {
    const { endpoint, resetAt } = suspicion
    if (suspicion.isReplaced) return false
    const probeStartedAt = this.parts.clock.monotonic()
    const sign = await this.parts.probe(endpoint)
    // Only a probe that finds the engine unresponsive again renews the time of the evidence.
    if (sign === 'does-not-answer') suspicion.probeStartedAt = probeStartedAt
    const isBack = isRecovery(sign) || endpoint.heard().askedAt > resetAt
    return !isBack && !suspicion.isReplaced
  }

  private noteTermination(suspicion: SuspicionState): void {
    suspicion.hasEnded = true
    this.reportCrash(suspicion)
  }

  private reportCrash(suspicion: SuspicionState): void {
    const { endpoint, signs } = suspicion
    dropOldResets(suspicion, this.parts.clock.monotonic() - RETENTION_MILLISECONDS)
    const unanswered = suspicion.unreported.map(({ request }) => request)
    if (unanswered.length === 0) return
    suspicion.unreported = []
    this.parts.onCrash({ endpoint, signs: [...signs], unanswered, seen: crashTimesOf(suspicion) })
  }

  private suspicionOf(endpoint: SuspectEndpoint): SuspicionState {
    const now = this.parts.clock.monotonic()
    this.forgetOlderThan(now - RETENTION_MILLISECONDS)
    const known = this.suspicions.get(endpoint.start)
    if (known !== undefined) {
      dropOldResets(known, now - RETENTION_MILLISECONDS)
      known.newestAt = now
      return known
    }
    const { hasEnded, start } = endpoint
    const created: SuspicionState = {
      endpoint,
      unreported: [],
      reportedKeys: new Set(),
      announced: new Set(),
      pendingAnnouncements: [],
      resetAt: now,
      lookedAt: Number.POSITIVE_INFINITY,
      probeStartedAt: now,
      newestAt: now,
      signs: [],
      wasReportedByPeer: false,
      hasEnded,
      isReplaced: false,
      probing: undefined,
    }
    this.suspicions.set(start, created)
    return created
  }

  private forgetOlderThan(oldest: Milliseconds): void {
    for (const [start, { newestAt }] of this.suspicions) {
      if (newestAt < oldest) this.suspicions.delete(start)
    }
  }
}

/**
 * Adds a reset unless it was added before. An isolated request counts separately, since its crash is stronger
 * evidence.
 */
function addUnreported(suspicion: SuspicionState, request: ResetRequest, at: Milliseconds): void {
  const key = resetKey(request)
  if (suspicion.reportedKeys.has(key)) return
  suspicion.reportedKeys.add(key)
  suspicion.unreported.push({ request, at })
}

function resetKey({ fingerprint, wasIsolated }: ResetRequest): string {
  return `${fingerprint} ${wasIsolated}`
}

/**
 * Drops unreported resets before a time: they are not attributed to a later crash. The same request may be
 * reset and added again.
 */
function dropOldResets(suspicion: SuspicionState, oldest: Milliseconds): void {
  if (suspicion.unreported.every(({ at }) => at >= oldest)) return
  for (const { request, at } of suspicion.unreported)
    if (at < oldest) suspicion.reportedKeys.delete(resetKey(request))
  suspicion.unreported = suspicion.unreported.filter(({ at }) => at >= oldest)
}

/** Returns the requests, each fingerprint once. */
function uniqueByFingerprint(requests: readonly ResetRequest[]): readonly ResetRequest[] {
  return [...new Map(requests.map(request => [request.fingerprint, request])).values()]
}

function crashTimesOf({ resetAt, probeStartedAt }: SuspicionState): CrashTimes {
  return { resetAt, lookedAt: probeStartedAt }
}

/**
 * Whether a probe ends the watch of a terminated endpoint: the endpoint reports its state, or its address
 * refuses connections, so that requests sent there are no longer held.
 */
function isRecovery(sign: ProbeResult): boolean {
  return sign === 'lives' || sign === 'nobody-listens'
}
