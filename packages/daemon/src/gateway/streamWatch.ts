/**
 * Joins what an instance remembers of streams with the others: tells those that keep a stream, asks them where one began that
 * its caller takes up here. Owns the memory and the questions.
 */

import { DemandMeter } from '@rackwalk/coordination'
import type { MemberRow } from '@rackwalk/coordination'
import { originKeeperCount, originKeepers } from '@rackwalk/decisions'
import { StreamOrigins } from '@rackwalk/router'
import type {
  BegunStream,
  EndpointDirectory,
  EndpointRecord,
  PeerLoadReport,
} from '@rackwalk/router'
import type { Clock } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { loadPeersOf } from './loadExchange.js'
import type { LoadExchange } from './loadExchange.js'
import { OriginQuestions } from './originQuestions.js'
import { begunReports, versionReports } from './streamNews.js'

/** What the watch works with. */
export interface StreamWatchParts {
  readonly clock: Clock
  readonly identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>
  readonly directory: () => EndpointDirectory
  readonly fleet: () => ActiveFleet
  readonly exchange: () => LoadExchange | undefined
  /** Whether the store told of endpoints a moment ago. */
  readonly isListFresh: () => boolean
  readonly telemetry: GatewayTelemetry
}

/** What one instance does so that streams go on at the software version that began them. */
export class StreamWatch {
  readonly origins: StreamOrigins
  private readonly questions: OriginQuestions
  /** Streams of which others are told. */
  private readonly told: DemandMeter

  constructor(private readonly parts: StreamWatchParts) {
    this.told = new DemandMeter(parts.clock)
    this.questions = new OriginQuestions({
      others: () => this.others,
      onMalformed: form => parts.telemetry.noteMalformed(form),
    })
    this.origins = new StreamOrigins({
      clock: parts.clock,
      listedVersions: service => parts.directory().softwareVersions(service),
      isListFresh: parts.isListFresh,
      tellKeepers: begun => this.tellKeepers(begun),
      tellVersions: versions => parts.exchange()?.tellAll(versionReports(versions, parts.identity)),
      ask: stream => this.questions.ask(stream),
    })
  }

  close(): void {
    this.questions.close()
  }

  /** An endpoint was listed, or is gone. */
  noteChange(record: EndpointRecord, change: string): void {
    if (change === 'gone') this.origins.noteGone(record)
    else this.origins.noteListed(record)
  }

  /** Others that are heard of. */
  private get others(): readonly MemberRow[] {
    const fleet = this.parts.fleet()
    const all = [...fleet.usingOthers, ...fleet.idleOthers]
    return all.filter(({ instance }) => !fleet.isSilent(instance))
  }

  /** Streams for the same keeper share its datagrams. */
  private tellKeepers(begun: readonly BegunStream[]): void {
    const { others } = this
    this.told.add(begun.length)
    const count = originKeeperCount(this.told.perSecond)
    const kept = new Map<MemberRow, BegunStream[]>()
    for (const stream of begun) {
      for (const keeper of originKeepers(stream.key, others).slice(0, count)) {
        kept.set(keeper, [...(kept.get(keeper) ?? []), stream])
      }
    }
    for (const [keeper, streams] of kept) {
      this.parts.exchange()?.tell(loadPeersOf([keeper]), begunReports(streams, this.parts.identity))
    }
  }
}
