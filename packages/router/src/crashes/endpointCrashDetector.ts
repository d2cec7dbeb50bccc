/**
 * Finds out whether an endpoint has ended when it breaks a request off, which requests from here it had answered nothing
 * of, and when it is back. Owns the breaks of the last seconds; relies on looks at the endpoint, the rule is in
 * decisions/retrying/endSigns.
 *
 * An end that was announced (the endpoint was leaving, or was no longer listed) is none of its business.
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

/** An endpoint that broke a request off, as it is known at that moment. */
export interface SuspectEndpoint extends ProbedEndpoint {
  readonly id: string
  readonly start: EndpointStart
  /** Whether its platform tells each start from the next; otherwise only the time of its break does. */
  readonly isStartReported?: boolean
  /** Service or model. */
  readonly service: string
  /** Whether its end was announced. */
  readonly isPlannedShutdown: boolean
  /** Whether this start of it is known to be over. */
  readonly hasEnded: boolean
  /** When something last came from it. */
  readonly heard: () => LastContactTimes
}

/** An endpoint ended unannounced. */
export interface EndpointCrash {
  readonly endpoint: SuspectEndpoint
  /** What the looks at it showed; empty where its row told of a new start. */
  readonly signs: readonly ProbeResult[]
  /** Requests from here that were there and had no part of an answer; each is told once. */
  readonly unanswered: readonly ResetRequest[]
  readonly seen: CrashTimes
}

/** When an end was seen; times are monotonic. */
export interface CrashTimes {
  /** When the break was seen for which it was looked. */
  readonly brokenAt: Milliseconds
  /** When the newest look began. */
  readonly lookedAt: Milliseconds
}

/** A request that an endpoint broke off. */
export interface ResetRequest {
  readonly fingerprint: RequestFingerprint
  /** Whether it was sent there as one that may have ended endpoints. */
  readonly wasIsolated: boolean
  /** Monotonic time at which it was sent there. */
  readonly sentAt: Milliseconds
  /** The parts of its prompt that other requests may share; absent where nothing is known of them. */
  readonly parts?: readonly PromptPartKey[]
}

/** What an instance that has just begun to serve should know of breaks: what is looked at, and what has ended. */
export interface OpenSuspicion {
  readonly start: EndpointStart
  readonly isUnresponsive: boolean
  /** Requests that may have ended it. */
  readonly requests: readonly ResetRequest[]
}

/** What the search for ends works with. */
export interface EndpointCrashDetectorParts {
  readonly clock: Clock
  readonly probe: (endpoint: SuspectEndpoint) => Promise<ProbeResult>
  /** What is known here of breaks, by this search and by news. */
  readonly broken: SuspectEndpoints
  readonly onCrash: (end: EndpointCrash) => void
  /** Requests were broken off, and it is looked whether their endpoint has ended; told again for as long as that lasts. */
  readonly onProbing: (start: EndpointStart, requests: readonly ResetRequest[]) => void
  /** A look showed an end or life; `onEnd` was called before where it showed an end. */
  readonly onProbed: (start: EndpointStart, hasEnded: boolean) => void
  /** The look showed that this start lives. */
  readonly onAlive: (start: EndpointStart) => void
  /** Something listens where a start has ended, and does not answer; told again for as long as that lasts. */
  readonly onUnresponsive: (start: EndpointStart, seen: CrashTimes) => void
}

/** A request that was broken off, and of which nothing was told yet. */
interface UnreportedReset {
  readonly request: ResetRequest
  /** Monotonic time of its break. */
  readonly at: Milliseconds
}

/** Requests that one start of an endpoint broke off. */
interface SuspicionState {
  readonly endpoint: SuspectEndpoint
  unreported: UnreportedReset[]
  /** What was told of the end, and what is in `untold`: one that is suspected again adds nothing. */
  readonly known: Set<string>
  /** What was told of the look in progress, */
  readonly announced: Set<RequestFingerprint>
  /** and what is told of it next, all at once. */
  readonly pendingAnnouncements: ResetRequest[]
  /** Monotonic time of the break for which it is looked. */
  brokenAt: Milliseconds
  /** Monotonic time at which the first look for it was over. */
  lookedAt: Milliseconds
  /** Monotonic time at which the newest look began. */
  probeStartedAt: Milliseconds
  newestAt: Milliseconds
  signs: ProbeResult[]
  /** Whether another instance told since the break that it has ended. */
  wasReportedByPeer: boolean
  hasEnded: boolean
  /** Whether a later start is listed in its place. */
  isReplaced: boolean
  probing: Promise<void> | undefined
}

/**
 * Each break is kept this long, for an endpoint that is back under its address before anybody looked: its row tells of a
 * new start within a heartbeat and a read. What broke off earlier had no part in that end, however much breaks off since.
 */
const REMEMBERED_MILLISECONDS = 5_000
/** Time between two looks at an endpoint that did not answer the first one. */
const REPROBE_MILLISECONDS: Milliseconds = 25
/** News of a break at which it is still looked is told again after this time: it is forgotten after twice as long. */
const RENEWAL_MILLISECONDS: Milliseconds = 500
/** News of an end speaks of breaks that are no older than this: what broke off earlier met another trouble. */
const PEER_REPORT_MILLISECONDS: Milliseconds = 1_000
/** A look that began before the break of a request could show the life that the request ends a moment later. */
const SILENCE_MILLISECONDS: Milliseconds = 100
/** Time between two looks at one that has ended behind something that listens, */
const RECOVERY_PROBE_MILLISECONDS: Milliseconds = 500
/** and how many of them are made: it is tried like any other after that. */
const MAXIMUM_RECOVERY_PROBES = 120

/** The endpoints that break requests off, as one instance sees it. */
export class EndpointCrashDetector {
  private readonly breaks = new Map<EndpointStart, SuspicionState>()
  /** Starts that have ended behind something that listens, until they are back. */
  private readonly watched = new Set<EndpointStart>()
  private isStopped = false

  constructor(private readonly parts: EndpointCrashDetectorParts) {}

  stop(): void {
    this.isStopped = true
  }

  /** An endpoint broke a request off before any part of an answer; resolves with whether it is known to have ended. */
  async noteReset(endpoint: SuspectEndpoint, request: ResetRequest): Promise<boolean> {
    if (endpoint.isPlannedShutdown) return false
    const breaks = this.breaksOf(endpoint)
    const wasThere = this.wasThere(breaks, request)
    if (wasThere) addOnce(breaks, request, this.parts.clock.monotonic())
    if (breaks.hasEnded) {
      this.reportCrash(breaks)
      return true
    }
    if (wasThere) this.announceSuspicion(breaks, request)
    breaks.probing ??= this.startProbing(breaks)
    await breaks.probing
    return breaks.hasEnded
  }

  /** Breaks at which it is looked from here, and starts that are not back; who else heard of them is not asked. */
  get openSuspicions(): readonly OpenSuspicion[] {
    const looked = [...this.breaks.values()].filter(({ probing }) => probing !== undefined)
    return [
      ...looked.map(({ endpoint: { start }, unreported, announced }) => {
        // What broke off earlier and is kept for a new row is not looked at any more.
        const requests = onceEach(unreported.map(({ request }) => request)).filter(
          ({ fingerprint }) => announced.has(fingerprint),
        )
        return { start, isUnresponsive: false, requests }
      }),
      ...[...this.watched].map(start => ({ start, isUnresponsive: true, requests: [] })),
    ]
  }

  /** The first of a look is told at once; the others of the same moment go together. */
  private announceSuspicion(breaks: SuspicionState, request: ResetRequest): void {
    const { announced, pendingAnnouncements, endpoint } = breaks
    if (announced.has(request.fingerprint)) return
    announced.add(request.fingerprint)
    if (announced.size === 1) return this.parts.onProbing(endpoint.start, [request])
    pendingAnnouncements.push(request)
    if (pendingAnnouncements.length === 1) queueMicrotask(() => this.announcePending(breaks))
  }

  private announcePending(breaks: SuspicionState): void {
    const rest = breaks.pendingAnnouncements.splice(0)
    if (breaks.probing !== undefined) this.parts.onProbing(breaks.endpoint.start, rest)
  }

  /** An endpoint cut what it had begun to answer; resolves with whether it is known to have ended. Nothing is marked for it. */
  async noteInterrupted(endpoint: SuspectEndpoint): Promise<boolean> {
    if (endpoint.isPlannedShutdown) return false
    const breaks = this.breaksOf(endpoint)
    if (breaks.hasEnded) return true
    breaks.probing ??= this.startProbing(breaks)
    await breaks.probing
    return breaks.hasEnded
  }

  /** A start of an endpoint is over, by its row. */
  noteReplaced(start: EndpointStart): void {
    const breaks = this.breaks.get(start)
    if (breaks === undefined) return
    breaks.isReplaced = true
    this.end(breaks)
  }

  /** Another instance saw the end: what was broken off here is held for it, though no look of this one could tell. */
  notePeerReport(start: EndpointStart): void {
    const breaks = this.breaks.get(start)
    if (breaks === undefined || breaks.hasEnded) return
    const { clock } = this.parts
    if (clock.monotonic() > breaks.newestAt + PEER_REPORT_MILLISECONDS) return
    breaks.wasReportedByPeer = true
    if (breaks.probing === undefined && this.judge(breaks) === 'ended') this.end(breaks)
  }

  /**
   * A suspected request is sent where something was broken off and no look could tell. A silent front breaks nothing more
   * off, so it is looked at once more; that alone leaves the endpoint in doubt no longer.
   */
  noteSuspectSent(start: EndpointStart): void {
    const breaks = this.breaks.get(start)
    if (breaks === undefined || !this.isUnproven(breaks)) return
    this.parts.clock.after(SILENCE_MILLISECONDS, () => {
      if (!this.isUnproven(breaks) || this.isStopped) return
      breaks.signs = []
      breaks.probing = this.probeUntilKnown(breaks)
    })
  }

  /** Whether the looks are over and proved nothing, and nothing came from there since. */
  private isUnproven(breaks: SuspicionState): boolean {
    const { hasEnded, probing } = breaks
    return !hasEnded && probing === undefined && this.judge(breaks) === 'unknown'
  }

  private wasThere({ endpoint, probing }: SuspicionState, { sentAt }: ResetRequest): boolean {
    const { broken } = this.parts
    const { start, isStartReported = false } = endpoint
    if (probing === undefined) this.noteLife(endpoint)
    return isStartReported
      ? broken.wasInFlightAtStart(start, sentAt)
      : broken.wasInFlightAtEndpoint(start, sentAt)
  }

  private noteLife({ start, isStartReported = false, heard }: SuspectEndpoint): void {
    const { broken } = this.parts
    const lived = lastAliveAt(heard())
    if (isStartReported) broken.noteAliveAt(start, lived)
    else broken.noteEndpointAliveAt(start, lived)
  }

  private startProbing(breaks: SuspicionState): Promise<void> {
    breaks.brokenAt = this.parts.clock.monotonic()
    this.parts.broken.noteReset(breaks.endpoint.start, breaks.brokenAt)
    breaks.lookedAt = Number.POSITIVE_INFINITY
    breaks.signs = []
    breaks.wasReportedByPeer = false
    const looking = this.probeUntilKnown(breaks)
    this.renewLater(breaks)
    return looking
  }

  /** A look may take longer than others believe in its break. */
  private renewLater(breaks: SuspicionState): void {
    const { brokenAt, endpoint } = breaks
    this.parts.clock.after(RENEWAL_MILLISECONDS, () => {
      const isOver = breaks.probing === undefined || breaks.brokenAt !== brokenAt
      if (isOver || breaks.hasEnded || this.isStopped) return
      const requests = breaks.unreported.map(({ request }) => request)
      if (requests.length > 0) this.parts.onProbing(endpoint.start, onceEach(requests))
      this.renewLater(breaks)
    })
  }

  private async probeUntilKnown(breaks: SuspicionState): Promise<void> {
    let verdict = await this.probeOnce(breaks)
    while (verdict === 'look-again') {
      await sleep(this.parts.clock, REPROBE_MILLISECONDS)
      verdict = await this.probeOnce(breaks)
    }
    breaks.probing = undefined
    breaks.announced.clear()
    const isEnd = verdict === 'ended' && !breaks.hasEnded
    if (isEnd) this.end(breaks)
    this.noteJudged(breaks, verdict)
    if (!isEnd) return
    if (breaks.signs.at(-1) === 'does-not-answer') void this.watchRecovery(breaks)
  }

  /** What proves nothing takes no suspicion and no doubt away: each try that passed for innocent would cost an endpoint. */
  private noteJudged({ endpoint, hasEnded }: SuspicionState, verdict: LivenessVerdict): void {
    const { start } = endpoint
    if (verdict === 'unknown' && !hasEnded) return
    if (!hasEnded) this.parts.broken.clearSuspicion(start)
    this.parts.onProbed(start, hasEnded)
    if (verdict === 'lives') this.parts.onAlive(start)
  }

  private async probeOnce(breaks: SuspicionState): Promise<LivenessVerdict> {
    const { endpoint, signs } = breaks
    breaks.probeStartedAt = this.parts.clock.monotonic()
    signs.push(await this.parts.probe(endpoint))
    breaks.lookedAt = Math.min(breaks.lookedAt, this.parts.clock.monotonic())
    return this.judge(breaks)
  }

  private judge(breaks: SuspicionState): LivenessVerdict {
    const { endpoint, signs, wasReportedByPeer } = breaks
    return judgeLiveness(signs, wasAliveAfterReset(breaks, endpoint.heard()), wasReportedByPeer)
  }

  /** An engine that is back behind its front is used again as soon as it tells its state. */
  private async watchRecovery(breaks: SuspicionState): Promise<void> {
    const { start } = breaks.endpoint
    this.watched.add(start)
    for (let look = 0; look < MAXIMUM_RECOVERY_PROBES && !this.isStopped; look += 1) {
      this.parts.broken.noteTerminated(start, this.parts.clock.monotonic())
      this.parts.onUnresponsive(start, seenOf(breaks))
      await sleep(this.parts.clock, RECOVERY_PROBE_MILLISECONDS)
      if (!(await this.isStillUnresponsive(breaks))) break
    }
    this.watched.delete(start)
    this.parts.broken.noteRecovered(start, this.parts.clock.monotonic())
    this.breaks.delete(start)
  }

  /** A later start, or a state that was asked for after the end, says more than a look: that may meet the next end. */
  private async isStillUnresponsive(breaks: SuspicionState): Promise<boolean> {
    const { endpoint, brokenAt } = breaks
    if (breaks.isReplaced) return false
    const lookBeganAt = this.parts.clock.monotonic()
    const sign = await this.parts.probe(endpoint)
    // A look that proves nothing is not told as one that shows the end again.
    if (sign === 'does-not-answer') breaks.probeStartedAt = lookBeganAt
    const isBack = isRecovery(sign) || endpoint.heard().askedAt > brokenAt
    return !isBack && !breaks.isReplaced
  }

  private end(breaks: SuspicionState): void {
    breaks.hasEnded = true
    this.reportCrash(breaks)
  }

  private reportCrash(breaks: SuspicionState): void {
    const { endpoint, signs } = breaks
    forgetUntold(breaks, this.parts.clock.monotonic() - REMEMBERED_MILLISECONDS)
    const unanswered = breaks.unreported.map(({ request }) => request)
    if (unanswered.length === 0) return
    breaks.unreported = []
    this.parts.onCrash({ endpoint, signs: [...signs], unanswered, seen: seenOf(breaks) })
  }

  private breaksOf(endpoint: SuspectEndpoint): SuspicionState {
    const now = this.parts.clock.monotonic()
    this.forgetOlderThan(now - REMEMBERED_MILLISECONDS)
    const known = this.breaks.get(endpoint.start)
    if (known !== undefined) {
      forgetUntold(known, now - REMEMBERED_MILLISECONDS)
      known.newestAt = now
      return known
    }
    const { hasEnded, start } = endpoint
    const created: SuspicionState = {
      endpoint,
      unreported: [],
      known: new Set(),
      announced: new Set(),
      pendingAnnouncements: [],
      brokenAt: now,
      lookedAt: Number.POSITIVE_INFINITY,
      probeStartedAt: now,
      newestAt: now,
      signs: [],
      wasReportedByPeer: false,
      hasEnded,
      isReplaced: false,
      probing: undefined,
    }
    this.breaks.set(start, created)
    return created
  }

  private forgetOlderThan(oldest: Milliseconds): void {
    for (const [start, { newestAt }] of this.breaks) {
      if (newestAt < oldest) this.breaks.delete(start)
    }
  }
}

/** A mark is told once; as one that was isolated a request says more. */
function addOnce(breaks: SuspicionState, request: ResetRequest, at: Milliseconds): void {
  const key = keyOf(request)
  if (breaks.known.has(key)) return
  breaks.known.add(key)
  breaks.unreported.push({ request, at })
}

function keyOf({ fingerprint, wasIsolated }: ResetRequest): string {
  return `${fingerprint} ${wasIsolated}`
}

/** What broke off before a time is held for no end that comes later; it may be broken off anew. */
function forgetUntold(breaks: SuspicionState, oldest: Milliseconds): void {
  if (breaks.unreported.every(({ at }) => at >= oldest)) return
  for (const { request, at } of breaks.unreported)
    if (at < oldest) breaks.known.delete(keyOf(request))
  breaks.unreported = breaks.unreported.filter(({ at }) => at >= oldest)
}

/** The requests, each fingerprint once. */
function onceEach(requests: readonly ResetRequest[]): readonly ResetRequest[] {
  return [...new Map(requests.map(request => [request.fingerprint, request])).values()]
}

function seenOf({ brokenAt, probeStartedAt }: SuspicionState): CrashTimes {
  return { brokenAt, lookedAt: probeStartedAt }
}

/** Whether what listened for an endpoint that has ended no longer does, or tells its state. */
function isRecovery(sign: ProbeResult): boolean {
  return sign === 'lives' || sign === 'nobody-listens'
}
