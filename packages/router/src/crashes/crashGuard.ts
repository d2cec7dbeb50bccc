/**
 * Quarantines requests that crash one endpoint after another: judges whether a request is sent normally,
 * isolated on one endpoint or refused. Without it, a request that is sent again and again could crash every
 * endpoint. Owns the crash evidence that this instance knows. Most of it is crash marks: a mark says that a
 * request was in flight unanswered when one run (start) of an endpoint crashed. Changes go to the other
 * instances as messages (gossip), which the owner of the guard sends. The rule is in
 * decisions/retrying/requestQuarantine, crash detection in endpointCrashDetector.
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

/** Maximum number of starts for which the time of the first peer report is remembered. */
const MAXIMUM_REPORTED_STARTS = 1_024

/** Dependencies and callbacks of a guard. */
export interface CrashGuardParts {
  readonly clock: Clock
  readonly probe: (endpoint: SuspectEndpoint) => Promise<ProbeResult>
  /** An endpoint crashed while requests of this instance were in flight to it. */
  readonly onCrash: (crash: EndpointCrash) => void
  /**
   * A start of an endpoint has terminated or its engine does not respond, as detected here, reported by a
   * peer or known from stored records.
   */
  readonly onUnreachable: (start: EndpointStart) => void
  /**
   * Like `onUnreachable`, with the evidence, so that requests in flight to the endpoint can move to other
   * endpoints. Not called for crash marks of other instances or of stored records.
   */
  readonly onKnownTermination?: (start: EndpointStart, termination: KnownTermination) => void
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
  /** Resets that are not confirmed as crashes: their endpoints are probed, by this instance or by a peer. */
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
    return this.quarantine.unclearedMarksOf(fingerprint)
  }

  /** Fingerprints of requests with crash evidence that are isolated or refused. */
  get suspects(): readonly RequestFingerprint[] {
    return this.quarantine.fingerprints.filter(suspect => this.verdict(suspect) !== 'send')
  }

  /** The stricter one of the verdicts from crash marks and from unconfirmed resets. */
  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const known = this.quarantine.verdict(fingerprint)
    const pending = this.pending.verdict(fingerprint, this.parts.clock.monotonic())
    const verdicts = [known, pending]
    if (verdicts.includes('refuse')) return 'refuse'
    return verdicts.includes('isolate') ? 'isolate' : 'send'
  }

  /**
   * Whether a start reset a connection and may have terminated. Requests that are not isolated go to other
   * endpoints while there are any.
   */
  isSuspect(start: EndpointStart): boolean {
    return this.suspectStarts.isSuspect(start, this.parts.clock.monotonic())
  }

  /** Like `isSuspect`, for an endpoint whose platform does not report its starts. */
  isEndpointSuspect(endpoint: EndpointId): boolean {
    return this.suspectStarts.isEndpointSuspect(endpoint, this.parts.clock.monotonic())
  }

  /**
   * Returns the suspected start to which a reset is attributed, for an endpoint whose platform does not
   * report its starts. Undefined if the reset begins a new suspicion.
   */
  startOf(endpoint: EndpointId, heard: LastContactTimes): EndpointStart | undefined {
    const now = this.parts.clock.monotonic()
    return this.suspectStarts.suspectStartOf(endpoint, { now, lived: lastAliveAt(heard) })
  }

  /**
   * This instance's open suspicions and unresponsive starts, and its evidence against prompt parts, for an
   * instance that joined after they were announced.
   */
  get gossipSnapshot(): CrashGossip {
    const { openSuspicions } = this.detector
    const suspected = openSuspicions
      .filter(({ isUnresponsive }) => !isUnresponsive)
      .flatMap(({ start, requests }) => requests.map(request => crashMarkOf(start, request)))
    const away = openSuspicions
      .filter(({ isUnresponsive }) => isUnresponsive)
      .map(({ start }) => start)
    return { marks: [], cleared: [], suspected, away, ...this.promptParts.gossipSnapshot }
  }

  /**
   * An endpoint reset a request before any part of an answer. Resolves with whether the endpoint is known to
   * have terminated.
   */
  noteReset(endpoint: SuspectEndpoint, request: ResetRequest): Promise<boolean> {
    return this.detector.noteReset(endpoint, request)
  }

  /** A suspected request is sent to this start. If the start's probes proved nothing, it is probed again. */
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

  /** Clears all crash marks of a request, at this and at all other instances. */
  clear(fingerprint: RequestFingerprint): void {
    const starts = this.openStarts(fingerprint)
    if (starts.length === 0) return
    const gossip: CrashGossip = { marks: [], cleared: [{ fingerprint, starts }] }
    this.applyAndBroadcast(gossip)
  }

  /** Applies gossip from other instances. */
  applyGossip(gossip: CrashGossip): void {
    this.applyLocally(gossip)
    this.promptParts.applyGossip(gossip)
    for (const start of gossip.away ?? []) {
      this.detector.notePeerReport(start)
      this.notePeerReport(start)
    }
  }

  /**
   * Clears the crash marks of a request at this instance, after an operator or another instance removed its
   * record.
   */
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

  /** The result of this instance's probes also settles the resets at this start that peers reported. */
  private noteProbed(start: EndpointStart, hasEnded: boolean): void {
    if (hasEnded) this.pending.noteTerminated(start, this.parts.clock.monotonic())
    else this.pending.forget(start)
  }

  private noteAlive(start: EndpointStart): void {
    this.applyAndBroadcast({ marks: [], cleared: [], lives: [start] })
  }

  private noteUnresponsive(start: EndpointStart, seen: CrashTimes): void {
    this.applyAndBroadcast({ marks: [], cleared: [], away: [start] })
    this.parts.onKnownTermination?.(start, { source: 'look', ...seen })
  }

  private noteCrash(crash: EndpointCrash): void {
    this.parts.onCrash(crash)
    const { start } = crash.endpoint
    const marks = crash.unanswered.map(request => crashMarkOf(start, request))
    this.applyAndBroadcast({ marks, cleared: [] })
    this.promptParts.noteCrash(start, crash.unanswered)
    this.parts.onKnownTermination?.(start, { source: 'look', ...crash.seen })
  }

  private notePeerReport(start: EndpointStart): void {
    const reportedAt = this.parts.clock.monotonic()
    const firstReportedAt = this.firstReportedAt.get(start) ?? reportedAt
    if (this.firstReportedAt.size >= MAXIMUM_REPORTED_STARTS) this.firstReportedAt.clear()
    this.firstReportedAt.set(start, firstReportedAt)
    this.parts.onKnownTermination?.(start, {
      source: 'news',
      firstReportedAt,
      reportedAt,
    })
  }

  /** Applies evidence that this instance found, and broadcasts it. */
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
    // Marks carry no time and may come from stored records, so the crash may be long over. They raise no
    // suspicion of the start.
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
