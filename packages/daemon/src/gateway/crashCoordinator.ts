/**
 * Passes on what this instance finds out about requests and prompt parts that crash endpoints: to the other instances
 * as gossip (datagrams), to the store as crash records, and to the log. Also applies the gossip of other instances and
 * the records of the store. Without these, every instance would send a crash-inducing request to endpoints of its own.
 *
 * Owns the crash guard, which decides, and the crash records; relies on the datagram exchange for broadcasts.
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
 * Time after which gossip is sent once more, since a datagram may be lost. Only gossip with crash marks, clearances,
 * crashes of prompt parts (`partEnds`) or verdicts on prompt parts is repeated. Marks and refused prompt parts are also
 * written to the store as rows, and clearances (of requests or parts) remove these rows, which makes up for messages
 * that are lost twice.
 */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** Connects the crash guard, which detects crash-inducing requests, with other instances, the store and the log. */
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
    this.guard.applyGossip(gossip)
    this.noteUnresponsive(gossip)
  }

  /**
   * Notes in the directory the starts (runs of an endpoint) whose address accepts connections while their engine does
   * not respond.
   */
  private noteUnresponsive({ away = [] }: CrashGossip): void {
    for (const start of away) this.parts.directory().noteUnresponsive(start)
  }

  /**
   * Broadcasts gossip of this instance, and once more later if the gossip is of a kind that is repeated. Records the
   * gossip's crash marks in the store and removes the records of the requests that it clears.
   */
  private broadcastAndRecord(gossip: CrashGossip): void {
    this.parts.broadcast(gossip)
    this.noteUnresponsive(gossip)
    if (gossip.marks.length + gossip.cleared.length === 0) return this.repeatPartGossip(gossip)
    this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(gossip))
    this.records.record(gossip.marks)
    for (const { fingerprint } of gossip.cleared) this.records.remove(fingerprint)
  }

  /** Repeats gossip about prompt parts, with the ages of their crashes increased by the time until the repetition. */
  private repeatPartGossip(gossip: CrashGossip): void {
    const { partEnds, deadlyParts, soundParts } = gossip
    const hasParts = [partEnds, deadlyParts, soundParts].some(keys => keys !== undefined)
    const ends = partEnds?.map(end => {
      return { ...end, ageMilliseconds: end.ageMilliseconds + REPEAT_MILLISECONDS }
    })
    const repeated = ends === undefined ? gossip : { ...gossip, partEnds: ends }
    if (hasParts) this.parts.clock.after(REPEAT_MILLISECONDS, () => this.parts.broadcast(repeated))
  }

  /**
   * Logs a verdict on a prompt part. A refused part is recorded like a refused request, under a key that no request has;
   * the record of a part that is not refused any more is removed.
   */
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
