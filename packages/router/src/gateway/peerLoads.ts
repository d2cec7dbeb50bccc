/**
 * What other instances have in progress at the endpoints, as they last told. Owns one state for each peer
 * and the sums over all of them.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'

/** Requests in progress at one endpoint from one or several instances. */
export interface InstanceLoad {
  readonly running: number
  /** Prompt tokens of requests that have not had their first event. */
  readonly pendingTokens: TokenCount
}

/** What one instance told of its requests in progress. */
export interface PeerLoadReport {
  readonly instance: string
  /** Names one life of the instance. */
  readonly incarnation: string
  /** Rises within one life of the instance; a report that comes late is dropped. */
  readonly sequence: number
  /** Whether endpoints that are not named have nothing in progress from there. */
  readonly isWhole: boolean
  readonly loads: readonly EndpointReport[]
}

/** What one instance told of one endpoint. */
export interface EndpointReport extends InstanceLoad {
  readonly endpoint: string
  /** Shared parts of prompts that were sent there since the last report. */
  readonly parts: readonly PromptPart[]
}

/** By how much the prompt tokens of a peer's requests grew at one endpoint; may be negative. */
export interface TokenGrowth {
  readonly endpoint: string
  readonly tokens: TokenCount
}

/**
 * An instance that had work at an endpoint within this time uses endpoints: one to which a request
 * comes each second stays among those that are told of load, also from one sign of life to the next in a
 * large fleet; one to which a request strays does not.
 */
export const USING_MILLISECONDS = 4_000

interface PeerState {
  incarnation: string
  sequence: number
  heardAt: Milliseconds
  /** Monotonic time at which it last told of work. */
  workedAt: Milliseconds
  readonly loads: Map<string, InstanceLoad>
}

const NO_LOAD: InstanceLoad = { running: 0, pendingTokens: 0 }

/** The loads of all peers. */
export class PeerLoads {
  private readonly peers = new Map<string, PeerState>()
  /** Sums over all peers, kept so that a choice costs one look-up an endpoint. */
  private readonly sums = new Map<string, InstanceLoad>()

  private lastHeardAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly clock: Clock) {}

  /** Time since any peer was last heard of. */
  get heardAgoMilliseconds(): Milliseconds {
    return this.clock.sinceStart() - this.lastHeardAt
  }

  /** Takes a report in; by how much prompt tokens grew since the one before, by endpoint. */
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
    if (report.loads.length > 0) peer.workedAt = peer.heardAt
    return growths
  }

  /** What all peers that were heard of lately have in progress at an endpoint. */
  at(endpoint: string): InstanceLoad {
    return this.sums.get(endpoint) ?? NO_LOAD
  }

  /** Whether an instance was heard of lately. */
  hears(instance: string): boolean {
    return this.peers.has(instance)
  }

  /** Whether an instance told of work at endpoints lately. */
  isUsing(instance: string): boolean {
    const peer = this.peers.get(instance)
    if (peer === undefined) return false
    return peer.loads.size > 0 || this.clock.sinceStart() - peer.workedAt < USING_MILLISECONDS
  }

  /** An endpoint is gone, or started again: nothing that was told of it holds. */
  forget(endpoint: string): void {
    for (const peer of this.peers.values()) this.replace(peer, endpoint, NO_LOAD)
  }

  /** Forgets instances that have been silent for this long; call it now and then. */
  expire(silence: Milliseconds): void {
    const oldest = this.clock.sinceStart() - silence
    for (const [instance, peer] of this.peers) {
      if (peer.heardAt >= oldest) continue
      this.clear(peer)
      this.peers.delete(instance)
    }
  }

  /** What is known of the reporting life of an instance; an earlier life has ended. */
  private peerOf({ instance, incarnation }: PeerLoadReport): PeerState {
    const known = this.peers.get(instance)
    if (known?.incarnation === incarnation) return known
    if (known !== undefined) this.clear(known)
    const created: PeerState = {
      incarnation,
      sequence: 0,
      heardAt: 0,
      workedAt: Number.NEGATIVE_INFINITY,
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
