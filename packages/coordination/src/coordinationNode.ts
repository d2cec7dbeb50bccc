/**
 * Wires together all coordination components of one instance of the OpenAI-style kind and runs
 * their background work: journal flushes, replication, heartbeats, maintenance of budgets,
 * configuration and the sealing of terminated incarnations (runs of instances' processes). Owns the
 * timers and the serving state; the components own everything else.
 */

import type { AdviceGossip, CrashGossip } from '@rackwalk/decisions'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type {
  BudgetId,
  Clock,
  FailureDomainId,
  IncarnationId,
  InstanceId,
  Milliseconds,
  RandomSource,
  RegionId,
  Timer,
} from '@rackwalk/shared'
import type { InstanceList, ListedInstance, ObjectStore, TableService } from '@rackwalk/stores'
import type { AllocationPolicy } from './budget/allocationPolicy.js'
import { BudgetLedger } from './budget/budgetLedger.js'
import { BudgetStore } from './budget/budgetStore.js'
import { Reclaimer } from './budget/reclaimer.js'
import { Claims } from './claims/claims.js'
import { KeyRegistrar, KeyRegistrarClient } from './claims/keyRegistrar.js'
import { ConfigurationFollower } from './configuration/configurationFollower.js'
import { CountingTable } from './countingTable.js'
import type { Counters } from './counters.js'
import { BatchCoalescer, DomainCommitter } from './journal/domainCommitter.js'
import { HeldEntryArchive } from './journal/heldEntryArchive.js'
import { HeldEntryStore } from './journal/heldEntryStore.js'
import { Journal } from './journal/journal.js'
import type { JournalLimits } from './journal/journal.js'
import { JournalReplicator } from './journal/journalReplicator.js'
import { IncarnationRegistry } from './membership/incarnationRegistry.js'
import type { IncarnationRecord } from './membership/incarnationRegistry.js'
import { Membership } from './membership/membership.js'
import { Reaper } from './membership/reaper.js'
import { Sealer } from './membership/sealer.js'
import { createPeerHandlers } from './peerHandlers.js'
import { DEFAULT_NODE_TIMINGS } from './nodeTimings.js'
import type { NodeTimings } from './nodeTimings.js'
import type { MemberInfo, PeerChannel, PeerHandlers, ServingState } from './peerMessages.js'
import { rendezvousOrder } from '@rackwalk/decisions'
import { DecisionArchive } from './segmentArchive.js'

/** Identity of this instance, as given by its settings. */
export interface NodeIdentity {
  readonly instanceId: InstanceId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly peerAddress: string
  readonly callerAddress: string
  readonly operatorAddress: string
}

/** Dependencies provided by the embedder. */
export interface CoordinationNodeParts {
  readonly identity: NodeIdentity
  readonly table: TableService
  readonly objects: ObjectStore
  readonly instances: InstanceList
  readonly peers: PeerChannel
  readonly clock: Clock
  readonly random: RandomSource
  readonly counters: Counters
  readonly policy: AllocationPolicy
  readonly timings?: Partial<NodeTimings>
  readonly journalLimits?: JournalLimits
  /** Number of peers that must have a journal entry before the entry counts as held. */
  readonly requiredReplicas?: number
  /** Kinds of configuration resources that are kept in memory. */
  readonly resourceKinds: readonly string[]
  /** Number of requests in progress, reported to peers. */
  readonly inFlight?: () => number
  /** Called when a peer reports the advice of endpoints. */
  readonly onAdviceGossip?: (news: readonly AdviceGossip[]) => void
  /** Endpoints that this instance knows to be leaving (about to terminate), reported to peers. */
  readonly leavingEndpoints?: () => readonly string[]
  /** Called when a peer reports requests that crash endpoints. */
  readonly onCrashGossip?: (news: CrashGossip) => void
  /**
   * Called with the platform's list of instances, so that the channel to peers learns their
   * addresses.
   */
  readonly onInstancesListed?: (listed: readonly ListedInstance[]) => Promise<void> | void
  /** Called after each heartbeat round. */
  readonly onHeartbeat?: () => void
  /** Called once when this incarnation was sealed and must stop. */
  readonly onSealed: () => void
  /** Called with unexpected errors of background work, which indicate programming errors. */
  readonly onFault: (error: unknown) => void
}

/** Default of `CoordinationNodeParts.requiredReplicas`. */
const DEFAULT_REQUIRED_REPLICAS = 2
/** Number of instances per region that seal terminated incarnations. */
const REAPERS_PER_REGION = 2
/** Time between checks for entries that wait for the table. */
const REPLICATION_PERIOD_MILLISECONDS = 50

/**
 * Wires together all coordination components of one instance. It depends neither on HTTP nor on any
 * model engine: embedders provide the platform and a channel to peers, and connect `handlers` to
 * the component that receives the peers' messages.
 */
export class CoordinationNode {
  readonly journal: Journal
  readonly ledger: BudgetLedger
  readonly claims: Claims
  readonly keys: KeyRegistrarClient
  readonly membership: Membership
  readonly configuration: ConfigurationFollower
  readonly archive: DecisionArchive
  readonly registry: IncarnationRegistry
  readonly handlers: PeerHandlers
  private readonly timings: NodeTimings
  private readonly held = new HeldEntryStore()
  private readonly replicator: JournalReplicator
  private readonly reaper: Reaper
  private readonly timers = new Set<Timer>()
  private state: ServingState = 'starting'
  private heartbeat = 0
  /** Whether the last flush that had records to write committed a batch. */
  private isTableAnswering = true
  /** Whether the registration of this incarnation is in the table. */
  private registered = false
  private stopped = false

  constructor(private readonly parts: CoordinationNodeParts) {
    const { identity, objects, peers, clock, random, counters } = parts
    const table = new CountingTable(parts.table, counters)
    const { incarnation, region, failureDomain } = identity
    this.timings = { ...DEFAULT_NODE_TIMINGS, ...parts.timings }
    this.membership = new Membership(identity, () => this.describe(), clock, random)
    this.registry = new IncarnationRegistry(table, random)
    const coalescer = new BatchCoalescer(table)
    const liveMembers = () => this.membership.liveMembers()
    const committer = new DomainCommitter({
      incarnation,
      failureDomain,
      table,
      coalescer,
      peers,
      liveMembers,
    })
    this.journal = new Journal({
      incarnation,
      table,
      committer,
      random,
      clock,
      counters,
      limits: parts.journalLimits,
    })
    const archive = new HeldEntryArchive({ objects, clock, counters })
    this.replicator = new JournalReplicator({
      archive,
      incarnation,
      failureDomain,
      journal: this.journal,
      peers,
      candidates: () => this.otherRegionMembers(),
      requiredReplicas: parts.requiredReplicas ?? DEFAULT_REQUIRED_REPLICAS,
    })
    this.ledger = new BudgetLedger({
      incarnation,
      region,
      store: new BudgetStore(table, random, counters),
      journal: this.journal,
      peers,
      clock,
      random,
      counters,
      policy: parts.policy,
      liveIncarnations: () => this.membership.liveIncarnations(),
      onSealed: () => this.stopSealed(),
    })
    const isLive = (peer: IncarnationId) => this.membership.isLive(peer)
    this.claims = new Claims({
      incarnation,
      table,
      journal: this.journal,
      peers,
      clock,
      counters,
      isLive,
      timeoutMilliseconds: this.timings.claimTimeoutMilliseconds,
    })
    const registrar = new KeyRegistrar(clock, isLive)
    this.keys = new KeyRegistrarClient(registrar, incarnation, peers, () =>
      this.membership.liveIncarnations(),
    )
    this.configuration = new ConfigurationFollower({
      table,
      peers,
      counters,
      kinds: parts.resourceKinds,
      peersToAsk: () => this.otherMembers().map(member => member.incarnation),
    })
    this.archive = new DecisionArchive(objects, clock, incarnation)
    this.reaper = new Reaper({
      incarnation,
      clock,
      registry: this.registry,
      membership: this.membership,
      reclaimer: new Reclaimer(table, random, counters),
      createSealer: isConfirmedDead =>
        new Sealer({
          archive,
          incarnation,
          table,
          registry: this.registry,
          peers,
          random,
          counters,
          isConfirmedDead,
        }),
      listLagMilliseconds: this.timings.listLagMilliseconds,
    })
    this.handlers = createPeerHandlers({
      membership: this.membership,
      ledger: this.ledger,
      claims: this.claims,
      configuration: this.configuration,
      archive: this.archive,
      held: this.held,
      registrar,
      coalescer,
      describe: () => this.describe(),
      canHoldEntries: () => this.canHoldEntries(),
      drain: () => this.drain(),
      noteCrashes: news => this.parts.onCrashGossip?.(news),
      noteAdvice: news => this.parts.onAdviceGossip?.(news),
      askForMembers: (target, group) => this.askForMembers(target, group),
    })
  }

  get incarnation(): IncarnationId {
    return this.parts.identity.incarnation
  }

  /** Describes this instance for peers. */
  describe(): MemberInfo {
    return {
      ...this.parts.identity,
      state: this.state,
      heartbeat: this.heartbeat,
      inFlight: this.parts.inFlight?.() ?? 0,
      configurationRevision: this.configuration?.revision ?? 0,
      leavingEndpoints: this.parts.leavingEndpoints?.() ?? [],
    }
  }

  /** Whether this instance accepts new requests. */
  get isServing(): boolean {
    return this.state === 'serving' && this.registered && !this.journal.sealed
  }

  get servingState(): ServingState {
    return this.state
  }

  /** Starts the background work; serving starts once the registration is in the table. */
  start(): void {
    const { heartbeatMilliseconds, maintenanceMilliseconds } = this.timings
    const { configurationMilliseconds, reapMilliseconds } = this.timings
    this.every(
      () => this.flushPeriod(),
      () => this.flushRound(),
    )
    this.every(
      () => REPLICATION_PERIOD_MILLISECONDS,
      () => this.replicationRound(),
    )
    this.every(
      () => heartbeatMilliseconds,
      () => this.heartbeatRound(),
      0,
    )
    this.every(
      () => maintenanceMilliseconds,
      () => this.maintain(),
      0,
    )
    this.every(
      () => configurationMilliseconds,
      () => this.configuration.catchUp(),
      0,
    )
    this.every(
      () => reapMilliseconds,
      () => this.reapRound(),
    )
  }

  /** Stops accepting new requests and sends a heartbeat immediately, so that peers learn of it. */
  async drain(): Promise<void> {
    this.state = 'draining'
    await this.heartbeatRound()
  }

  /**
   * Writes the remaining journal records, gives back unused tokens, writes the remaining decision
   * records, then stops. Records that are left after 50 flushes are not written.
   */
  async leave(): Promise<void> {
    await this.flushAll()
    await this.ledger.returnAll()
    await this.archive.writeDue(true)
    this.stop()
  }

  /** Stops immediately, as a crash would. */
  stop(): void {
    this.stopped = true
    for (const timer of this.timers) timer.cancel()
    this.timers.clear()
  }

  /** Requests first allocations of budgets in advance; does nothing before the registration. */
  warm(budgets: readonly BudgetId[]): Promise<void> {
    return this.registered ? this.ledger.preallocate(budgets) : Promise.resolve()
  }

  /**
   * Sends the heartbeats of one round; if a peer has reported a newer configuration revision, then
   * catches up with the configuration.
   */
  async heartbeatRound(): Promise<void> {
    this.heartbeat += 1
    const sender = this.describe()
    const calls = this.membership.planHeartbeats().map(async ({ target, digests }) => {
      try {
        const reply = await this.parts.peers.call(target, 'heartbeat', { sender, digests })
        this.membership.mergeMember(reply.receiver)
        this.parts.counters.increment('heartbeats_sent')
      } catch {
        this.parts.counters.increment('heartbeats_failed')
      }
    })
    await Promise.all(calls)
    this.parts.onHeartbeat?.()
    if (this.membership.newestRevision() > this.configuration.revision) {
      await this.configuration.catchUp()
    }
  }

  private async flushRound(): Promise<void> {
    const outcome = await this.journal.flush()
    if (outcome === 'sealed') return this.stopSealed()
    if (outcome !== 'idle') this.isTableAnswering = outcome === 'committed'
    if (outcome === 'committed') await this.replicator.release()
  }

  /**
   * Copies entries that have waited too long to peers, concurrently with a flush in progress. If
   * the copies waited for that flush, which fails only after the table's timeout in an outage, the
   * end of each answer would be delayed by seconds.
   */
  private async replicationRound(): Promise<void> {
    const tolerated = this.isTableAnswering ? this.timings.holdAfterMilliseconds : 0
    if (this.journal.oldestUnreplicatedAge > tolerated) await this.replicator.replicate()
  }

  private async flushAll(): Promise<void> {
    const attempts = 50
    for (let attempt = 0; attempt < attempts && this.journal.backlog > 0; attempt += 1) {
      const outcome = await this.journal.flush()
      if (outcome === 'sealed') return
      if (outcome === 'retry') await this.pause(this.timings.minimumFlushMilliseconds)
    }
  }

  /**
   * Returns the time between two flushes, which grows with the number of live instances so that
   * they all together stay within the write rate of the fleet.
   */
  private flushPeriod(): Milliseconds {
    const instances = this.membership.liveCount
    const fairShare = (instances * 1000) / this.timings.fleetJournalWritesPerSecond
    return Math.max(this.timings.minimumFlushMilliseconds, fairShare)
  }

  private async maintain(): Promise<void> {
    if (!this.registered) await this.tryRegister()
    if (this.registered && this.state !== 'draining') await this.ledger.maintain()
    await this.archive.writeDue()
  }

  private async tryRegister(): Promise<void> {
    const { instanceId, incarnation, region, failureDomain, peerAddress } = this.parts.identity
    const record: IncarnationRecord = {
      instanceId,
      incarnation,
      region,
      failureDomain,
      peerAddress,
    }
    try {
      const beingSealed = await this.registry.register(record)
      for (const writer of beingSealed) this.held.refuse(writer)
      this.registered = true
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      return
    }
    if (this.state === 'starting') this.state = 'serving'
  }

  private async reapRound(): Promise<void> {
    try {
      const listed = await this.parts.instances.list()
      await this.parts.onInstancesListed?.(listed)
      if (this.registered && this.isReaper()) await this.reaper.reapOnce(listed)
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  /**
   * Whether this instance seals terminated incarnations. Two instances per region do, so that the
   * number of reads does not grow with the fleet.
   */
  private isReaper(): boolean {
    const region = this.membership.liveInRegion(this.parts.identity.region)
    const order = rendezvousOrder(
      'reaper',
      region.map(member => member.incarnation),
    )
    return order.slice(0, REAPERS_PER_REGION).includes(this.parts.identity.incarnation)
  }

  private stopSealed(): void {
    if (this.stopped) return
    this.journal.markSealed()
    this.stop()
    this.parts.onSealed()
  }

  private otherMembers(): readonly MemberInfo[] {
    const { incarnation } = this.parts.identity
    return this.membership.liveMembers().filter(member => member.incarnation !== incarnation)
  }

  private otherRegionMembers(): readonly MemberInfo[] {
    return this.otherMembers().filter(member => member.region === this.parts.identity.region)
  }

  /**
   * Whether this instance may hold entries. Only registered instances may, since only those are
   * asked when a writer is sealed.
   */
  private canHoldEntries(): boolean {
    return this.registered && !this.journal.sealed && !this.stopped
  }

  private async askForMembers(target: IncarnationId, group: string): Promise<void> {
    try {
      const reply = await this.parts.peers.call(target, 'members', { group })
      this.membership.replaceGroupMembers(group, reply.members)
    } catch {
      // The next digest of the group leads to the same request again.
    }
  }

  private every(
    period: () => Milliseconds,
    run: () => Promise<void>,
    initialDelay: Milliseconds = period(),
  ): void {
    const timer = this.parts.clock.after(initialDelay, () => {
      this.timers.delete(timer)
      run()
        .catch(error => this.parts.onFault(error))
        .finally(() => {
          if (!this.stopped) this.every(period, run)
        })
    })
    this.timers.add(timer)
  }

  private pause(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => this.parts.clock.after(duration, resolve))
  }
}

/** Returns the result code for a request that needs a serving instance. */
export function notServingCode(state: ServingState) {
  return state === 'draining' ? ResultCode.InstanceDraining : ResultCode.InstanceNotReady
}
