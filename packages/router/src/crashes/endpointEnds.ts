/**
 * Finds out whether an endpoint has ended when it breaks a request off, which requests from here it had answered nothing
 * of, and when it is back. Owns the breaks of the last seconds; relies on looks at the endpoint, the rule is in
 * decisions/retrying/endSigns.
 *
 * An end that was announced (the endpoint was leaving, or was no longer listed) is none of its business.
 */

import { hasOutlived, judgeEnd, livedAt } from '@rackwalk/decisions'
import type { BrokenStarts, EndSign, EndVerdict, HeardTimes } from '@rackwalk/decisions'
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
export interface BreakingEndpoint extends ProbedEndpoint {
  readonly id: string
  readonly start: EndpointStart
  /** Whether its platform tells each start from the next; otherwise only the time of its break does. */
  readonly isStartTold?: boolean
  /** Service or model. */
  readonly service: string
  /** Whether its end was announced. */
  readonly leavesAsPlanned: boolean
  /** Whether this start of it is known to be over. */
  readonly hasEnded: boolean
  /** When something last came from it. */
  readonly heard: () => HeardTimes
}

/** An endpoint ended unannounced. */
export interface EndpointEnd {
  readonly endpoint: BreakingEndpoint
  /** What the looks at it showed; empty where its row told of a new start. */
  readonly signs: readonly EndSign[]
  /** Requests from here that were there and had no part of an answer; each is told once. */
  readonly unanswered: readonly BrokenRequest[]
  readonly seen: SeenEnd
}

/** When an end was seen; times are monotonic. */
export interface SeenEnd {
  /** When the break was seen for which it was looked. */
  readonly brokenAt: Milliseconds
  /** When the newest look began. */
  readonly lookedAt: Milliseconds
}

/** A request that an endpoint broke off. */
export interface BrokenRequest {
  readonly fingerprint: RequestFingerprint
  /** Whether it was sent there as one that may have ended endpoints. */
  readonly wasIsolated: boolean
  /** Monotonic time at which it was sent there. */
  readonly sentAt: Milliseconds
  /** The parts of its prompt that other requests may share; absent where nothing is known of them. */
  readonly parts?: readonly PromptPartKey[]
}

/** What an instance that has just begun to serve should know of breaks: what is looked at, and what has ended. */
export interface StandingBreak {
  readonly start: EndpointStart
  readonly isAway: boolean
  /** Requests that may have ended it. */
  readonly requests: readonly BrokenRequest[]
}

/** What the search for ends works with. */
export interface EndpointEndsParts {
  readonly clock: Clock
  readonly probe: (endpoint: BreakingEndpoint) => Promise<EndSign>
  /** What is known here of breaks, by this search and by news. */
  readonly broken: BrokenStarts
  readonly onEnd: (end: EndpointEnd) => void
  /** Requests were broken off, and it is looked whether their endpoint has ended; told again for as long as that lasts. */
  readonly onLook: (start: EndpointStart, requests: readonly BrokenRequest[]) => void
  /** A look showed an end or life; `onEnd` was called before where it showed an end. */
  readonly onLooked: (start: EndpointStart, hasEnded: boolean) => void
  /** The look showed that this start lives. */
  readonly onLives: (start: EndpointStart) => void
  /** Something listens where a start has ended, and does not answer; told again for as long as that lasts. */
  readonly onAway: (start: EndpointStart, seen: SeenEnd) => void
}

/** A request that was broken off, and of which nothing was told yet. */
interface UntoldBreak {
  readonly request: BrokenRequest
  /** Monotonic time of its break. */
  readonly at: Milliseconds
}

/** Requests that one start of an endpoint broke off. */
interface Breaks {
  readonly endpoint: BreakingEndpoint
  untold: UntoldBreak[]
  /** What was told of the end, and what is in `untold`: one that is suspected again adds nothing. */
  readonly known: Set<string>
  /** What was told of the look in progress, */
  readonly spoken: Set<RequestFingerprint>
  /** and what is told of it next, all at once. */
  readonly unspoken: BrokenRequest[]
  /** Monotonic time of the break for which it is looked. */
  brokenAt: Milliseconds
  /** Monotonic time at which the first look for it was over. */
  lookedAt: Milliseconds
  /** Monotonic time at which the newest look began. */
  lookBeganAt: Milliseconds
  newestAt: Milliseconds
  signs: EndSign[]
  /** Whether another instance told since the break that it has ended. */
  wasTold: boolean
  hasEnded: boolean
  /** Whether a later start is listed in its place. */
  isReplaced: boolean
  looking: Promise<void> | undefined
}

/**
 * Each break is kept this long, for an endpoint that is back under its address before anybody looked: its row tells of a
 * new start within a heartbeat and a read. What broke off earlier had no part in that end, however much breaks off since.
 */
const REMEMBERED_MILLISECONDS = 5_000
/** Time between two looks at an endpoint that did not answer the first one. */
const LOOK_AGAIN_MILLISECONDS: Milliseconds = 25
/** News of a break at which it is still looked is told again after this time: it is forgotten after twice as long. */
const RENEWAL_MILLISECONDS: Milliseconds = 500
/** News of an end speaks of breaks that are no older than this: what broke off earlier met another trouble. */
const TOLD_MILLISECONDS: Milliseconds = 1_000
/** A look that began before the break of a request could show the life that the request ends a moment later. */
const SILENCE_MILLISECONDS: Milliseconds = 100
/** Time between two looks at one that has ended behind something that listens, */
const AWAY_LOOK_MILLISECONDS: Milliseconds = 500
/** and how many of them are made: it is tried like any other after that. */
const AWAY_LOOKS = 120

/** The endpoints that break requests off, as one instance sees it. */
export class EndpointEnds {
  private readonly breaks = new Map<EndpointStart, Breaks>()
  /** Starts that have ended behind something that listens, until they are back. */
  private readonly watched = new Set<EndpointStart>()
  private isStopped = false

  constructor(private readonly parts: EndpointEndsParts) {}

  stop(): void {
    this.isStopped = true
  }

  /** An endpoint broke a request off before any part of an answer; resolves with whether it is known to have ended. */
  async noteBroken(endpoint: BreakingEndpoint, request: BrokenRequest): Promise<boolean> {
    if (endpoint.leavesAsPlanned) return false
    const breaks = this.breaksOf(endpoint)
    const wasThere = this.wasThere(breaks, request)
    if (wasThere) addOnce(breaks, request, this.parts.clock.monotonic())
    if (breaks.hasEnded) {
      this.tell(breaks)
      return true
    }
    if (wasThere) this.speakOf(breaks, request)
    breaks.looking ??= this.beginLook(breaks)
    await breaks.looking
    return breaks.hasEnded
  }

  /** Breaks at which it is looked from here, and starts that are not back; who else heard of them is not asked. */
  get standing(): readonly StandingBreak[] {
    const looked = [...this.breaks.values()].filter(({ looking }) => looking !== undefined)
    return [
      ...looked.map(({ endpoint: { start }, untold, spoken }) => {
        // What broke off earlier and is kept for a new row is not looked at any more.
        const requests = onceEach(untold.map(({ request }) => request)).filter(({ fingerprint }) =>
          spoken.has(fingerprint),
        )
        return { start, isAway: false, requests }
      }),
      ...[...this.watched].map(start => ({ start, isAway: true, requests: [] })),
    ]
  }

  /** The first of a look is told at once; the others of the same moment go together. */
  private speakOf(breaks: Breaks, request: BrokenRequest): void {
    const { spoken, unspoken, endpoint } = breaks
    if (spoken.has(request.fingerprint)) return
    spoken.add(request.fingerprint)
    if (spoken.size === 1) return this.parts.onLook(endpoint.start, [request])
    unspoken.push(request)
    if (unspoken.length === 1) queueMicrotask(() => this.speakOfRest(breaks))
  }

  private speakOfRest(breaks: Breaks): void {
    const rest = breaks.unspoken.splice(0)
    if (breaks.looking !== undefined) this.parts.onLook(breaks.endpoint.start, rest)
  }

  /** An endpoint cut what it had begun to answer; resolves with whether it is known to have ended. Nothing is marked for it. */
  async noteCut(endpoint: BreakingEndpoint): Promise<boolean> {
    if (endpoint.leavesAsPlanned) return false
    const breaks = this.breaksOf(endpoint)
    if (breaks.hasEnded) return true
    breaks.looking ??= this.beginLook(breaks)
    await breaks.looking
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
  noteTold(start: EndpointStart): void {
    const breaks = this.breaks.get(start)
    if (breaks === undefined || breaks.hasEnded) return
    const { clock } = this.parts
    if (clock.monotonic() > breaks.newestAt + TOLD_MILLISECONDS) return
    breaks.wasTold = true
    if (breaks.looking === undefined && this.judge(breaks) === 'ended') this.end(breaks)
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
      breaks.looking = this.look(breaks)
    })
  }

  /** Whether the looks are over and proved nothing, and nothing came from there since. */
  private isUnproven(breaks: Breaks): boolean {
    const { hasEnded, looking } = breaks
    return !hasEnded && looking === undefined && this.judge(breaks) === 'unknown'
  }

  private wasThere({ endpoint, looking }: Breaks, { sentAt }: BrokenRequest): boolean {
    const { broken } = this.parts
    const { start, isStartTold = false } = endpoint
    if (looking === undefined) this.noteLife(endpoint)
    return isStartTold ? broken.wasAtStart(start, sentAt) : broken.wasThere(start, sentAt)
  }

  private noteLife({ start, isStartTold = false, heard }: BreakingEndpoint): void {
    const { broken } = this.parts
    const lived = livedAt(heard())
    if (isStartTold) broken.noteLived(start, lived)
    else broken.noteEndpointLived(start, lived)
  }

  private beginLook(breaks: Breaks): Promise<void> {
    breaks.brokenAt = this.parts.clock.monotonic()
    this.parts.broken.note(breaks.endpoint.start, breaks.brokenAt)
    breaks.lookedAt = Number.POSITIVE_INFINITY
    breaks.signs = []
    breaks.wasTold = false
    const looking = this.look(breaks)
    this.renewLater(breaks)
    return looking
  }

  /** A look may take longer than others believe in its break. */
  private renewLater(breaks: Breaks): void {
    const { brokenAt, endpoint } = breaks
    this.parts.clock.after(RENEWAL_MILLISECONDS, () => {
      const isOver = breaks.looking === undefined || breaks.brokenAt !== brokenAt
      if (isOver || breaks.hasEnded || this.isStopped) return
      const requests = breaks.untold.map(({ request }) => request)
      if (requests.length > 0) this.parts.onLook(endpoint.start, onceEach(requests))
      this.renewLater(breaks)
    })
  }

  private async look(breaks: Breaks): Promise<void> {
    let verdict = await this.lookOnce(breaks)
    while (verdict === 'look-again') {
      await sleep(this.parts.clock, LOOK_AGAIN_MILLISECONDS)
      verdict = await this.lookOnce(breaks)
    }
    breaks.looking = undefined
    breaks.spoken.clear()
    const isEnd = verdict === 'ended' && !breaks.hasEnded
    if (isEnd) this.end(breaks)
    this.noteJudged(breaks, verdict)
    if (!isEnd) return
    if (breaks.signs.at(-1) === 'does-not-answer') void this.watchReturn(breaks)
  }

  /** What proves nothing takes no suspicion and no doubt away: each try that passed for innocent would cost an endpoint. */
  private noteJudged({ endpoint, hasEnded }: Breaks, verdict: EndVerdict): void {
    const { start } = endpoint
    if (verdict === 'unknown' && !hasEnded) return
    if (!hasEnded) this.parts.broken.forget(start)
    this.parts.onLooked(start, hasEnded)
    if (verdict === 'lives') this.parts.onLives(start)
  }

  private async lookOnce(breaks: Breaks): Promise<EndVerdict> {
    const { endpoint, signs } = breaks
    breaks.lookBeganAt = this.parts.clock.monotonic()
    signs.push(await this.parts.probe(endpoint))
    breaks.lookedAt = Math.min(breaks.lookedAt, this.parts.clock.monotonic())
    return this.judge(breaks)
  }

  private judge(breaks: Breaks): EndVerdict {
    const { endpoint, signs, wasTold } = breaks
    return judgeEnd(signs, hasOutlived(breaks, endpoint.heard()), wasTold)
  }

  /** An engine that is back behind its front is used again as soon as it tells its state. */
  private async watchReturn(breaks: Breaks): Promise<void> {
    const { start } = breaks.endpoint
    this.watched.add(start)
    for (let look = 0; look < AWAY_LOOKS && !this.isStopped; look += 1) {
      this.parts.broken.noteAway(start, this.parts.clock.monotonic())
      this.parts.onAway(start, seenOf(breaks))
      await sleep(this.parts.clock, AWAY_LOOK_MILLISECONDS)
      if (!(await this.isStillAway(breaks))) break
    }
    this.watched.delete(start)
    this.parts.broken.noteBack(start, this.parts.clock.monotonic())
    this.breaks.delete(start)
  }

  /** A later start, or a state that was asked for after the end, says more than a look: that may meet the next end. */
  private async isStillAway(breaks: Breaks): Promise<boolean> {
    const { endpoint, brokenAt } = breaks
    if (breaks.isReplaced) return false
    const lookBeganAt = this.parts.clock.monotonic()
    const sign = await this.parts.probe(endpoint)
    // A look that proves nothing is not told as one that shows the end again.
    if (sign === 'does-not-answer') breaks.lookBeganAt = lookBeganAt
    const isBack = isReturn(sign) || endpoint.heard().askedAt > brokenAt
    return !isBack && !breaks.isReplaced
  }

  private end(breaks: Breaks): void {
    breaks.hasEnded = true
    this.tell(breaks)
  }

  private tell(breaks: Breaks): void {
    const { endpoint, signs } = breaks
    forgetUntold(breaks, this.parts.clock.monotonic() - REMEMBERED_MILLISECONDS)
    const unanswered = breaks.untold.map(({ request }) => request)
    if (unanswered.length === 0) return
    breaks.untold = []
    this.parts.onEnd({ endpoint, signs: [...signs], unanswered, seen: seenOf(breaks) })
  }

  private breaksOf(endpoint: BreakingEndpoint): Breaks {
    const now = this.parts.clock.monotonic()
    this.forgetOlderThan(now - REMEMBERED_MILLISECONDS)
    const known = this.breaks.get(endpoint.start)
    if (known !== undefined) {
      forgetUntold(known, now - REMEMBERED_MILLISECONDS)
      known.newestAt = now
      return known
    }
    const { hasEnded, start } = endpoint
    const created: Breaks = {
      endpoint,
      untold: [],
      known: new Set(),
      spoken: new Set(),
      unspoken: [],
      brokenAt: now,
      lookedAt: Number.POSITIVE_INFINITY,
      lookBeganAt: now,
      newestAt: now,
      signs: [],
      wasTold: false,
      hasEnded,
      isReplaced: false,
      looking: undefined,
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
function addOnce(breaks: Breaks, request: BrokenRequest, at: Milliseconds): void {
  const key = keyOf(request)
  if (breaks.known.has(key)) return
  breaks.known.add(key)
  breaks.untold.push({ request, at })
}

function keyOf({ fingerprint, wasIsolated }: BrokenRequest): string {
  return `${fingerprint} ${wasIsolated}`
}

/** What broke off before a time is held for no end that comes later; it may be broken off anew. */
function forgetUntold(breaks: Breaks, oldest: Milliseconds): void {
  if (breaks.untold.every(({ at }) => at >= oldest)) return
  for (const { request, at } of breaks.untold) if (at < oldest) breaks.known.delete(keyOf(request))
  breaks.untold = breaks.untold.filter(({ at }) => at >= oldest)
}

/** The requests, each fingerprint once. */
function onceEach(requests: readonly BrokenRequest[]): readonly BrokenRequest[] {
  return [...new Map(requests.map(request => [request.fingerprint, request])).values()]
}

function seenOf({ brokenAt, lookBeganAt }: Breaks): SeenEnd {
  return { brokenAt, lookedAt: lookBeganAt }
}

/** Whether what listened for an endpoint that has ended no longer does, or tells its state. */
function isReturn(sign: EndSign): boolean {
  return sign === 'lives' || sign === 'nobody-listens'
}
