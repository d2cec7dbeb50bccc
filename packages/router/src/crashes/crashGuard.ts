/**
 * Keeps requests from endpoint after endpoint that they end. Owns what this instance believes of them; the rule is in
 * decisions/retrying/crashSuspicion, the search for ends in endpointEnds. Others are told by whoever made the guard.
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

/** Ends told by others that are remembered. */
const REMEMBERED_NEWS = 1_024

/** What the guard works with. */
export interface CrashGuardParts {
  readonly clock: Clock
  readonly probe: (endpoint: SuspectEndpoint) => Promise<ProbeResult>
  /** An endpoint ended under requests from here. */
  readonly onCrash: (end: EndpointCrash) => void
  /** A start of an endpoint has ended, as this instance saw or was told. */
  readonly onUnreachable: (start: EndpointStart) => void
  /** The same, with how it is known: what waits there may go on elsewhere. Not told of ends that are only on record. */
  readonly onKnownEnd?: (start: EndpointStart, end: KnownTermination) => void
  /** For all other instances. */
  readonly broadcast: (news: CrashGossip) => void
  /** A request is refused from now on, or is no longer. */
  readonly onVerdict: (fingerprint: RequestFingerprint, isRefused: boolean) => void
  /** The same of a part of prompts, whichever request holds it. */
  readonly onPromptPartVerdict?: (part: PromptPartKey, isRefused: boolean) => void
}

/** What one instance knows of requests that end endpoints. */
export class CrashGuard {
  private readonly suspicions = new RequestQuarantine()
  /** What is not known yet: breaks at which it is looked, here or at another instance. */
  private readonly unjudged = new UnconfirmedCrashes()
  private readonly suspectStarts = new SuspectEndpoints()
  private readonly detector: EndpointCrashDetector
  /** Parts of prompts that end endpoints, whatever else the request holds. */
  readonly promptParts: PromptPartGuard
  /** When others told first of an end behind something that listens. */
  private readonly firstReportedAt = new Map<EndpointStart, Milliseconds>()

  constructor(private readonly parts: CrashGuardParts) {
    const { clock, broadcast, onPromptPartVerdict = () => {} } = parts
    this.promptParts = new PromptPartGuard({ clock, broadcast, onPromptPartVerdict })
    this.detector = new EndpointCrashDetector({
      ...parts,
      broken: this.suspectStarts,
      onCrash: end => this.noteEnd(end),
      onUnresponsive: (start, seen) => this.noteAway(start, seen),
      onProbing: (start, requests) =>
        this.noteLook(requests.map(request => markOf(start, request))),
      onProbed: (start, hasEnded) => this.noteLooked(start, hasEnded),
      onAlive: start => this.noteLives(start),
    })
  }

  stop(): void {
    this.detector.stop()
  }

  /** Whether a request may be suspected, by what is known of it without its body. */
  hasSuspectsInScope(scope: string): boolean {
    const now = this.parts.clock.monotonic()
    return this.suspicions.hasSuspectsInScope(scope) || this.unjudged.hasSuspectsInScope(scope, now)
  }

  /** Requests that are refused by a mark; what is refused for a moment until its mark comes is on no record. */
  get refusedCount(): number {
    return this.suspicions.refusedCount
  }

  /** What is held against a request. */
  marksOf(fingerprint: RequestFingerprint): readonly CrashMark[] {
    return this.suspicions.openMarksOf(fingerprint)
  }

  /** Requests that are not sent as any other. */
  get suspects(): readonly RequestFingerprint[] {
    return this.suspicions.fingerprints.filter(suspect => this.verdict(suspect) !== 'send')
  }

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const known = this.suspicions.verdict(fingerprint)
    const unjudged = this.unjudged.verdict(fingerprint, this.parts.clock.monotonic())
    const verdicts = [known, unjudged]
    if (verdicts.includes('refuse')) return 'refuse'
    return verdicts.includes('isolate') ? 'isolate' : 'send'
  }

  /** Whether a start broke something off, and may have ended: what is not suspected goes elsewhere while it can. */
  isSuspect(start: EndpointStart): boolean {
    return this.suspectStarts.isSuspect(start, this.parts.clock.monotonic())
  }

  /** The same of an endpoint whose platform does not tell its starts. */
  isEndpointSuspect(endpoint: EndpointId): boolean {
    return this.suspectStarts.isEndpointSuspect(endpoint, this.parts.clock.monotonic())
  }

  /** The start that a break belongs to of an endpoint whose platform does not tell its starts; undefined where it is new. */
  startOf(endpoint: EndpointId, heard: LastContactTimes): EndpointStart | undefined {
    const now = this.parts.clock.monotonic()
    return this.suspectStarts.suspectStartOf(endpoint, { now, lived: lastAliveAt(heard) })
  }

  /** What holds of breaks and ends by looks from here, for an instance that was not there when it was told. */
  get newsSnapshot(): CrashGossip {
    const { openSuspicions } = this.detector
    const suspected = openSuspicions
      .filter(({ isUnresponsive }) => !isUnresponsive)
      .flatMap(({ start, requests }) => requests.map(request => markOf(start, request)))
    const away = openSuspicions
      .filter(({ isUnresponsive }) => isUnresponsive)
      .map(({ start }) => start)
    return { marks: [], cleared: [], suspected, away, ...this.promptParts.newsSnapshot }
  }

  /** An endpoint broke a request off before any part of an answer; resolves with whether it is known to have ended. */
  noteReset(endpoint: SuspectEndpoint, request: ResetRequest): Promise<boolean> {
    return this.detector.noteReset(endpoint, request)
  }

  /** A suspected request is sent to this start of its endpoint. */
  noteSuspectSent(start: EndpointStart): void {
    this.detector.noteSuspectSent(start)
  }

  /** An endpoint cut what it had begun to answer; resolves with whether it is known to have ended. */
  noteInterrupted(endpoint: SuspectEndpoint): Promise<boolean> {
    return this.detector.noteInterrupted(endpoint)
  }

  /** A start of an endpoint is over, by its row. */
  noteReplaced(start: EndpointStart): void {
    this.detector.noteReplaced(start)
  }

  /** An endpoint answered a part of a request, so that is not what ended others. */
  noteAnswered(fingerprint: RequestFingerprint): void {
    this.clear(fingerprint)
  }

  /** Nothing is held against a request any more, here and at all other instances. */
  clear(fingerprint: RequestFingerprint): void {
    const starts = this.openStarts(fingerprint)
    if (starts.length === 0) return
    const news: CrashGossip = { marks: [], cleared: [{ fingerprint, starts }] }
    this.applyAndBroadcast(news)
  }

  /** Takes in what others found out. */
  applyNews(news: CrashGossip): void {
    this.applyLocally(news)
    this.promptParts.applyNews(news)
    for (const start of news.away ?? []) {
      this.detector.notePeerReport(start)
      this.noteTold(start)
    }
  }

  /** Nothing is held against a request any more: an operator, or another instance, removed its record. */
  forget(fingerprint: RequestFingerprint): void {
    this.applyLocally({
      marks: [],
      cleared: [{ fingerprint, starts: this.openStarts(fingerprint) }],
    })
  }

  private openStarts(fingerprint: RequestFingerprint): readonly EndpointStart[] {
    return this.marksOf(fingerprint).map(({ start }) => start)
  }

  private noteLook(suspected: readonly CrashMark[]): void {
    this.applyAndBroadcast({ marks: [], cleared: [], suspected })
  }

  /** What others told of this start is judged by the look at it as well. */
  private noteLooked(start: EndpointStart, hasEnded: boolean): void {
    if (hasEnded) this.unjudged.noteTerminated(start, this.parts.clock.monotonic())
    else this.unjudged.forget(start)
  }

  private noteLives(start: EndpointStart): void {
    this.applyAndBroadcast({ marks: [], cleared: [], lives: [start] })
  }

  private noteAway(start: EndpointStart, seen: CrashTimes): void {
    this.applyAndBroadcast({ marks: [], cleared: [], away: [start] })
    this.parts.onKnownEnd?.(start, { source: 'look', ...seen })
  }

  private noteEnd(end: EndpointCrash): void {
    this.parts.onCrash(end)
    const { start } = end.endpoint
    const marks = end.unanswered.map(request => markOf(start, request))
    this.applyAndBroadcast({ marks, cleared: [] })
    this.promptParts.noteEnd(start, end.unanswered)
    this.parts.onKnownEnd?.(start, { source: 'look', ...end.seen })
  }

  private noteTold(start: EndpointStart): void {
    const toldAt = this.parts.clock.monotonic()
    const firstToldAt = this.firstReportedAt.get(start) ?? toldAt
    if (this.firstReportedAt.size >= REMEMBERED_NEWS) this.firstReportedAt.clear()
    this.firstReportedAt.set(start, firstToldAt)
    this.parts.onKnownEnd?.(start, { source: 'news', firstToldAt, toldAt })
  }

  /** What this instance found out holds here and is told to all others. */
  private applyAndBroadcast(news: CrashGossip): void {
    this.applyLocally(news)
    this.parts.broadcast(news)
  }

  private applyLocally(news: CrashGossip): void {
    this.takeBreaks(news)
    const { marks, cleared, away = [] } = news
    for (const start of away) this.parts.onUnreachable(start)
    for (const mark of marks) {
      this.notifyVerdictChange(mark.fingerprint, () => this.noteMark(mark))
    }
    for (const { fingerprint, starts } of cleared) {
      this.unjudged.clear(fingerprint, starts)
      this.notifyVerdictChange(fingerprint, () => this.suspicions.clear(fingerprint, starts))
    }
  }

  /** What is believed of breaks by this news. */
  private takeBreaks({ marks, away = [], suspected = [], lives = [] }: CrashGossip): void {
    const now = this.parts.clock.monotonic()
    for (const start of lives) {
      this.suspectStarts.clearSuspicion(start)
      this.unjudged.forget(start)
    }
    // Marks may be old: they come from records as well.
    for (const { start } of suspected) this.suspectStarts.noteReset(start, now)
    for (const start of away) this.suspectStarts.noteTerminated(start, now)
    for (const mark of suspected) this.unjudged.noteReset(mark, now)
    for (const start of away) this.unjudged.noteTerminated(start, now)
    for (const { start } of marks) this.unjudged.noteTerminated(start, now)
  }

  private noteMark(mark: CrashMark): void {
    if (this.suspicions.noteMark(mark)) this.parts.onUnreachable(mark.start)
  }

  private notifyVerdictChange(fingerprint: RequestFingerprint, change: () => void): void {
    const wasRefused = this.suspicions.verdict(fingerprint) === 'refuse'
    change()
    const isRefused = this.suspicions.verdict(fingerprint) === 'refuse'
    if (isRefused !== wasRefused) this.parts.onVerdict(fingerprint, isRefused)
  }
}

/** What is held against a request that was there when a start ended. */
function markOf(start: EndpointStart, { fingerprint, wasIsolated }: ResetRequest): CrashMark {
  return { fingerprint, start, wasIsolated }
}
