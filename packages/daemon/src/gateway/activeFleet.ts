/**
 * What this instance currently knows of the fleet: which instances serve, which of them take callers, and at which
 * addresses. Owns a short-lived view, since decisions query it often; relies on the member rows, on the load
 * datagrams for heartbeats, and on decisions/placing/activeInstances.
 */

import {
  ActiveInstances,
  SilenceDetector,
  partitionSafeShareCount,
  fleetShareCount,
} from '@rackwalk/decisions'
import type { ActiveBounds, FleetUsage } from '@rackwalk/decisions'
import type { MemberRow } from '@rackwalk/coordination'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Inputs of the fleet view. */
export interface ActiveFleetParts {
  /** Whether this instance takes callers; cheaper than `self`, and called far more often. */
  readonly isServing: () => boolean
  readonly self: () => MemberRow
  /** Other instances that serve, by their rows in the store. */
  readonly others: () => readonly MemberRow[]
  /** Whether an instance sent a heartbeat recently; true for an instance that sends no datagrams. */
  readonly hasRecentHeartbeat: (member: MemberRow) => boolean
  /** An instance is silent when it sent nothing for this long. */
  readonly silenceMilliseconds: () => Milliseconds
  /** Whether an instance recently reported work at endpoints. */
  readonly hasEndpointLoad: (member: MemberRow) => boolean
  /** Whether this instance has work at endpoints. */
  readonly hasOwnEndpointLoad: () => boolean
  /** Whether an instance (this one included) reaches no endpoint of some service. */
  readonly isCutOff: (member: MemberRow) => boolean
  readonly clock: Clock
  readonly bounds: ActiveBounds
  /** This instance became active or went on standby. */
  readonly onChange: (isActive: boolean, activeInstances: number) => void
}

interface FleetView {
  readonly at: Milliseconds
  /** This instance's own row at that time; undefined while it took no callers. */
  readonly self: MemberRow | undefined
  readonly isSelfActive: boolean
  readonly activeOthers: readonly MemberRow[]
  readonly usingOthers: readonly MemberRow[]
  readonly idleOthers: readonly MemberRow[]
  /** Names of the silent instances. */
  readonly silentOthers: ReadonlySet<string>
}

/** A view of the fleet is reused up to this age: members change within seconds. */
const VIEW_MILLISECONDS = 100
/** After this time, other instances that started at the same time are known. */
const DISCOVERY_MILLISECONDS = 2_000

function activeCountOf({ isSelfActive, activeOthers }: FleetView): number {
  return activeOthers.length + (isSelfActive ? 1 : 0)
}

/** The fleet as this instance sees it. */
export class ActiveFleet {
  private readonly selection: ActiveInstances
  private readonly silent = new SilenceDetector()
  private view: FleetView | undefined
  /** Set when the cached view lacks an instance that is known by now. */
  private isInvalidated = false
  /** Time at which this instance began to serve. */
  private selfSince: Milliseconds = 0

  constructor(private readonly parts: ActiveFleetParts) {
    this.selection = new ActiveInstances(parts.bounds)
  }

  /** The members have changed: the next query computes a new view. */
  invalidate(): void {
    this.isInvalidated = true
  }

  /** Whether the directory sends callers to this instance. */
  get isSelfActive(): boolean {
    return this.currentView().isSelfActive
  }

  /**
   * Whether this instance should hold tokens ahead of demand. An instance that has just begun to serve knows few of
   * the others yet and therefore always considers itself active.
   */
  get isSelfSettled(): boolean {
    const { at, isSelfActive } = this.currentView()
    return isSelfActive && at - this.selfSince >= DISCOVERY_MILLISECONDS
  }

  /** Other instances that the directory sends callers to. */
  get activeOthers(): readonly MemberRow[] {
    return this.currentView().activeOthers
  }

  /** Other instances that use endpoints: the active ones, and standby instances that have work at endpoints. */
  get usingOthers(): readonly MemberRow[] {
    return this.currentView().usingOthers
  }

  /** Other instances that currently use no shared resources of the fleet, or are silent. */
  get idleOthers(): readonly MemberRow[] {
    return this.currentView().idleOthers
  }

  /** Whether another instance is silent. */
  isSilent(instance: string): boolean {
    return this.currentView().silentOthers.has(instance)
  }

  /** Number of instances that take callers, this one included if it does. */
  get activeCount(): number {
    return activeCountOf(this.currentView())
  }

  /** Number of instances that share a fleet-wide bound, this one included. */
  get sharers(): number {
    return fleetShareCount(this.usage)
  }

  /** Number of sharers for a bound that must hold even while the fleet is partitioned. */
  get worstCaseSharers(): number {
    return partitionSafeShareCount(this.usage)
  }

  /** Addresses for a caller of a region; addresses of all regions when that region has no instance. */
  addresses(region: string | undefined): readonly string[] {
    const { self, isSelfActive, activeOthers } = this.currentView()
    const active = isSelfActive && self !== undefined ? [self, ...activeOthers] : activeOthers
    const near = active.filter(member => member.region === region)
    return this.preferReaching(near.length > 0 ? near : active).map(member => member.callerAddress)
  }

  /**
   * The members that reach endpoints: active ones, otherwise standby ones; all active members if every instance is
   * cut off.
   */
  private preferReaching(active: readonly MemberRow[]): readonly MemberRow[] {
    const reaches = (member: MemberRow) => !this.parts.isCutOff(member)
    const reaching = active.filter(reaches)
    if (reaching.length > 0) return reaching
    const standby = this.idleOthers.filter(
      member => reaches(member) && !this.isSilent(member.instance),
    )
    return standby.length > 0 ? standby : active
  }

  /** Peer addresses of the other active instances in a failure domain. */
  failureDomainAddresses(failureDomain: string): readonly string[] {
    return this.activeOthers
      .filter(member => member.failureDomain === failureDomain && member.peerAddress !== '')
      .map(({ peerAddress }) => peerAddress)
  }

  private get usage(): FleetUsage {
    const { isSelfActive, usingOthers, idleOthers } = this.currentView()
    return {
      isSelfUsing: isSelfActive || this.parts.hasOwnEndpointLoad(),
      usingOthers: usingOthers.length,
      others: usingOthers.length + idleOthers.length,
    }
  }

  private currentView(): FleetView {
    const before = this.view
    const isServing = this.parts.isServing()
    const now = this.parts.clock.monotonic()
    const isSame = (before?.self !== undefined) === isServing
    const isFresh = before !== undefined && now - before.at < VIEW_MILLISECONDS
    if (isFresh && isSame && !this.isInvalidated) return before
    this.isInvalidated = false
    if (!isSame) this.selfSince = now
    const view = { at: now, ...this.computeView(isServing ? this.parts.self() : undefined) }
    this.view = view
    if (before?.isSelfActive !== view.isSelfActive) this.notifyChange(view)
    return view
  }

  private notifyChange(view: FleetView): void {
    this.parts.onChange(view.isSelfActive, activeCountOf(view))
  }

  private computeView(self: MemberRow | undefined): Omit<FleetView, 'at'> {
    const all = this.parts.others()
    const others = this.reachable(all)
    const candidates = self === undefined ? others : [self, ...others]
    const active = this.selection.choose(candidates, this.parts.clock.monotonic())
    const activeOthers = active.filter(member => member !== self)
    const { hasEndpointLoad } = this.parts
    const standbyUsers = others.filter(
      other => hasEndpointLoad(other) && !activeOthers.includes(other),
    )
    const usingOthers = [...activeOthers, ...standbyUsers]
    return {
      self,
      isSelfActive: active.some(member => member === self),
      activeOthers,
      usingOthers,
      idleOthers: all.filter(other => !usingOthers.includes(other)),
      silentOthers: new Set(
        all.filter(other => !others.includes(other)).map(({ instance }) => instance),
      ),
    }
  }

  /**
   * Other instances that callers may use. A silent instance is left out long before its row shows that it is gone,
   * unless this instance hears no instance at all and may itself be the one that is cut off.
   */
  private reachable(others: readonly MemberRow[]): readonly MemberRow[] {
    const { hasRecentHeartbeat, clock, silenceMilliseconds } = this.parts
    const now = clock.monotonic()
    const nonSilent = this.silent.selectNonSilent(
      others,
      hasRecentHeartbeat,
      now,
      silenceMilliseconds(),
    )
    return others.some(member => hasRecentHeartbeat(member)) ? nonSilent : others
  }
}
