/**
 * What this instance knows of the fleet at present: who serves, who of them takes callers, and at which
 * addresses. Owns a short-lived view, since decisions ask for it often; relies on the members' rows, on the
 * datagrams for who was heard of, and on decisions/placing/activeInstances.
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

/** What the view of the fleet rests on. */
export interface ActiveFleetParts {
  /** Whether this instance takes callers; asked far more often than the own row. */
  readonly isServing: () => boolean
  readonly self: () => MemberRow
  /** Other instances that serve, as the store has them. */
  readonly others: () => readonly MemberRow[]
  /** Whether an instance was heard of lately; true where nothing is ever heard of it. */
  readonly hasRecentHeartbeat: (member: MemberRow) => boolean
  /** An instance that is heard of was heard of within this time. */
  readonly silenceMilliseconds: () => Milliseconds
  /** Whether an instance told of work at endpoints lately. */
  readonly hasEndpointLoad: (member: MemberRow) => boolean
  /** The same for this instance. */
  readonly hasOwnEndpointLoad: () => boolean
  /** Whether an instance, or this one, reaches no endpoint of some service. */
  readonly isCutOff: (member: MemberRow) => boolean
  readonly clock: Clock
  readonly bounds: ActiveBounds
  /** This instance became active or began to stand by. */
  readonly onChange: (isActive: boolean, activeInstances: number) => void
}

interface FleetView {
  readonly at: Milliseconds
  /** The own row as it was then; undefined while this instance took no callers. */
  readonly self: MemberRow | undefined
  readonly isSelfActive: boolean
  readonly activeOthers: readonly MemberRow[]
  readonly usingOthers: readonly MemberRow[]
  readonly idleOthers: readonly MemberRow[]
  /** Names of those that have fallen silent. */
  readonly silentOthers: ReadonlySet<string>
}

/** Age up to which a view of the fleet is used again: members change within seconds. */
const VIEW_MILLISECONDS = 100
/** Other instances that started at the same time are known after this time. */
const DISCOVERY_MILLISECONDS = 2_000

function activeCountOf({ isSelfActive, activeOthers }: FleetView): number {
  return activeOthers.length + (isSelfActive ? 1 : 0)
}

/** The fleet as this instance sees it. */
export class ActiveFleet {
  private readonly selection: ActiveInstances
  private readonly silent = new SilenceDetector()
  private view: FleetView | undefined
  /** Set where the view lacks somebody who is known by now. */
  private isInvalidated = false
  /** Time at which this instance began to serve. */
  private selfSince: Milliseconds = 0

  constructor(private readonly parts: ActiveFleetParts) {
    this.selection = new ActiveInstances(parts.bounds)
  }

  /** The members have changed: the next question is answered by a new view. */
  invalidate(): void {
    this.isInvalidated = true
  }

  /** Whether callers are sent here. */
  get isSelfActive(): boolean {
    return this.currentView().isSelfActive
  }

  /**
   * Whether this instance should hold tokens ahead of demand. One that has just begun to serve
   * knows few of the others yet, and so always takes itself for active.
   */
  get isSelfSettled(): boolean {
    const { at, isSelfActive } = this.currentView()
    return isSelfActive && at - this.selfSince >= DISCOVERY_MILLISECONDS
  }

  /** Other instances to which callers are sent. */
  get activeOthers(): readonly MemberRow[] {
    return this.currentView().activeOthers
  }

  /**
   * Other instances that use endpoints: the active ones, and those with work there though callers
   * are not sent to them.
   */
  get usingOthers(): readonly MemberRow[] {
    return this.currentView().usingOthers
  }

  /** Other instances that use nothing of the fleet's at present, or have fallen silent. */
  get idleOthers(): readonly MemberRow[] {
    return this.currentView().idleOthers
  }

  /** Whether another instance has fallen silent. */
  isSilent(instance: string): boolean {
    return this.currentView().silentOthers.has(instance)
  }

  /** How many instances take callers, this one counted where it does. */
  get activeCount(): number {
    return activeCountOf(this.currentView())
  }

  /** The number of instances that share a bound of the whole fleet, this one included. */
  get sharers(): number {
    return fleetShareCount(this.use)
  }

  /** The same for a bound that must hold while parts of the fleet cannot hear each other. */
  get worstCaseSharers(): number {
    return partitionSafeShareCount(this.use)
  }

  /** Addresses for a caller of a region; of all regions where it has no instance. */
  addresses(region: string | undefined): readonly string[] {
    const { self, isSelfActive, activeOthers } = this.currentView()
    const active = isSelfActive && self !== undefined ? [self, ...activeOthers] : activeOthers
    const near = active.filter(member => member.region === region)
    return this.preferReaching(near.length > 0 ? near : active).map(member => member.callerAddress)
  }

  /** Those that reach endpoints: the active ones, or else any other; all where nobody says that it does. */
  private preferReaching(active: readonly MemberRow[]): readonly MemberRow[] {
    const reaches = (member: MemberRow) => !this.parts.isCutOff(member)
    const reaching = active.filter(reaches)
    if (reaching.length > 0) return reaching
    const standby = this.idleOthers.filter(
      member => reaches(member) && !this.isSilent(member.instance),
    )
    return standby.length > 0 ? standby : active
  }

  /** Addresses for peers of the active others in a failure domain. */
  failureDomainAddresses(failureDomain: string): readonly string[] {
    return this.activeOthers
      .filter(member => member.failureDomain === failureDomain && member.peerAddress !== '')
      .map(({ peerAddress }) => peerAddress)
  }

  private get use(): FleetUsage {
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
   * Other instances to which callers may go. One that has fallen silent is left out long before
   * its row shows it, unless this instance hears nobody and may be the one that is cut off.
   */
  private reachable(others: readonly MemberRow[]): readonly MemberRow[] {
    const { hasRecentHeartbeat, clock, silenceMilliseconds } = this.parts
    const now = clock.monotonic()
    const audible = this.silent.selectNonSilent(
      others,
      hasRecentHeartbeat,
      now,
      silenceMilliseconds(),
    )
    return others.some(member => hasRecentHeartbeat(member)) ? audible : others
  }
}
