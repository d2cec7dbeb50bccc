/**
 * Keeps requests from endpoint after endpoint that they end. Owns what this instance believes of them; the rule is in
 * decisions/retrying/crashSuspicion, the search for ends in endpointEnds. Others are told by whoever made the guard.
 */

import { BrokenStarts, CrashSuspicions, UnjudgedBreaks, livedAt } from '@rackwalk/decisions'
import type {
  CrashMark,
  CrashNews,
  CrashVerdict,
  EndSign,
  HeardTimes,
  KnownEnd,
} from '@rackwalk/decisions'
import type {
  Clock,
  EndpointId,
  EndpointStart,
  Milliseconds,
  PromptPartKey,
  RequestFingerprint,
} from '@rackwalk/shared'
import { EndpointEnds } from './endpointEnds.js'
import { PartGuard } from './partGuard.js'
import type { BreakingEndpoint, BrokenRequest, EndpointEnd, SeenEnd } from './endpointEnds.js'

/** Ends told by others that are remembered. */
const REMEMBERED_NEWS = 1_024

/** What the guard works with. */
export interface CrashGuardParts {
  readonly clock: Clock
  readonly probe: (endpoint: BreakingEndpoint) => Promise<EndSign>
  /** An endpoint ended under requests from here. */
  readonly onEnd: (end: EndpointEnd) => void
  /** A start of an endpoint has ended, as this instance saw or was told. */
  readonly onUnreachable: (start: EndpointStart) => void
  /** The same, with how it is known: what waits there may go on elsewhere. Not told of ends that are only on record. */
  readonly onKnownEnd?: (start: EndpointStart, end: KnownEnd) => void
  /** For all other instances. */
  readonly onNews: (news: CrashNews) => void
  /** A request is refused from now on, or is no longer. */
  readonly onVerdict: (fingerprint: RequestFingerprint, isRefused: boolean) => void
  /** The same of a part of prompts, whichever request holds it. */
  readonly onPart?: (part: PromptPartKey, isRefused: boolean) => void
}

/** What one instance knows of requests that end endpoints. */
export class CrashGuard {
  private readonly suspicions = new CrashSuspicions()
  /** What is not known yet: breaks at which it is looked, here or at another instance. */
  private readonly unjudged = new UnjudgedBreaks()
  private readonly broken = new BrokenStarts()
  private readonly ends: EndpointEnds
  /** Parts of prompts that end endpoints, whatever else the request holds. */
  readonly promptParts: PartGuard
  /** When others told first of an end behind something that listens. */
  private readonly firstTold = new Map<EndpointStart, Milliseconds>()

  constructor(private readonly parts: CrashGuardParts) {
    const { clock, onNews, onPart = () => {} } = parts
    this.promptParts = new PartGuard({ clock, onNews, onPart })
    this.ends = new EndpointEnds({
      ...parts,
      broken: this.broken,
      onEnd: end => this.noteEnd(end),
      onAway: (start, seen) => this.noteAway(start, seen),
      onLook: (start, requests) => this.noteLook(requests.map(request => markOf(start, request))),
      onLooked: (start, hasEnded) => this.noteLooked(start, hasEnded),
      onLives: start => this.noteLives(start),
    })
  }

  stop(): void {
    this.ends.stop()
  }

  /** Whether a request may be suspected, by what is known of it without its body. */
  mayConcern(scope: string): boolean {
    const now = this.parts.clock.monotonic()
    return this.suspicions.mayConcern(scope) || this.unjudged.mayConcern(scope, now)
  }

  /** Requests that are refused by a mark; what is refused for a moment until its mark comes is on no record. */
  get refusedCount(): number {
    return this.suspicions.refusedCount
  }

  /** What is held against a request. */
  marksOf(fingerprint: RequestFingerprint): readonly CrashMark[] {
    return this.suspicions.marksOf(fingerprint)
  }

  /** Requests that are not sent as any other. */
  get suspects(): readonly RequestFingerprint[] {
    return this.suspicions.fingerprints.filter(suspect => this.verdict(suspect) !== 'send')
  }

  verdict(fingerprint: RequestFingerprint): CrashVerdict {
    const known = this.suspicions.verdict(fingerprint)
    const unjudged = this.unjudged.verdict(fingerprint, this.parts.clock.monotonic())
    const verdicts = [known, unjudged]
    if (verdicts.includes('refuse')) return 'refuse'
    return verdicts.includes('isolate') ? 'isolate' : 'send'
  }

  /** Whether a start broke something off, and may have ended: what is not suspected goes elsewhere while it can. */
  isInDoubt(start: EndpointStart): boolean {
    return this.broken.isInDoubt(start, this.parts.clock.monotonic())
  }

  /** The same of an endpoint whose platform does not tell its starts. */
  isEndpointInDoubt(endpoint: EndpointId): boolean {
    return this.broken.isEndpointInDoubt(endpoint, this.parts.clock.monotonic())
  }

  /** The start that a break belongs to of an endpoint whose platform does not tell its starts; undefined where it is new. */
  startOf(endpoint: EndpointId, heard: HeardTimes): EndpointStart | undefined {
    const now = this.parts.clock.monotonic()
    return this.broken.startOf(endpoint, { now, lived: livedAt(heard) })
  }

  /** What holds of breaks and ends by looks from here, for an instance that was not there when it was told. */
  get standingNews(): CrashNews {
    const { standing } = this.ends
    const suspected = standing
      .filter(({ isAway }) => !isAway)
      .flatMap(({ start, requests }) => requests.map(request => markOf(start, request)))
    const away = standing.filter(({ isAway }) => isAway).map(({ start }) => start)
    return { marks: [], cleared: [], suspected, away, ...this.promptParts.standingNews }
  }

  /** An endpoint broke a request off before any part of an answer; resolves with whether it is known to have ended. */
  noteBroken(endpoint: BreakingEndpoint, request: BrokenRequest): Promise<boolean> {
    return this.ends.noteBroken(endpoint, request)
  }

  /** A suspected request is sent to this start of its endpoint. */
  noteSuspectSent(start: EndpointStart): void {
    this.ends.noteSuspectSent(start)
  }

  /** An endpoint cut what it had begun to answer; resolves with whether it is known to have ended. */
  noteCut(endpoint: BreakingEndpoint): Promise<boolean> {
    return this.ends.noteCut(endpoint)
  }

  /** A start of an endpoint is over, by its row. */
  noteReplaced(start: EndpointStart): void {
    this.ends.noteReplaced(start)
  }

  /** An endpoint answered a part of a request, so that is not what ended others. */
  noteAnswered(fingerprint: RequestFingerprint): void {
    this.clear(fingerprint)
  }

  /** Nothing is held against a request any more, here and at all other instances. */
  clear(fingerprint: RequestFingerprint): void {
    const starts = this.openStarts(fingerprint)
    if (starts.length === 0) return
    const news: CrashNews = { marks: [], cleared: [{ fingerprint, starts }] }
    this.share(news)
  }

  /** Takes in what others found out. */
  observe(news: CrashNews): void {
    this.take(news)
    this.promptParts.observe(news)
    for (const start of news.away ?? []) {
      this.ends.noteTold(start)
      this.noteTold(start)
    }
  }

  /** Nothing is held against a request any more: an operator, or another instance, removed its record. */
  forget(fingerprint: RequestFingerprint): void {
    this.take({ marks: [], cleared: [{ fingerprint, starts: this.openStarts(fingerprint) }] })
  }

  private openStarts(fingerprint: RequestFingerprint): readonly EndpointStart[] {
    return this.marksOf(fingerprint).map(({ start }) => start)
  }

  private noteLook(suspected: readonly CrashMark[]): void {
    this.share({ marks: [], cleared: [], suspected })
  }

  /** What others told of this start is judged by the look at it as well. */
  private noteLooked(start: EndpointStart, hasEnded: boolean): void {
    if (hasEnded) this.unjudged.noteEnd(start, this.parts.clock.monotonic())
    else this.unjudged.forget(start)
  }

  private noteLives(start: EndpointStart): void {
    this.share({ marks: [], cleared: [], lives: [start] })
  }

  private noteAway(start: EndpointStart, seen: SeenEnd): void {
    this.share({ marks: [], cleared: [], away: [start] })
    this.parts.onKnownEnd?.(start, { source: 'look', ...seen })
  }

  private noteEnd(end: EndpointEnd): void {
    this.parts.onEnd(end)
    const { start } = end.endpoint
    const marks = end.unanswered.map(request => markOf(start, request))
    this.share({ marks, cleared: [] })
    this.promptParts.noteEnd(start, end.unanswered)
    this.parts.onKnownEnd?.(start, { source: 'look', ...end.seen })
  }

  private noteTold(start: EndpointStart): void {
    const toldAt = this.parts.clock.monotonic()
    const firstToldAt = this.firstTold.get(start) ?? toldAt
    if (this.firstTold.size >= REMEMBERED_NEWS) this.firstTold.clear()
    this.firstTold.set(start, firstToldAt)
    this.parts.onKnownEnd?.(start, { source: 'news', firstToldAt, toldAt })
  }

  /** What this instance found out holds here and is told to all others. */
  private share(news: CrashNews): void {
    this.take(news)
    this.parts.onNews(news)
  }

  private take(news: CrashNews): void {
    this.takeBreaks(news)
    const { marks, cleared, away = [] } = news
    for (const start of away) this.parts.onUnreachable(start)
    for (const mark of marks) {
      this.watchVerdict(mark.fingerprint, () => this.noteMark(mark))
    }
    for (const { fingerprint, starts } of cleared) {
      this.unjudged.clear(fingerprint, starts)
      this.watchVerdict(fingerprint, () => this.suspicions.clear(fingerprint, starts))
    }
  }

  /** What is believed of breaks by this news. */
  private takeBreaks({ marks, away = [], suspected = [], lives = [] }: CrashNews): void {
    const now = this.parts.clock.monotonic()
    for (const start of lives) {
      this.broken.forget(start)
      this.unjudged.forget(start)
    }
    // Marks may be old: they come from records as well.
    for (const { start } of suspected) this.broken.note(start, now)
    for (const start of away) this.broken.noteAway(start, now)
    for (const mark of suspected) this.unjudged.note(mark, now)
    for (const start of away) this.unjudged.noteEnd(start, now)
    for (const { start } of marks) this.unjudged.noteEnd(start, now)
  }

  private noteMark(mark: CrashMark): void {
    if (this.suspicions.note(mark)) this.parts.onUnreachable(mark.start)
  }

  private watchVerdict(fingerprint: RequestFingerprint, change: () => void): void {
    const wasRefused = this.suspicions.verdict(fingerprint) === 'refuse'
    change()
    const isRefused = this.suspicions.verdict(fingerprint) === 'refuse'
    if (isRefused !== wasRefused) this.parts.onVerdict(fingerprint, isRefused)
  }
}

/** What is held against a request that was there when a start ended. */
function markOf(start: EndpointStart, { fingerprint, wasIsolated }: BrokenRequest): CrashMark {
  return { fingerprint, start, wasIsolated }
}
