/**
 * Connects what this instance finds out about requests that crash endpoints with its consumers: the other instances,
 * the store, and the log. Owns the guard and the crash records; relies on the datagram exchange for broadcasts.
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

/** What the coordinator needs. */
export interface CrashCoordinatorParts {
  readonly clock: Clock
  readonly store: RowStore
  readonly directory: () => EndpointDirectory
  readonly links: LinkMonitor<EndpointState>
  /** Broadcasts to all other instances, whether or not they use endpoints. */
  readonly broadcast: (gossip: CrashGossip) => void
  /** Number of instances that a broadcast is sent to. */
  readonly gossipPeerCount: () => number
  readonly telemetry: GatewayTelemetry
}

/**
 * A datagram may be lost, so each one is sent again after this time; the rows in the store make up for messages that
 * are lost twice.
 */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** Detects, records and shares requests that crash endpoints. */
export class CrashCoordinator {
  readonly guard: CrashGuard
  readonly records: CrashRecordStore

  constructor(private readonly parts: CrashCoordinatorParts) {
    const { clock, store, telemetry } = parts
    this.guard = new CrashGuard({
      clock,
      probe: endpoint => probeWithLinkCheck(endpoint, parts.links),
      onCrash: end => telemetry.noteEndpointCrash(end, parts.gossipPeerCount()),
      onUnreachable: start => parts.directory().noteUnreachable(start),
      broadcast: gossip => this.broadcastAndRecord(gossip),
      onVerdict: (fingerprint, isRefused) => this.noteVerdict(fingerprint, isRefused),
      onPromptPartVerdict: (part, isRefused) => this.notePartVerdict(part, isRefused),
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

  /** Applies crash gossip of another instance. */
  observe(gossip: CrashGossip): void {
    this.guard.applyNews(gossip)
    this.noteUnresponsive(gossip)
  }

  private noteUnresponsive({ away = [] }: CrashGossip): void {
    for (const start of away) this.parts.directory().noteUnresponsive(start)
  }

  private broadcastAndRecord(gossip: CrashGossip): void {
    this.parts.broadcast(gossip)
    this.noteUnresponsive(gossip)
    if (gossip.marks.length + gossip.cleared.length === 0) return this.repeatPartGossip(gossip)
    this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(gossip))
    this.records.record(gossip.marks)
    for (const { fingerprint } of gossip.cleared) this.records.remove(fingerprint)
  }

  private repeatPartGossip(gossip: CrashGossip): void {
    const { partEnds, deadlyParts, soundParts } = gossip
    const hasParts = [partEnds, deadlyParts, soundParts].some(keys => keys !== undefined)
    const ends = partEnds?.map(end => {
      return { ...end, ageMilliseconds: end.ageMilliseconds + REPEAT_MILLISECONDS }
    })
    const repeated = ends === undefined ? gossip : { ...gossip, partEnds: ends }
    if (hasParts) this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(repeated))
  }

  /** A refused prompt part is recorded like a refused request, under a key that no request has. */
  private notePartVerdict(part: PromptPartKey, isRefused: boolean): void {
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
