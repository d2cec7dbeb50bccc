/**
 * Live instances of the OpenAI-style kind, tracked by heartbeats within groups and digests between
 * groups. Owns the last report of each member; sends nothing itself.
 */

import { createHash } from 'node:crypto'
import { randomBelow } from '@rackwalk/shared'
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Milliseconds,
  RandomSource,
  RegionId,
} from '@rackwalk/shared'
import type { GroupDigest, MemberInfo } from '../peerMessages.js'

/**
 * If fewer members than this are known of a region, besides this instance, all instances of the
 * region exchange heartbeats with each other; otherwise those of each failure domain do.
 */
const REGION_MESH_LIMIT = 24
/** Number of rounds between two rounds whose heartbeats within the group carry digests. */
const DIGEST_PERIOD = 5

/** Timeout of membership. */
export interface MembershipTimings {
  /** A member of the own group from which nothing was heard for longer than this is not live. */
  readonly silenceMilliseconds: Milliseconds
}

const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = { silenceMilliseconds: 5_000 }

/** Location of a member; never changes. */
export type MemberLocation = Pick<MemberInfo, 'incarnation' | 'region' | 'failureDomain'>

interface KnownMember {
  info: MemberInfo
  heardAt: Milliseconds
}

interface KnownGroup {
  digest: GroupDigest
  heardAt: Milliseconds
}

interface LiveView {
  readonly at: Milliseconds
  readonly members: readonly MemberInfo[]
  readonly incarnations: readonly IncarnationId[]
}

/**
 * A member from which nothing was heard for more than this many silence timeouts no longer counts
 * among the instances that share fleet-wide limits.
 */
const RETENTION_SILENCES = 12
/** Maximum age of a cached view of the live members. */
const VIEW_CACHE_MILLISECONDS = 50

/** A heartbeat to send. */
export interface PlannedHeartbeat {
  readonly target: IncarnationId
  readonly digests: readonly GroupDigest[]
}

/**
 * Tracks which members are live, as far as this instance hears from them. Members of a group (a
 * small region, otherwise a failure domain) send heartbeats to each other. Groups exchange digests
 * of constant size, so that the traffic of an instance does not grow with the fleet.
 */
export class Membership {
  private readonly members = new Map<IncarnationId, KnownMember>()
  private readonly groups = new Map<string, KnownGroup>()
  /** Number of known members per region, so that a group is found without scanning all members. */
  private readonly regionSizes = new Map<RegionId, number>()
  private roundNumber = 0
  private cached: LiveView | undefined

  constructor(
    private readonly location: MemberLocation,
    private readonly describeSelf: () => MemberInfo,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly timings: MembershipTimings = DEFAULT_MEMBERSHIP_TIMINGS,
  ) {}

  get self(): MemberInfo {
    return this.describeSelf()
  }

  /**
   * Merges a member's report about itself; a report that is not newer than the known one is
   * ignored.
   */
  mergeMember(info: MemberInfo): void {
    if (info.incarnation === this.location.incarnation) return
    const known = this.members.get(info.incarnation)
    if (known !== undefined && known.info.heartbeat >= info.heartbeat) return
    this.remember(info)
    this.forgetPredecessors(info)
  }

  /** Merges digests and returns the groups whose member lists have to be requested. */
  mergeDigests(digests: readonly GroupDigest[]): readonly string[] {
    return digests.filter(digest => this.mergeDigest(digest)).map(digest => digest.group)
  }

  /** Replaces the known members of a group by the list that one of its members sent. */
  replaceGroupMembers(group: string, infos: readonly MemberInfo[]): void {
    const listed = new Set(infos.map(info => info.incarnation))
    for (const [incarnation, known] of this.members) {
      if (this.groupOf(known.info) === group && !listed.has(incarnation)) {
        this.forget(incarnation)
      }
    }
    for (const info of infos) this.mergeMember(info)
  }

  /** Live members, including this instance, in a stable order. */
  liveMembers(): readonly MemberInfo[] {
    return this.view().members
  }

  liveIncarnations(): readonly IncarnationId[] {
    return this.view().incarnations
  }

  get liveCount(): number {
    return this.view().incarnations.length
  }

  isLive(incarnation: IncarnationId): boolean {
    if (incarnation === this.location.incarnation) return true
    const known = this.members.get(incarnation)
    return known !== undefined && this.isRecentlyHeard(known)
  }

  /** The last report of a member, live or not. */
  find(incarnation: IncarnationId): MemberInfo | undefined {
    if (incarnation === this.location.incarnation) return this.self
    return this.members.get(incarnation)?.info
  }

  /** The live incarnation of an instance. */
  findInstance(instanceId: InstanceId): MemberInfo | undefined {
    return this.liveMembers().find(member => member.instanceId === instanceId)
  }

  /**
   * Instances that may still run, including this one and those that are no longer live but were
   * heard from within `RETENTION_SILENCES` silence timeouts. They share the limits of the whole
   * fleet, whichever parts of the fleet can reach each other.
   */
  get recentInstances(): readonly InstanceId[] {
    const oldest = this.clock.monotonic() - RETENTION_SILENCES * this.timings.silenceMilliseconds
    const others = [...this.members.values()].filter(({ heardAt }) => heardAt >= oldest)
    return [...new Set([this.self, ...others.map(({ info }) => info)].map(info => info.instanceId))]
  }

  liveInRegion(region: RegionId): readonly MemberInfo[] {
    return this.liveMembers().filter(member => member.region === region)
  }

  /** The newest configuration revision known to be in force on any instance. */
  newestRevision(): number {
    const fromMembers = this.liveMembers().map(member => member.configurationRevision)
    const fromGroups = [...this.groups.values()].map(known => known.digest.configurationRevision)
    return Math.max(0, ...fromMembers, ...fromGroups)
  }

  /**
   * Returns the heartbeats of this round: one to each live member of the own group, and one to a
   * random live member of another group, if there is any.
   */
  planHeartbeats(): readonly PlannedHeartbeat[] {
    this.roundNumber += 1
    const others = this.liveMembers().filter(
      member => member.incarnation !== this.location.incarnation,
    )
    const ownGroup = this.ownGroup
    const inGroup = others.filter(member => this.groupOf(member) === ownGroup)
    const outsideGroup = others.filter(member => this.groupOf(member) !== ownGroup)
    const digests = this.digests()
    const inGroupDigests = this.roundNumber % DIGEST_PERIOD === 0 ? digests : []
    const planned = inGroup.map(member => ({ target: member.incarnation, digests: inGroupDigests }))
    const chosen = outsideGroup[randomBelow(this.random, outsideGroup.length)]
    if (chosen === undefined) return planned
    return [...planned, { target: chosen.incarnation, digests }]
  }

  /** Digests of all known groups, this instance's own group first. */
  digests(): readonly GroupDigest[] {
    const ownGroup = this.ownGroup
    const others = [...this.groups.values()].map(known => known.digest)
    return [this.ownDigest(ownGroup), ...others.filter(digest => digest.group !== ownGroup)]
  }

  /** Live members of a group. */
  membersOf(group: string): readonly MemberInfo[] {
    return this.liveMembers().filter(member => this.groupOf(member) === group)
  }

  /**
   * Returns the live members, cached for a short time: decisions request them often, and liveness
   * changes over seconds.
   */
  private view(): LiveView {
    const now = this.clock.monotonic()
    if (this.cached !== undefined && now - this.cached.at < VIEW_CACHE_MILLISECONDS)
      return this.cached
    const others = [...this.members.values()].filter(known => this.isRecentlyHeard(known))
    const members = [this.self, ...others.map(known => known.info)].sort(byIncarnation)
    this.cached = { at: now, members, incarnations: members.map(member => member.incarnation) }
    return this.cached
  }

  private remember(info: MemberInfo): void {
    if (!this.members.has(info.incarnation)) this.resizeRegion(info.region, 1)
    this.members.set(info.incarnation, { info, heardAt: this.clock.monotonic() })
    this.cached = undefined
  }

  private forget(incarnation: IncarnationId): void {
    const known = this.members.get(incarnation)
    if (known === undefined) return
    this.members.delete(incarnation)
    this.resizeRegion(known.info.region, -1)
    this.cached = undefined
  }

  private resizeRegion(region: RegionId, change: number): void {
    this.regionSizes.set(region, (this.regionSizes.get(region) ?? 0) + change)
  }

  private ownDigest(group: string): GroupDigest {
    const members = this.membersOf(group)
    return {
      group,
      beat: members.reduce((sum, member) => sum + member.heartbeat, 0),
      membersHash: hashOf(members),
      configurationRevision: Math.max(...members.map(member => member.configurationRevision)),
    }
  }

  /**
   * Applies a digest of another group. Returns true if its `beat` has changed and the group's live
   * members differ from those that this instance knows.
   */
  private mergeDigest(digest: GroupDigest): boolean {
    if (digest.group === this.ownGroup) return false
    const known = this.groups.get(digest.group)
    const hasChanged = known === undefined || digest.beat !== known.digest.beat
    if (hasChanged) {
      this.groups.set(digest.group, { digest, heardAt: this.clock.monotonic() })
    }
    return hasChanged && hashOf(this.membersOf(digest.group)) !== digest.membersHash
  }

  /** Whether a member is live: it, or a digest of its group, was heard of recently enough. */
  private isRecentlyHeard(known: KnownMember): boolean {
    const oldest = this.clock.monotonic() - this.timings.silenceMilliseconds
    const group = this.groups.get(this.groupOf(known.info))
    const isInOwnGroup = this.groupOf(known.info) === this.ownGroup
    if (isInOwnGroup || group === undefined) return known.heardAt >= oldest
    // Reports about other groups pass through several instances, so they may be older.
    return group.heardAt >= oldest - this.timings.silenceMilliseconds
  }

  /** Removes the other incarnations of an instance when one of its incarnations reports. */
  private forgetPredecessors(info: MemberInfo): void {
    for (const [incarnation, known] of this.members) {
      const isPredecessor =
        known.info.instanceId === info.instanceId && incarnation !== info.incarnation
      if (isPredecessor && known.heardAt < this.clock.monotonic()) this.forget(incarnation)
    }
  }

  private get ownGroup(): string {
    return this.groupOf(this.location)
  }

  private groupOf(member: MemberLocation): string {
    return this.isRegionSmall(member.region) ? member.region : member.failureDomain
  }

  private isRegionSmall(region: RegionId): boolean {
    return (this.regionSizes.get(region) ?? 0) < REGION_MESH_LIMIT
  }
}

function hashOf(members: readonly MemberInfo[]): string {
  const hash = createHash('sha1')
  for (const member of members) hash.update(`${member.incarnation}:${member.state};`)
  return hash.digest('base64').slice(0, 12)
}

function byIncarnation(left: MemberInfo, right: MemberInfo): number {
  return left.incarnation < right.incarnation ? -1 : 1
}
