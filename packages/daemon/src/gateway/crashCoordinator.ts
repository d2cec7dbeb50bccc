/**
 * Joins what an instance finds out of requests that end endpoints with those who must know: the other instances, the
 * store, the log. Owns the guard and the records; relies on the exchange of datagrams to tell at once.
 */

import { CrashRecordStore } from '@rackwalk/coordination'
import {
  CrashGuard,
  forgetRecord,
  marksOfPart,
  observeRecords,
  probeWithLinkCheck,
  recordKeyOf,
} from '@rackwalk/router'
import type { CrashGossip } from '@rackwalk/decisions'
import type { EndpointDirectory, EndpointState, LinkMonitor } from '@rackwalk/router'
import type { Clock, Milliseconds, PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import type { GatewayTelemetry } from './gatewayTelemetry.js'

/** What the watch works with. */
export interface CrashCoordinatorParts {
  readonly clock: Clock
  readonly store: RowStore
  readonly directory: () => EndpointDirectory
  readonly links: LinkMonitor<EndpointState>
  /** Tells all other instances, whether or not they use endpoints. */
  readonly broadcast: (news: CrashGossip) => void
  /** How many instances that reaches. */
  readonly gossipPeerCount: () => number
  readonly telemetry: GatewayTelemetry
}

/** A datagram may be lost: each is sent again after this time; the store's rows make good what is lost twice. */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** What one instance does about requests that end endpoints. */
export class CrashCoordinator {
  readonly guard: CrashGuard
  readonly records: CrashRecordStore

  constructor(private readonly parts: CrashCoordinatorParts) {
    const { clock, store, telemetry } = parts
    this.guard = new CrashGuard({
      clock,
      probe: endpoint => probeWithLinkCheck(endpoint, parts.links),
      onCrash: end => telemetry.noteEndpointEnd(end, parts.gossipPeerCount()),
      onUnreachable: start => parts.directory().noteUnreachable(start),
      broadcast: news => this.share(news),
      onVerdict: (fingerprint, isRefused) => this.noteVerdict(fingerprint, isRefused),
      onPromptPartVerdict: (part, isRefused) => this.notePart(part, isRefused),
    })
    this.records = new CrashRecordStore({
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
  observe(news: CrashGossip): void {
    this.guard.applyNews(news)
    this.noteAway(news)
  }

  private noteAway({ away = [] }: CrashGossip): void {
    for (const start of away) this.parts.directory().noteUnresponsive(start)
  }

  private share(news: CrashGossip): void {
    this.parts.broadcast(news)
    this.noteAway(news)
    if (news.marks.length + news.cleared.length === 0) return this.repeatParts(news)
    this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(news))
    this.records.record(news.marks)
    for (const { fingerprint } of news.cleared) this.records.remove(fingerprint)
  }

  private repeatParts(news: CrashGossip): void {
    const { partEnds, deadlyParts, soundParts } = news
    const isWorthIt = [partEnds, deadlyParts, soundParts].some(told => told !== undefined)
    const ends = partEnds?.map(end => {
      return { ...end, ageMilliseconds: end.ageMilliseconds + REPEAT_MILLISECONDS }
    })
    const again = ends === undefined ? news : { ...news, partEnds: ends }
    if (isWorthIt) this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(again))
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
