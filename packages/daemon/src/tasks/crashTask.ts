/**
 * Passes on what an instance of the OpenAI-style kind finds out about requests and prompt parts that crash endpoints:
 * to the peers at once, to the table of crash records in the table service, and to the log. Reads the table at
 * intervals and applies its records. Owns the crash guard, which decides, and the rounds in which the table is written
 * and read.
 */

import { CrashTableSync } from '@rackwalk/coordination'
import type { CrashGossip, KnownTermination } from '@rackwalk/decisions'
import {
  CrashGuard,
  forgetRecord,
  marksOfPart,
  observeRecords,
  probeWithLinkCheck,
  recordKeyOf,
} from '@rackwalk/router'
import type {
  Clock,
  EndpointId,
  Milliseconds,
  PromptPartKey,
  RandomSource,
  Task,
  Timer,
} from '@rackwalk/shared'
import { RackwalkError, endpointOf } from '@rackwalk/shared'
import type { TableService } from '@rackwalk/stores'
import type { Logger } from '../observe/logger.js'
import type { Metrics } from '../observe/metrics.js'
import { broadcastToPeers } from './broadcastToPeers.js'
import type { BroadcastParts } from './broadcastToPeers.js'
import type { EndpointReachabilityTask } from './endpointReachabilityTask.js'

/** What the task needs. */
export interface CrashTaskParts extends BroadcastParts {
  readonly table: TableService
  readonly reachability: EndpointReachabilityTask
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  /** An endpoint crashed, as detected here or reported by a peer. */
  readonly onUnreachable: (endpoint: EndpointId) => void
  /**
   * An endpoint has terminated or its engine does not respond, as probes of this instance found or a peer reported;
   * `end` holds the source and the times of that evidence.
   */
  readonly onKnownTermination: (endpoint: EndpointId, end: KnownTermination) => void
  readonly onFault: (error: unknown) => void
}

/**
 * Time between two rounds without a change, for an instance that missed broadcasts of its peers. A read of the table is
 * one query.
 */
const SYNC_INTERVAL_MILLISECONDS: Milliseconds = 30_000

/** Detects requests that crash endpoints, records them and shares them with the peers. */
export class CrashTask implements Task {
  readonly guard: CrashGuard
  private readonly records: CrashTableSync
  private timer: Timer | undefined
  private isRoundRunning = false
  private isRoundRequested = false
  private stopped = false

  constructor(private readonly parts: CrashTaskParts) {
    const { clock, table, random, logger, metrics } = parts
    this.guard = new CrashGuard({
      clock,
      probe: endpoint => probeWithLinkCheck(endpoint, parts.reachability.links),
      onCrash: ({ endpoint, signs, unanswered }) => {
        metrics.noteEndpointCrash()
        const requests = unanswered.map(({ fingerprint }) => fingerprint)
        logger.warn('endpoint_ended', { endpoint: endpoint.id, signs, unanswered: requests })
      },
      onUnreachable: start => parts.onUnreachable(endpointOf(start)),
      onKnownTermination: (start, end) => parts.onKnownTermination(endpointOf(start), end),
      broadcast: gossip => this.recordAndBroadcast(gossip),
      onVerdict: (fingerprint, isRefused) => {
        const event = isRefused ? 'crashing_request_refused' : 'crashing_request_cleared'
        logger.warn(event, { fingerprint })
      },
      onPromptPartVerdict: (part, isRefused) => this.notePartVerdict(part, isRefused),
    })
    this.records = new CrashTableSync({
      table,
      clock,
      random,
      onMarks: marks => observeRecords(this.guard, marks),
      onCleared: key => forgetRecord(this.guard, key),
    })
  }

  async start(): Promise<void> {
    void this.runRound()
  }

  async drain(): Promise<void> {
    // Requests in progress still need the guard.
  }

  async stop(): Promise<void> {
    this.stopped = true
    this.timer?.cancel()
    this.guard.stop()
  }

  /** Removes the records of requests that an operator cleared or that were answered. */
  clear(requests: CrashGossip['cleared']): void {
    for (const { fingerprint } of requests) this.records.remove(fingerprint)
    void this.runRound()
  }

  private notePartVerdict(part: PromptPartKey, isRefused: boolean): void {
    const event = isRefused ? 'deadly_prompt_part' : 'sound_prompt_part'
    this.parts.logger.warn(event, { part })
    if (isRefused) this.records.record(marksOfPart(this.guard, part))
    else this.records.remove(recordKeyOf(part))
    void this.runRound()
  }

  private recordAndBroadcast(gossip: CrashGossip): void {
    this.records.record(gossip.marks)
    this.clear(gossip.cleared)
    this.broadcast(gossip)
  }

  /** Broadcasts gossip to all peers. A peer that misses the broadcast reads the marks and clearances from the table. */
  private broadcast(gossip: CrashGossip): void {
    const onFailed = () => this.parts.metrics.increment('crash_news_failed')
    broadcastToPeers(this.parts, 'crashNews', gossip, onFailed)
  }

  /** Runs one round at a time; a call during a round requests another one. */
  private async runRound(): Promise<void> {
    this.isRoundRequested = this.isRoundRunning
    if (this.isRoundRunning || this.stopped) return
    this.isRoundRunning = true
    this.timer?.cancel()
    try {
      await this.records.synchronize()
    } catch (error) {
      // A table that does not answer is retried in the next round; any other error is a fault.
      if (!(error instanceof RackwalkError)) this.parts.onFault(error)
    }
    this.isRoundRunning = false
    if (this.stopped) return
    if (this.isRoundRequested) return void this.runRound()
    this.timer = this.parts.clock.after(SYNC_INTERVAL_MILLISECONDS, () => void this.runRound())
  }
}
