/**
 * Joins what an instance finds out of requests that end endpoints with those who must know: the other instances, the
 * store, the log. Owns the guard and the records; relies on the exchange of datagrams to tell at once.
 */

import { CrashRecords } from '@rackwalk/coordination'
import { CrashGuard, probeReached } from '@rackwalk/router'
import type { CrashMark, CrashNews } from '@rackwalk/decisions'
import type { EndpointDirectory, EndpointState, LinkWatch } from '@rackwalk/router'
import { asId, groupBy } from '@rackwalk/shared'
import type { Clock, Milliseconds, PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import type { GatewayTelemetry } from './gatewayTelemetry.js'

/** What the watch works with. */
export interface CrashWatchParts {
  readonly clock: Clock
  readonly store: RowStore
  readonly directory: () => EndpointDirectory
  readonly links: LinkWatch<EndpointState>
  /** Tells all other instances, whether or not they use endpoints. */
  readonly tell: (news: CrashNews) => void
  /** How many instances that reaches. */
  readonly listenerCount: () => number
  readonly telemetry: GatewayTelemetry
}

/** A datagram may be lost: each is sent again after this time; the store's rows make good what is lost twice. */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** What one instance does about requests that end endpoints. */
export class CrashWatch {
  readonly guard: CrashGuard
  readonly records: CrashRecords

  constructor(private readonly parts: CrashWatchParts) {
    const { clock, store, telemetry } = parts
    this.guard = new CrashGuard({
      clock,
      probe: endpoint => probeReached(endpoint, parts.links),
      onEnd: end => telemetry.noteEndpointEnd(end, parts.listenerCount()),
      onUnreachable: start => parts.directory().noteUnreachable(start),
      onNews: news => this.share(news),
      onVerdict: (fingerprint, isRefused) => this.noteVerdict(fingerprint, isRefused),
      onPart: (part, isRefused) => this.notePart(part, isRefused),
    })
    this.records = new CrashRecords({
      store,
      clock,
      onMarks: marks => this.observeMarks(marks),
      onCleared: fingerprint => this.noteCleared(fingerprint),
      onMalformedRow: row => telemetry.noteMalformedRow(row),
    })
  }

  stop(): void {
    this.records.stop()
    this.guard.stop()
  }

  /** Takes in what another instance found out. */
  observe(news: CrashNews): void {
    this.guard.observe(news)
    this.noteAway(news)
  }

  private noteAway({ away = [] }: CrashNews): void {
    for (const start of away) this.parts.directory().noteAway(start)
  }

  private share(news: CrashNews): void {
    this.parts.tell(news)
    this.noteAway(news)
    if (news.marks.length + news.cleared.length === 0) return this.repeatParts(news)
    this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.tell(news))
    this.records.record(news.marks)
    for (const { fingerprint } of news.cleared) this.records.remove(fingerprint)
  }

  private repeatParts(news: CrashNews): void {
    const { partEnds, deadlyParts, soundParts } = news
    const isWorthIt = [partEnds, deadlyParts, soundParts].some(told => told !== undefined)
    if (isWorthIt) this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.tell(news))
  }

  /** A part that is refused is kept as a request is, under a key that no request has. */
  private notePart(part: PromptPartKey, isRefused: boolean): void {
    const event = isRefused ? 'deadly_prompt_part' : 'sound_prompt_part'
    this.parts.telemetry.note(event, { part })
    const key = recordKeyOf(part)
    if (!isRefused) return this.records.remove(key)
    const starts = this.guard.promptParts.startsOf(part)
    this.records.record(starts.map(start => ({ fingerprint: key, start, wasIsolated: true })))
  }

  private observeMarks(marks: readonly CrashMark[]): void {
    const ofParts = groupBy(marks, ({ fingerprint }) => partOfRecord(fingerprint))
    for (const [part, own] of ofParts) {
      if (part === undefined) this.guard.observe({ marks: own, cleared: [] })
      else
        this.guard.promptParts.observeRecord(
          part,
          own.map(({ start }) => start),
        )
    }
  }

  private noteCleared(fingerprint: RequestFingerprint): void {
    const part = partOfRecord(fingerprint)
    if (part === undefined) this.guard.forget(fingerprint)
    else this.guard.promptParts.forget([part])
  }

  private noteVerdict(fingerprint: RequestFingerprint, isRefused: boolean): void {
    const event = isRefused ? 'crashing_request_refused' : 'crashing_request_cleared'
    this.parts.telemetry.note(event, { fingerprint })
  }
}

/** No fingerprint of a request has this in it. */
const PART_RECORD_PREFIX = 'part:'

/** The key of the record of a part; what lies there is a record of a request to an earlier version, which no request matches. */
function recordKeyOf(part: PromptPartKey): RequestFingerprint {
  return asId(`${PART_RECORD_PREFIX}${part}`)
}

/** The part that a record is of; undefined where it is one of a request. */
function partOfRecord(key: RequestFingerprint): PromptPartKey | undefined {
  if (!key.startsWith(PART_RECORD_PREFIX)) return undefined
  return asId<PromptPartKey>(key.slice(PART_RECORD_PREFIX.length))
}
