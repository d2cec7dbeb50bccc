/**
 * Joins what an instance finds out of requests that end endpoints with those who must know: the other instances, the
 * store, the log. Owns the guard and the records; relies on the exchange of datagrams to tell at once.
 */

import { CrashRecords } from '@rackwalk/coordination'
import {
  CrashGuard,
  forgetRecord,
  marksOfPart,
  observeRecords,
  probeReached,
  recordKeyOf,
} from '@rackwalk/router'
import type { CrashNews } from '@rackwalk/decisions'
import type { EndpointDirectory, EndpointState, LinkWatch } from '@rackwalk/router'
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
      onMarks: marks => observeRecords(this.guard, marks),
      onCleared: key => forgetRecord(this.guard, key),
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
    const ends = partEnds?.map(end => {
      return { ...end, ageMilliseconds: end.ageMilliseconds + REPEAT_MILLISECONDS }
    })
    const again = ends === undefined ? news : { ...news, partEnds: ends }
    if (isWorthIt) this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.tell(again))
  }

  /** A part that is refused is kept as a request is, under a key that no request has. */
  private notePart(part: PromptPartKey, isRefused: boolean): void {
    const event = isRefused ? 'deadly_prompt_part' : 'sound_prompt_part'
    this.parts.telemetry.note(event, { part })
    if (isRefused) this.records.record(marksOfPart(this.guard, part))
    else this.records.remove(recordKeyOf(part))
  }

  private noteVerdict(fingerprint: RequestFingerprint, isRefused: boolean): void {
    const event = isRefused ? 'crashing_request_refused' : 'crashing_request_cleared'
    this.parts.telemetry.note(event, { fingerprint })
  }
}
