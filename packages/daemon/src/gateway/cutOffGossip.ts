/**
 * The news that an instance reaches no endpoint of a service, as a datagram between instances, and who told it lately. It
 * travels as the news of overload does, which an earlier version drops. Owns when each instance last told it, and the timer
 * that tells it again.
 */

import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock, Milliseconds, Timer } from '@rackwalk/shared'
import { gossipReports } from './crashGossip.js'

/** Entries of a report are named for endpoints, and no endpoint has a blank in its id. */
const CUT_OFF_PREFIX = 'instance cut off from '
/** An instance counts as cut off for so many intervals of its news: two may be lost. */
const EXPIRY_INTERVALS = 3.5

/** The reports that tell from which services this instance is cut off. */
export function encodeCutOffGossip(
  services: readonly string[],
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  const entries = services.map(service => {
    return { endpoint: `${CUT_OFF_PREFIX}${service}`, running: 0, pendingTokens: 0, parts: [] }
  })
  return gossipReports(entries, identity)
}

/** The services from which the instance of a report that carries news is cut off. */
export function decodeCutOffGossip({ loads }: PeerLoadReport): readonly string[] {
  return loads.flatMap(({ endpoint }) =>
    endpoint.startsWith(CUT_OFF_PREFIX) ? [endpoint.slice(CUT_OFF_PREFIX.length)] : [],
  )
}

/** What the knowledge of cuts works with. */
export interface CutOffInstancesParts {
  /** This instance. */
  readonly instance: string
  readonly clock: Clock
  /** Time between two datagrams of an instance that stays cut off. */
  readonly gossipMilliseconds: () => Milliseconds
  /** Services from which this instance is cut off. */
  readonly ownServices: () => readonly string[]
  readonly broadcast: (services: readonly string[]) => void
}

/** Instances that reach no endpoint of some service, this one included. */
export class CutOffInstances {
  /** By instance, then by service: when it was told last. */
  private readonly reportedAt = new Map<string, Map<string, Milliseconds>>()
  private timer: Timer | undefined

  constructor(private readonly parts: CutOffInstancesParts) {}

  stop(): void {
    this.timer?.cancel()
  }

  /** An instance told it of these services. */
  note(instance: string, services: readonly string[]): void {
    if (services.length === 0) return
    const told = this.reportedAt.get(instance) ?? new Map<string, Milliseconds>()
    for (const service of services) told.set(service, this.parts.clock.monotonic())
    this.reportedAt.set(instance, told)
  }

  /** Whether an instance told it of a service lately. */
  has(instance: string, service: string): boolean {
    const toldAt = this.reportedAt.get(instance)?.get(service)
    return toldAt !== undefined && this.isCurrent(toldAt)
  }

  /** Whether an instance told it of any service lately: callers do better elsewhere. */
  hasAny(instance: string): boolean {
    const told = this.reportedAt.get(instance)
    if (told === undefined) return false
    if ([...told.values()].some(toldAt => this.isCurrent(toldAt))) return true
    this.reportedAt.delete(instance)
    return false
  }

  /** This instance is cut off from a service, or no longer: it is told for as long as that lasts. */
  refreshOwn(): void {
    this.timer?.cancel()
    const { instance, clock, gossipMilliseconds, ownServices, broadcast } = this.parts
    const services = ownServices()
    if (services.length === 0) return
    this.note(instance, services)
    broadcast(services)
    this.timer = clock.after(gossipMilliseconds(), () => this.refreshOwn())
  }

  private isCurrent(toldAt: Milliseconds): boolean {
    const { clock, gossipMilliseconds } = this.parts
    return clock.monotonic() - toldAt < EXPIRY_INTERVALS * gossipMilliseconds()
  }
}
