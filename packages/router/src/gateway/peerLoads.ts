/**
 * Keeps the requests in progress of other instances at the endpoints, as last reported. Owns one state for
 * each peer and the sums over all peers.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'

/** Requests in progress at one endpoint, from one or several instances. */
export interface InstanceLoad {
  readonly running: number
  /** Prompt tokens of requests whose first event has not arrived. */
  readonly pendingTokens: TokenCount
}

/** A report by one instance of its requests in progress. */
export interface PeerLoadReport {
  readonly instance: string
  /** Identifies one run of the instance's process. */
  readonly incarnation: string
  /** Increases within one run of the instance; a report that arrives out of order is dropped. */
  readonly sequence: number
  /**
   * Whether the reporting instance has no requests in progress at endpoints that the report does not name.
   */
  readonly isWhole: boolean
  readonly loads: readonly EndpointReport[]
}

/** The part of a report about one endpoint. */
export interface EndpointReport extends InstanceLoad {
  readonly endpoint: string
  /** Shared prompt parts sent there since the last report. */
  readonly parts: readonly PromptPart[]
}

/** Growth of the pending prompt tokens of a peer at one endpoint; may be negative. */
export interface TokenGrowth {
  readonly endpoint: string
  readonly tokens: TokenCount
}

/**
 * An instance that reported requests in progress at an endpoint within this time counts as using endpoints
 * and receives load reports. An instance with one request per second keeps receiving them, even between two
 * heartbeats in a large fleet; one with an occasional stray request does not.
 */
export const USING_MILLISECONDS = 4_000

interface PeerState {
  incarnation: string
  sequence: number
  heardAt: Milliseconds
  /** Time, on the clock that includes suspensions, of the newest report that named an endpoint. */
  loadAt: Milliseconds
  readonly loads: Map<string, InstanceLoad>
}

const NO_LOAD: InstanceLoad = { running: 0, pendingTokens: 0 }

/** Loads of all peers. */
export class PeerLoads {
  private readonly peers = new Map<string, PeerState>()
  /** Sums over all peers, so that a choice costs one lookup per endpoint. */
  private readonly sums = new Map<string, InstanceLoad>()

  private lastHeardAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly clock: Clock) {}

  /** Time since the newest report of any peer. */
  get heardAgoMilliseconds(): Milliseconds {
    return this.clock.sinceStart() - this.lastHeardAt
  }

  /**
   * Applies a report. Returns by how much pending prompt tokens grew since the previous report, by endpoint.
   */
  observe(report: PeerLoadReport): readonly TokenGrowth[] {
    const peer = this.peerOf(report)
    if (report.sequence <= peer.sequence) return []
    const growths = report.loads.map(({ endpoint, pendingTokens }) => ({
      endpoint,
      tokens: pendingTokens - (peer.loads.get(endpoint) ?? NO_LOAD).pendingTokens,
    }))
    peer.sequence = report.sequence
    peer.heardAt = this.clock.sinceStart()
    this.lastHeardAt = peer.heardAt
    if (report.isWhole) this.clear(peer)
    for (const { endpoint, running, pendingTokens } of report.loads) {
      this.replace(peer, endpoint, { running, pendingTokens })
    }
    if (report.loads.length > 0) peer.loadAt = peer.heardAt
    return growths
  }

  /** Requests in progress at an endpoint from all peers that were not forgotten as silent. */
  at(endpoint: string): InstanceLoad {
    return this.sums.get(endpoint) ?? NO_LOAD
  }

  /** Whether a report of an instance was received and the instance was not forgotten as silent since. */
  hasRecentReport(instance: string): boolean {
    return this.peers.has(instance)
  }

  /** Whether an instance has requests in progress at endpoints, or reported some recently. */
  isUsing(instance: string): boolean {
    const peer = this.peers.get(instance)
    if (peer === undefined) return false
    return peer.loads.size > 0 || this.clock.sinceStart() - peer.loadAt < USING_MILLISECONDS
  }

  /** The endpoint was removed or restarted: earlier reports about it no longer apply. */
  forget(endpoint: string): void {
    for (const peer of this.peers.values()) this.replace(peer, endpoint, NO_LOAD)
  }

  /** Forgets instances that have been silent for this long; to be called periodically. */
  expire(silence: Milliseconds): void {
    const oldest = this.clock.sinceStart() - silence
    for (const [instance, peer] of this.peers) {
      if (peer.heardAt >= oldest) continue
      this.clear(peer)
      this.peers.delete(instance)
    }
  }

  /** Returns the state of the reporting run of an instance. The state of an earlier run is dropped. */
  private peerOf({ instance, incarnation }: PeerLoadReport): PeerState {
    const known = this.peers.get(instance)
    if (known?.incarnation === incarnation) return known
    if (known !== undefined) this.clear(known)
    const created: PeerState = {
      incarnation,
      sequence: 0,
      heardAt: 0,
      loadAt: Number.NEGATIVE_INFINITY,
      loads: new Map(),
    }
    this.peers.set(instance, created)
    return created
  }

  private clear(peer: PeerState): void {
    for (const endpoint of [...peer.loads.keys()]) this.replace(peer, endpoint, NO_LOAD)
  }

  private replace(peer: PeerState, endpoint: string, load: InstanceLoad): void {
    const before = peer.loads.get(endpoint) ?? NO_LOAD
    const isNothing = load.running === 0 && load.pendingTokens === 0
    if (isNothing) peer.loads.delete(endpoint)
    else peer.loads.set(endpoint, load)
    const sum = this.at(endpoint)
    const running = sum.running + load.running - before.running
    const pendingTokens = sum.pendingTokens + load.pendingTokens - before.pendingTokens
    if (running === 0 && pendingTokens === 0) this.sums.delete(endpoint)
    else this.sums.set(endpoint, { running, pendingTokens })
  }
}
