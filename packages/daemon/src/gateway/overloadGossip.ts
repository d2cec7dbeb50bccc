/**
 * Gossip (datagrams between instances) about overloaded instances, and a record of the instances whose report of their
 * overload has not expired. The messages are encoded like crash gossip: as outdated load reports, which earlier
 * versions drop. Owns the time of each instance's last report.
 */

import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { gossipReports } from './crashGossip.js'

/** Value of an entry's endpoint field; it cannot clash with an endpoint id, since no id contains a space. */
const OVERLOADED_ENTRY = 'instance overloaded'
/** An instance counts as overloaded for this many gossip intervals, so that two messages may be lost. */
const EXPIRY_INTERVALS = 3.5

/** Encodes that this instance is overloaded as gossip reports. */
export function encodeOverloadGossip(
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  return gossipReports(
    [{ endpoint: OVERLOADED_ENTRY, running: 0, pendingTokens: 0, parts: [] }],
    identity,
  )
}

/** Whether a gossip report says that its sender is overloaded. */
export function reportsOverload({ loads }: PeerLoadReport): boolean {
  return loads.some(({ endpoint }) => endpoint === OVERLOADED_ENTRY)
}

/** Instances whose last report of an overload has not expired. */
export class OverloadedInstances {
  private readonly reportedAt = new Map<string, Milliseconds>()

  constructor(
    private readonly clock: Clock,
    /** Time between two datagrams of an instance that stays overloaded. */
    private readonly gossipMilliseconds: () => Milliseconds,
  ) {}

  /** An instance reported that it is overloaded. */
  note(instance: string): void {
    this.reportedAt.set(instance, this.clock.monotonic())
  }

  /** Whether an instance reported within `EXPIRY_INTERVALS` gossip intervals that it is overloaded. */
  has(instance: string): boolean {
    const lastReportAt = this.reportedAt.get(instance)
    if (lastReportAt === undefined) return false
    const expiryMilliseconds = EXPIRY_INTERVALS * this.gossipMilliseconds()
    if (this.clock.monotonic() - lastReportAt < expiryMilliseconds) return true
    this.reportedAt.delete(instance)
    return false
  }
}
