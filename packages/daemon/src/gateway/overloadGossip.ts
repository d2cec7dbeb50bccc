/**
 * The news that an instance gets more than it bears, as a datagram between instances, and who told it lately. It travels as
 * news of requests that end endpoints do: in the form of a load report that comes too late, which an earlier version
 * drops. Owns when each instance last told it.
 */

import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { gossipReports } from './crashGossip.js'

/** Entries of a report are named for endpoints, and no endpoint has a blank in its id. */
const OVERLOADED_ENTRY = 'instance overloaded'
/** An instance counts as overloaded for so many intervals of its news: two may be lost. */
const EXPIRY_INTERVALS = 3.5

/** The reports that tell that this instance is overloaded. */
export function encodeOverloadGossip(
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  return gossipReports(
    [{ endpoint: OVERLOADED_ENTRY, running: 0, pendingTokens: 0, parts: [] }],
    identity,
  )
}

/** Whether a report that carries news tells that its instance is overloaded. */
export function reportsOverload({ loads }: PeerLoadReport): boolean {
  return loads.some(({ endpoint }) => endpoint === OVERLOADED_ENTRY)
}

/** Instances that said lately that they get more than they bear. */
export class OverloadedInstances {
  private readonly reportedAt = new Map<string, Milliseconds>()

  constructor(
    private readonly clock: Clock,
    /** Time between two datagrams of an instance that stays overloaded. */
    private readonly gossipMilliseconds: () => Milliseconds,
  ) {}

  /** An instance told it. */
  note(instance: string): void {
    this.reportedAt.set(instance, this.clock.monotonic())
  }

  /** Whether it did lately. */
  has(instance: string): boolean {
    const toldAt = this.reportedAt.get(instance)
    if (toldAt === undefined) return false
    const believed = EXPIRY_INTERVALS * this.gossipMilliseconds()
    if (this.clock.monotonic() - toldAt < believed) return true
    this.reportedAt.delete(instance)
    return false
  }
}
