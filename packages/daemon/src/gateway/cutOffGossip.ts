/**
 * Gossip (datagrams between instances) about instances that are cut off from a service, that is, reach none of its
 * endpoints, and a record of the instances whose report of that has not expired. The messages are encoded like overload
 * gossip, which earlier versions drop. Owns the time of each instance's last report and the timer that repeats this
 * instance's own.
 */

import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock, Milliseconds, Timer } from '@rackwalk/shared'
import { gossipReports } from './crashGossip.js'

/** Prefix of an entry's endpoint field; it cannot clash with an endpoint id, since no id contains a space. */
const CUT_OFF_PREFIX = 'instance cut off from '
/** An instance counts as cut off for this many gossip intervals, so that two messages may be lost. */
const EXPIRY_INTERVALS = 3.5

/** Encodes the services from which this instance is cut off as gossip reports. */
export function encodeCutOffGossip(
  services: readonly string[],
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  const entries = services.map(service => {
    return { endpoint: `${CUT_OFF_PREFIX}${service}`, running: 0, pendingTokens: 0, parts: [] }
  })
  return gossipReports(entries, identity)
}

/** Decodes the services from which the sender of a gossip report is cut off. */
export function decodeCutOffGossip({ loads }: PeerLoadReport): readonly string[] {
  return loads.flatMap(({ endpoint }) =>
    endpoint.startsWith(CUT_OFF_PREFIX) ? [endpoint.slice(CUT_OFF_PREFIX.length)] : [],
  )
}

/** What the record of cut-off instances needs. */
export interface CutOffInstancesParts {
  /** Name of this instance. */
  readonly instance: string
  readonly clock: Clock
  /** Time between two datagrams of an instance that stays cut off. */
  readonly gossipMilliseconds: () => Milliseconds
  /** Services from which this instance is cut off. */
  readonly ownServices: () => readonly string[]
  readonly broadcast: (services: readonly string[]) => void
}

/**
 * Instances that reported, within `EXPIRY_INTERVALS` gossip intervals, that they reach no endpoint of some service;
 * this instance included. No message says that endpoints are reached again: the reports expire.
 */
export class CutOffInstances {
  /**
   * By instance, then by service: when the last report expires. The time is fixed when the report arrives: the gossip
   * interval depends on which instances are active, and that on these reports.
   */
  private readonly expiresAt = new Map<string, Map<string, Milliseconds>>()
  private timer: Timer | undefined

  constructor(private readonly parts: CutOffInstancesParts) {}

  stop(): void {
    this.timer?.cancel()
  }

  /**
   * An instance reported that it is cut off from these services. Returns those of which it had no report that has not
   * expired.
   */
  note(instance: string, services: readonly string[]): readonly string[] {
    const newServices = services.filter(service => !this.has(instance, service))
    if (services.length === 0) return newServices
    const { clock, gossipMilliseconds } = this.parts
    const expiresAt = clock.monotonic() + EXPIRY_INTERVALS * gossipMilliseconds()
    const reports = this.expiresAt.get(instance) ?? new Map<string, Milliseconds>()
    for (const service of services) reports.set(service, expiresAt)
    this.expiresAt.set(instance, reports)
    return newServices
  }

  /** Whether an instance has a report, not yet expired, that it is cut off from a service. */
  has(instance: string, service: string): boolean {
    const expiresAt = this.expiresAt.get(instance)?.get(service)
    return expiresAt !== undefined && this.isCurrent(expiresAt)
  }

  /**
   * Whether an instance has a report, not yet expired, that it is cut off from some service, so that callers should use
   * another instance.
   */
  hasAny(instance: string): boolean {
    const reports = this.expiresAt.get(instance)
    if (reports === undefined) return false
    if ([...reports.values()].some(expiresAt => this.isCurrent(expiresAt))) return true
    this.expiresAt.delete(instance)
    return false
  }

  /** Updates this instance's own state and repeats the broadcast for as long as it is cut off from any service. */
  refreshOwn(): void {
    this.timer?.cancel()
    const { instance, clock, gossipMilliseconds, ownServices, broadcast } = this.parts
    const services = ownServices()
    if (services.length === 0) return
    this.note(instance, services)
    broadcast(services)
    this.timer = clock.after(gossipMilliseconds(), () => this.refreshOwn())
  }

  private isCurrent(expiresAt: Milliseconds): boolean {
    return this.parts.clock.monotonic() < expiresAt
  }
}
