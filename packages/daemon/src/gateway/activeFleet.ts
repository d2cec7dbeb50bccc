/**
 * What this instance currently knows of the fleet: which instances serve, which of them are active (the directory
 * sends callers to them) or on standby, which are silent (no heartbeat lately), how many share a fleet-wide bound, and
 * which addresses a caller gets. Owns a short-lived view, since the view is read for many decisions on a request;
 * relies on the member rows, on the load datagrams for heartbeats, and on decisions/placing/activeInstances and
 * callerAddresses.
 */

import {
  ActiveInstances,
  SilenceDetector,
  callerAddresses,
  partitionSafeShareCount,
  fleetShareCount,
} from '@rackwalk/decisions'
import type { ActiveBounds, FleetUsage } from '@rackwalk/decisions'
import type { MemberRow } from '@rackwalk/coordination'
import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'

/** Inputs of the fleet view. */
export interface ActiveFleetParts {
  /** Whether this instance is ready and registered, so that it can be active; cheaper than `self`. */
  readonly isServing: () => boolean
  readonly self: () => MemberRow
  /** Other instances that serve, by their rows in the store. */
  readonly others: () => readonly MemberRow[]
  /**
   * Other instances that are heard although their rows are not renewed: they are disconnected from the store, and use
   * their share of the fleet's bounds.
   */
  readonly disconnectedOthers: () => readonly MemberRow[]
  /** Whether an instance sent a heartbeat recently; true for an instance that sends no datagrams. */
  readonly hasRecentHeartbeat: (member: MemberRow) => boolean
  /** How long this instance waits for the first heartbeat of another one before that one counts as silent. */
  readonly silenceMilliseconds: () => Milliseconds
  /** Whether an instance recently reported work at endpoints. */
  readonly hasEndpointLoad: (member: MemberRow) => boolean
  /** Whether this instance has work at endpoints. */
  readonly hasOwnEndpointLoad: () => boolean
  /** Whether an instance (this one included) reaches no endpoint of some service. */
  readonly isCutOff: (member: MemberRow) => boolean
  readonly clock: Clock
  /** Decides which of the active instances an answer to a caller names. */
  readonly random: RandomSource
  readonly bounds: ActiveBounds
  /** This instance became active or went on standby. */
  readonly onChange: (isActive: boolean, activeInstances: number) => void
}

interface FleetView {
  readonly at: Milliseconds
  /** This instance's own row at that time; undefined if this instance was not serving. */
  readonly self: MemberRow | undefined
  readonly isSelfActive: boolean
  readonly activeOthers: readonly MemberRow[]
  readonly usingOthers: readonly MemberRow[]
  readonly idleOthers: readonly MemberRow[]
  readonly disconnectedOthers: readonly MemberRow[]
  readonly heartbeatOthers: readonly MemberRow[]
  /** Names of the silent instances; empty while this instance hears no other instance. */
  readonly silentOthers: ReadonlySet<string>
  /** Whether this instance hears another one. */
  readonly isHearing: boolean
}

/** Age up to which a view of the fleet is reused: members change within seconds. */
const VIEW_MILLISECONDS = 100
/** Time after the start of serving by which this instance knows the instances that started at the same time. */
const DISCOVERY_MILLISECONDS = 2_000

function activeCountOf({ isSelfActive, activeOthers }: FleetView): number {
  return activeOthers.length + (isSelfActive ? 1 : 0)
}

/** The fleet as this instance sees it. */
export class ActiveFleet {
  private readonly selection: ActiveInstances
  private readonly silent = new SilenceDetector()
  private view: FleetView | undefined
  /** Set when the members have changed since the cached view was computed. */
  private isInvalidated = false
  /** Monotonic time at which this instance last began or stopped serving; 0 before the first change. */
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
   * Whether this instance should hold tokens ahead of demand: it is active and has served for
   * `DISCOVERY_MILLISECONDS`. An instance that has just begun to serve knows few of the other instances and may
   * consider itself active for that reason alone.
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

  /** The other instances that serve but are not in `usingOthers`: idle standby instances and silent instances. */
  get idleOthers(): readonly MemberRow[] {
    return this.currentView().idleOthers
  }

  /**
   * The other instances that get heartbeats and gossip but no load reports: those of `idleOthers`, and those that are
   * heard although their rows are not renewed. The latter serve callers too, and gossip is all that reaches them.
   */
  get heartbeatOthers(): readonly MemberRow[] {
    return this.currentView().heartbeatOthers
  }

  /** Whether another instance is silent. */
  isSilent(instance: string): boolean {
    return this.currentView().silentOthers.has(instance)
  }

  /** Requests per second that this instance's callers send it. */
  get ownRequestsPerSecond(): number {
    return this.parts.self().requestsPerSecond
  }

  /** Number of active instances, this one included if it is active. */
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

  /**
   * Returns addresses for a caller of a region; those of all regions if the region has no active instance. Each
   * answer names instances in proportion to their capacity. While this instance hears no other, it knows only rows
   * that may be out of date, and names all.
   */
  addresses(region: string | undefined): readonly string[] {
    const { self, isSelfActive, activeOthers, isHearing } = this.currentView()
    const active = isSelfActive && self !== undefined ? [self, ...activeOthers] : activeOthers
    const near = active.filter(member => member.region === region)
    const reaching = this.preferReaching(near.length > 0 ? near : active)
    const named = isHearing ? callerAddresses(reaching, this.parts.random.next()) : reaching
    return named.map(member => member.callerAddress)
  }

  /**
   * Returns the given active members that reach endpoints of every service. If there are none, returns the idle
   * standby members of all regions that do and are not silent; if there are none of those either, the given members.
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

  /** The numbers of instances from which the shares of a fleet-wide bound are computed. */
  private get usage(): FleetUsage {
    const { isSelfActive, usingOthers, idleOthers, disconnectedOthers } = this.currentView()
    const usingCount = usingOthers.length + disconnectedOthers.length
    return {
      isSelfUsing: isSelfActive || this.parts.hasOwnEndpointLoad(),
      usingOthers: usingCount,
      others: usingCount + idleOthers.length,
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
    const isHearing = all.some(other => this.parts.hasRecentHeartbeat(other))
    const others = this.reachable(all, isHearing)
    const candidates = self === undefined ? others : [self, ...others]
    const { clock, isCutOff } = this.parts
    const active = this.selection.choose(candidates, clock.monotonic(), isCutOff)
    const activeOthers = active.filter(member => member !== self)
    const { hasEndpointLoad } = this.parts
    const standbyUsers = others.filter(
      other => hasEndpointLoad(other) && !activeOthers.includes(other),
    )
    const usingOthers = [...activeOthers, ...standbyUsers]
    const idleOthers = all.filter(other => !usingOthers.includes(other))
    const disconnectedOthers = this.parts.disconnectedOthers()
    return {
      self,
      isSelfActive: active.some(member => member === self),
      activeOthers,
      usingOthers,
      idleOthers,
      disconnectedOthers,
      heartbeatOthers: [...idleOthers, ...disconnectedOthers],
      silentOthers: new Set(
        all.filter(other => !others.includes(other)).map(({ instance }) => instance),
      ),
      isHearing,
    }
  }

  /**
   * Returns the other instances that callers may use. A silent instance is left out long before its row shows that the
   * instance has terminated. All instances are returned if this instance hears none of them, since this instance may
   * itself be the one without a connection.
   */
  private reachable(others: readonly MemberRow[], isHearing: boolean): readonly MemberRow[] {
    const { hasRecentHeartbeat, clock, silenceMilliseconds } = this.parts
    const now = clock.monotonic()
    const nonSilent = this.silent.selectNonSilent(
      others,
      hasRecentHeartbeat,
      now,
      silenceMilliseconds(),
    )
    return isHearing ? nonSilent : others
  }
}
