/**
 * All coordination parts of one instance of the OpenAI-style kind, wired together, with their background
 * work. Owns the timers and the state of the instance's life; each part owns the rest.
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

/** Who this instance is; an instance learns it from its settings. */
export interface NodeIdentity {
  readonly instanceId: InstanceId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly peerAddress: string
  readonly callerAddress: string
  readonly operatorAddress: string
}

/** What an embedder gives. */
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
  /** Peers that must hold an entry before it counts as held. */
  readonly requiredReplicas?: number
  readonly resourceKinds: readonly string[]
  /** Requests in progress, told to peers. */
  readonly inFlight?: () => number
  /** A peer told what endpoints say of themselves. */
  readonly onAdviceNews?: (news: readonly AdviceGossip[]) => void
  /** Endpoints seen leaving here, told to peers. */
  readonly leavingEndpoints?: () => readonly string[]
  /** A peer told of requests that end endpoints. */
  readonly onCrashNews?: (news: CrashGossip) => void
  /** Learns peers' addresses from the platform's list, so that the channel can reach them. */
  readonly onInstancesListed?: (listed: readonly ListedInstance[]) => Promise<void> | void
  /** Called after each round of heartbeats. */
  readonly onHeartbeat?: () => void
  /** Called once when this incarnation was sealed and must stop. */
  readonly onSealed: () => void
  /** Told of errors that background work met; these are faults of the program. */
  readonly onFault: (error: unknown) => void
}

const DEFAULT_REQUIRED_REPLICAS = 2
const REAPERS_PER_REGION = 2
/** Time between looks at entries that wait for the table. */
const REPLICATION_PERIOD_MILLISECONDS = 50

/**
 * All coordination parts of one instance, wired together. It knows neither HTTP nor any
 * model engine: embedders give the platform and a channel to peers, and hand `handlers` to
 * whatever receives the peers' messages.
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
  private readonly peerHold: JournalReplicator
  private readonly reaper: Reaper
  private readonly timers = new Set<Timer>()
  private state: ServingState = 'starting'
  private heartbeat = 0
  private isTableAnswering = true
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
    this.peerHold = new JournalReplicator({
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
      noteCrashes: news => this.parts.onCrashNews?.(news),
      noteAdvice: news => this.parts.onAdviceNews?.(news),
      askForMembers: (target, group) => this.askForMembers(target, group),
    })
  }

  get incarnation(): IncarnationId {
    return this.parts.identity.incarnation
  }

  /** This instance as peers see it. */
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

  /** Whether new requests may begin here. */
  get isServing(): boolean {
    return this.state === 'serving' && this.registered && !this.journal.sealed
  }

  get servingState(): ServingState {
    return this.state
  }

  /** Begins the background work; serving begins once the table took the registration. */
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

  /** Takes no new requests; peers learn it with the next heartbeat, sent at once. */
  async drain(): Promise<void> {
    this.state = 'draining'
    await this.heartbeatRound()
  }

  /** Writes the rest of the journal and gives back what is left, then stops. */
  async leave(): Promise<void> {
    await this.flushAll()
    await this.ledger.returnAll()
    await this.archive.writeDue(true)
    this.stop()
  }

  /** Stops at once, as a death would. */
  stop(): void {
    this.stopped = true
    for (const timer of this.timers) timer.cancel()
    this.timers.clear()
  }

  /** Takes first allocations of budgets ahead of need. */
  warm(budgets: readonly BudgetId[]): Promise<void> {
    return this.registered ? this.ledger.preallocate(budgets) : Promise.resolve()
  }

  /** One heartbeat to everybody who is due, and the digests that came back looked into. */
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
    if (outcome === 'committed') await this.peerHold.release()
  }

  /**
   * Copies what waits too long to peers, beside the flush: waiting for the table's time
   * limit first held the end of each answer back by seconds in an outage.
   */
  private async replicationRound(): Promise<void> {
    const tolerated = this.isTableAnswering ? this.timings.holdAfterMilliseconds : 0
    if (this.journal.oldestUnreplicatedAge > tolerated) await this.peerHold.replicate()
  }

  private async flushAll(): Promise<void> {
    const attempts = 50
    for (let attempt = 0; attempt < attempts && this.journal.backlog > 0; attempt += 1) {
      const outcome = await this.journal.flush()
      if (outcome === 'sealed') return
      if (outcome === 'retry') await this.pause(this.timings.minimumFlushMilliseconds)
    }
  }

  /** All instances together stay below the writes that the platform takes. */
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

  /** Two of each region look after its dead, so that the reads do not grow with the fleet. */
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

  /** Only registered instances hold, since only those are asked when a writer is sealed. */
  private canHoldEntries(): boolean {
    return this.registered && !this.journal.sealed && !this.stopped
  }

  private async askForMembers(target: IncarnationId, group: string): Promise<void> {
    try {
      const reply = await this.parts.peers.call(target, 'members', { group })
      this.membership.replaceGroupMembers(group, reply.members)
    } catch {
      // The next digest brings the same question up again.
    }
  }

  private every(
    period: () => Milliseconds,
    run: () => Promise<void>,
    first: Milliseconds = period(),
  ): void {
    const timer = this.parts.clock.after(first, () => {
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

/** The refusal of whoever needs an instance that serves. */
export function notServingCode(state: ServingState) {
  return state === 'draining' ? ResultCode.InstanceDraining : ResultCode.InstanceNotReady
}
