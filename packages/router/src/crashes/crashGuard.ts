/**
 * Quarantines requests that crash one endpoint after another. Owns what this instance knows of them. The rule
 * is in decisions/retrying/requestQuarantine, crash detection in endpointCrashDetector. The owner of the
 * guard sends its gossip to the other instances.
 */

import {
  SuspectEndpoints,
  RequestQuarantine,
  UnconfirmedCrashes,
  lastAliveAt,
} from '@rackwalk/decisions'
import type {
  CrashMark,
  CrashGossip,
  QuarantineVerdict,
  ProbeResult,
  LastContactTimes,
  KnownTermination,
} from '@rackwalk/decisions'
import type {
  Clock,
  EndpointId,
  EndpointStart,
  Milliseconds,
  PromptPartKey,
  RequestFingerprint,
} from '@rackwalk/shared'
import { EndpointCrashDetector } from './endpointCrashDetector.js'
import { PromptPartGuard } from './promptPartGuard.js'
import type {
  SuspectEndpoint,
  ResetRequest,
  EndpointCrash,
  CrashTimes,
} from './endpointCrashDetector.js'

/** Starts for which the time of the first peer report is remembered, at most. */
const MAXIMUM_REPORTED_STARTS = 1_024

/** Dependencies and callbacks of a guard. */
export interface CrashGuardParts {
  readonly clock: Clock
  readonly probe: (endpoint: SuspectEndpoint) => Promise<ProbeResult>
  /** An endpoint crashed while requests of this instance were in flight to it. */
  readonly onCrash: (crash: EndpointCrash) => void
  /** A start of an endpoint has terminated, as detected here or reported by a peer. */
  readonly onUnreachable: (start: EndpointStart) => void
  /**
   * Like `onUnreachable`, with the evidence, so that requests waiting there can move to other endpoints. Not
   * called for terminations that are known from stored records only.
   */
  readonly onKnownEnd?: (start: EndpointStart, termination: KnownTermination) => void
  /** Sends gossip to all other instances. */
  readonly broadcast: (gossip: CrashGossip) => void
  /** A request is refused from now on, or no longer refused. */
  readonly onVerdict: (fingerprint: RequestFingerprint, isRefused: boolean) => void
  /** A part of prompts is refused from now on, or no longer refused, whichever request contains it. */
  readonly onPromptPartVerdict?: (part: PromptPartKey, isRefused: boolean) => void
}

/** Crash evidence of one instance, and the verdicts on requests that follow from it. */
export class CrashGuard {
  private readonly quarantine = new RequestQuarantine()
  /** Resets that are not confirmed as crashes yet: the endpoint is still being probed, here or by a peer. */
  private readonly pending = new UnconfirmedCrashes()
  private readonly suspectStarts = new SuspectEndpoints()
  private readonly detector: EndpointCrashDetector
  /** Quarantine of prompt parts that crash endpoints in any request that contains them. */
  readonly promptParts: PromptPartGuard
  /**
   * Monotonic time of the first peer report that an engine terminated while its address still accepts
   * connections.
   */
  private readonly firstReportedAt = new Map<EndpointStart, Milliseconds>()

  constructor(private readonly parts: CrashGuardParts) {
    const { clock, broadcast, onPromptPartVerdict = () => {} } = parts
    this.promptParts = new PromptPartGuard({ clock, broadcast, onPromptPartVerdict })
    this.detector = new EndpointCrashDetector({
      ...parts,
      suspects: this.suspectStarts,
      onCrash: crash => this.noteCrash(crash),
      onUnresponsive: (start, seen) => this.noteUnresponsive(start, seen),
      onProbing: (start, requests) =>
        this.noteProbing(requests.map(request => crashMarkOf(start, request))),
      onProbed: (start, hasEnded) => this.noteProbed(start, hasEnded),
      onAlive: start => this.noteAlive(start),
    })
  }

  stop(): void {
    this.detector.stop()
  }

  /**
   * Whether any request of this scope is suspected. Needs no body, so that only bodies of suspected scopes
   * are hashed.
   */
  hasSuspectsInScope(scope: string): boolean {
    const now = this.parts.clock.monotonic()
    return this.quarantine.hasSuspectsInScope(scope) || this.pending.hasSuspectsInScope(scope, now)
  }

  /**
   * Number of requests refused because of crash marks. Requests that are refused provisionally until their
   * mark arrives have no record and are not counted.
   */
  get refusedCount(): number {
    return this.quarantine.refusedCount
  }

  /** Crash marks against a request that no answer has cleared. */
  marksOf(fingerprint: RequestFingerprint): readonly CrashMark[] {
    return this.quarantine.openMarksOf(fingerprint)
  }

  /** Fingerprints of requests that are isolated or refused. */
  get suspects(): readonly RequestFingerprint[] {
    return this.quarantine.fingerprints.filter(suspect => this.verdict(suspect) !== 'send')
  }

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const known = this.quarantine.verdict(fingerprint)
    const pending = this.pending.verdict(fingerprint, this.parts.clock.monotonic())
    const verdicts = [known, pending]
    if (verdicts.includes('refuse')) return 'refuse'
    return verdicts.includes('isolate') ? 'isolate' : 'send'
  }

  /**
   * Whether a start reset a connection and may have terminated. Unsuspected requests go to other endpoints
   * while there are any.
   */
  isSuspect(start: EndpointStart): boolean {
    return this.suspectStarts.isSuspect(start, this.parts.clock.monotonic())
  }

  /** Like `isSuspect`, for an endpoint whose platform does not report its starts. */
  isEndpointSuspect(endpoint: EndpointId): boolean {
    return this.suspectStarts.isEndpointSuspect(endpoint, this.parts.clock.monotonic())
  }

  /**
   * The start to which a reset is attributed, for an endpoint whose platform does not report its starts.
   * Undefined where the reset begins a new suspicion.
   */
  startOf(endpoint: EndpointId, heard: LastContactTimes): EndpointStart | undefined {
    const now = this.parts.clock.monotonic()
    return this.suspectStarts.suspectStartOf(endpoint, { now, lived: lastAliveAt(heard) })
  }

  /**
   * Open suspicions and terminations detected here, for an instance that joined after they were announced.
   */
  get newsSnapshot(): CrashGossip {
    const { openSuspicions } = this.detector
    const suspected = openSuspicions
      .filter(({ isUnresponsive }) => !isUnresponsive)
      .flatMap(({ start, requests }) => requests.map(request => crashMarkOf(start, request)))
    const away = openSuspicions
      .filter(({ isUnresponsive }) => isUnresponsive)
      .map(({ start }) => start)
    return { marks: [], cleared: [], suspected, away, ...this.promptParts.newsSnapshot }
  }

  /**
   * An endpoint reset a request before any part of an answer. Resolves with whether the endpoint is known to
   * have terminated.
   */
  noteReset(endpoint: SuspectEndpoint, request: ResetRequest): Promise<boolean> {
    return this.detector.noteReset(endpoint, request)
  }

  /** A suspected request is sent to this start. */
  noteSuspectSent(start: EndpointStart): void {
    this.detector.noteSuspectSent(start)
  }

  /** An endpoint interrupted an answer. Resolves with whether the endpoint is known to have terminated. */
  noteInterrupted(endpoint: SuspectEndpoint): Promise<boolean> {
    return this.detector.noteInterrupted(endpoint)
  }

  /** The endpoint's row shows that this start was replaced. */
  noteReplaced(start: EndpointStart): void {
    this.detector.noteReplaced(start)
  }

  /** An endpoint began to answer the request, so the request did not cause the earlier crashes. */
  noteAnswered(fingerprint: RequestFingerprint): void {
    this.clear(fingerprint)
  }

  /** Clears all crash marks of a request, here and at all other instances. */
  clear(fingerprint: RequestFingerprint): void {
    const starts = this.openStarts(fingerprint)
    if (starts.length === 0) return
    const gossip: CrashGossip = { marks: [], cleared: [{ fingerprint, starts }] }
    this.applyAndBroadcast(gossip)
  }

  /** Applies gossip from other instances. */
  applyNews(gossip: CrashGossip): void {
    this.applyLocally(gossip)
    this.promptParts.applyNews(gossip)
    for (const start of gossip.away ?? []) {
      this.detector.notePeerReport(start)
      this.notePeerReport(start)
    }
  }

  /** Clears the crash marks of a request here, after an operator or another instance removed its record. */
  forget(fingerprint: RequestFingerprint): void {
    this.applyLocally({
      marks: [],
      cleared: [{ fingerprint, starts: this.openStarts(fingerprint) }],
    })
  }

  private openStarts(fingerprint: RequestFingerprint): readonly EndpointStart[] {
    return this.marksOf(fingerprint).map(({ start }) => start)
  }

  private noteProbing(suspected: readonly CrashMark[]): void {
    this.applyAndBroadcast({ marks: [], cleared: [], suspected })
  }

  /** The result of the probe also settles what peers reported of this start. */
  private noteProbed(start: EndpointStart, hasEnded: boolean): void {
    if (hasEnded) this.pending.noteTerminated(start, this.parts.clock.monotonic())
    else this.pending.forget(start)
  }

  private noteAlive(start: EndpointStart): void {
    this.applyAndBroadcast({ marks: [], cleared: [], lives: [start] })
  }

  private noteUnresponsive(start: EndpointStart, seen: CrashTimes): void {
    this.applyAndBroadcast({ marks: [], cleared: [], away: [start] })
    this.parts.onKnownEnd?.(start, { source: 'look', ...seen })
  }

  private noteCrash(crash: EndpointCrash): void {
    this.parts.onCrash(crash)
    const { start } = crash.endpoint
    const marks = crash.unanswered.map(request => crashMarkOf(start, request))
    this.applyAndBroadcast({ marks, cleared: [] })
    this.promptParts.noteCrash(start, crash.unanswered)
    this.parts.onKnownEnd?.(start, { source: 'look', ...crash.seen })
  }

  private notePeerReport(start: EndpointStart): void {
    const toldAt = this.parts.clock.monotonic()
    const firstToldAt = this.firstReportedAt.get(start) ?? toldAt
    if (this.firstReportedAt.size >= MAXIMUM_REPORTED_STARTS) this.firstReportedAt.clear()
    this.firstReportedAt.set(start, firstToldAt)
    this.parts.onKnownEnd?.(start, { source: 'news', firstToldAt, toldAt })
  }

  /** Applies gossip that originates here and broadcasts it. */
  private applyAndBroadcast(gossip: CrashGossip): void {
    this.applyLocally(gossip)
    this.parts.broadcast(gossip)
  }

  private applyLocally(gossip: CrashGossip): void {
    this.applySuspicions(gossip)
    const { marks, cleared, away = [] } = gossip
    for (const start of away) this.parts.onUnreachable(start)
    for (const mark of marks) {
      this.notifyVerdictChange(mark.fingerprint, () => this.noteMark(mark))
    }
    for (const { fingerprint, starts } of cleared) {
      this.pending.clear(fingerprint, starts)
      this.notifyVerdictChange(fingerprint, () => this.quarantine.clear(fingerprint, starts))
    }
  }

  /** Updates suspected starts and unconfirmed crashes. */
  private applySuspicions({ marks, away = [], suspected = [], lives = [] }: CrashGossip): void {
    const now = this.parts.clock.monotonic()
    for (const start of lives) {
      this.suspectStarts.clearSuspicion(start)
      this.pending.forget(start)
    }
    // Marks say nothing of when the crash was, as they also come from stored records. So they suspect no
    // start.
    for (const { start } of suspected) this.suspectStarts.noteReset(start, now)
    for (const start of away) this.suspectStarts.noteTerminated(start, now)
    for (const mark of suspected) this.pending.noteReset(mark, now)
    for (const start of away) this.pending.noteTerminated(start, now)
    for (const { start } of marks) this.pending.noteTerminated(start, now)
  }

  private noteMark(mark: CrashMark): void {
    if (this.quarantine.noteMark(mark)) this.parts.onUnreachable(mark.start)
  }

  private notifyVerdictChange(fingerprint: RequestFingerprint, change: () => void): void {
    const wasRefused = this.quarantine.verdict(fingerprint) === 'refuse'
    change()
    const isRefused = this.quarantine.verdict(fingerprint) === 'refuse'
    if (isRefused !== wasRefused) this.parts.onVerdict(fingerprint, isRefused)
  }
}

/** The crash mark of a request that was in flight when a start terminated. */
function crashMarkOf(start: EndpointStart, { fingerprint, wasIsolated }: ResetRequest): CrashMark {
  return { fingerprint, start, wasIsolated }
}
