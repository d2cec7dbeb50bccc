/** One node of a run: a minimal wiring of the real coordination parts to a faulty table and network. */

import type { Scheduler } from 'fast-check'
import { asId } from '@rackwalk/shared'
import type {
  Clock,
  FailureDomainId,
  IncarnationId,
  InstanceId,
  RandomSource,
  RegionId,
} from '@rackwalk/shared'
import {
  BudgetStore,
  HeldEntryStore,
  IncarnationRegistry,
  JournalReplicator,
  Reclaimer,
  CostWeightedPolicy,
} from '@rackwalk/coordination'
import type {
  Counters,
  IncarnationRecord,
  MemberInfo,
  PeerChannel,
  PeerHandlers,
  BudgetLedger,
  Claims,
  Journal,
  Sealer,
} from '@rackwalk/coordination'
import type { MemoryObjects } from '../platform/memoryObjects.js'
import type { MemoryTable } from '../platform/memoryTable.js'
import type { FaultyNetwork, NetworkNode } from './faultyPeers.js'
import { FaultyTable } from './faultyTable.js'
import type { TableFaults } from './faultyTable.js'
import type { Variant } from './variants.js'

/** The dependencies of a node. */
export interface WorldNodeParts {
  readonly number: number
  readonly table: MemoryTable
  readonly objects: MemoryObjects
  readonly network: FaultyNetwork
  readonly scheduler: Scheduler
  readonly random: RandomSource
  readonly clock: Clock
  readonly nodes: () => readonly WorldNode[]
  readonly variant: Variant
  /** Counters shared by all nodes; they show what a run covered. */
  readonly counters: Counters
}

const REGION = asId<RegionId>('region')
const REQUIRED_REPLICAS = 2
const CLAIM_TIMEOUT_MILLISECONDS = 500

/** The real coordination parts of one incarnation on a faulty table and network. */
export class WorldNode implements NetworkNode {
  readonly incarnation: IncarnationId
  readonly record: IncarnationRecord
  readonly journal: Journal
  readonly ledger: BudgetLedger
  readonly claims: Claims
  readonly registry: IncarnationRegistry
  readonly journalReplicator: JournalReplicator
  readonly sealer: Sealer
  readonly reclaimer: Reclaimer
  readonly handlers: PeerHandlers
  readonly tableFaults: TableFaults = { isCut: false, lossShare: 0 }
  isDead = false
  isSealed = false
  private readonly held = new HeldEntryStore()
  private readonly peers: PeerChannel
  private resumed: Promise<void> | undefined
  private wake: (() => void) | undefined

  constructor(private readonly parts: WorldNodeParts) {
    const { number, clock, random, variant } = parts
    this.incarnation = asId<IncarnationId>(`node-${number}`)
    this.record = {
      instanceId: asId<InstanceId>(`instance-${number}`),
      incarnation: this.incarnation,
      region: REGION,
      failureDomain: asId<FailureDomainId>(`domain-${number}`),
      peerAddress: this.incarnation,
    }
    const table = variant.table(this.createTable())
    this.peers = parts.network.channelOf(this.incarnation, () => this.gate())
    const { counters } = parts
    const archive = variant.createArchive({ objects: parts.objects, clock, counters })
    const { incarnation, peers } = this
    this.registry = new IncarnationRegistry(table, random)
    this.journal = variant.createJournal({
      incarnation,
      table,
      committer: { commit: (id, writes) => table.transact(id, writes) },
      random,
      clock,
      counters,
    })
    this.journalReplicator = new JournalReplicator({
      incarnation,
      failureDomain: this.record.failureDomain,
      journal: this.journal,
      peers,
      candidates: () => this.others().map(memberInfo),
      requiredReplicas: REQUIRED_REPLICAS,
      archive,
    })
    this.ledger = variant.createLedger({
      incarnation,
      region: REGION,
      store: new BudgetStore(table, random, counters),
      journal: this.journal,
      peers,
      clock,
      random,
      counters,
      policy: new CostWeightedPolicy({ overspend: 1, falseRefusal: 1 }),
      liveIncarnations: () => this.everyLive(),
      onSealed: () => undefined,
    })
    this.claims = variant.createClaims({
      incarnation,
      table,
      journal: this.journal,
      peers,
      clock,
      counters,
      isLive: other => this.everyLive().includes(other),
      timeoutMilliseconds: CLAIM_TIMEOUT_MILLISECONDS,
    })
    this.sealer = variant.createSealer({
      incarnation,
      table,
      registry: this.registry,
      peers,
      random,
      counters,
      isConfirmedDead: other => this.find(other)?.isDead ?? false,
      archive,
    })
    this.reclaimer = new Reclaimer(table, random, counters)
    this.handlers = this.createHandlers()
    parts.network.add(this)
  }

  /** Resolves when this node may continue; see `Gate`. */
  async gate(): Promise<void> {
    while (this.resumed !== undefined) await this.resumed
    if (this.isDead) await new Promise<never>(() => undefined)
  }

  kill(): void {
    this.isDead = true
    this.resume()
  }

  pause(): void {
    if (this.resumed !== undefined) return
    this.resumed = new Promise(resolve => {
      this.wake = resolve
    })
  }

  resume(): void {
    this.resumed = undefined
    this.wake?.()
  }

  /** Runs one round of the journal's task: writes entries, or replicates them to peers if that fails. */
  async flush(): Promise<void> {
    await this.gate()
    const outcome = await this.journal.flush()
    await this.gate()
    if (outcome === 'retry') await this.journalReplicator.replicate()
    if (outcome === 'committed') await this.journalReplicator.release()
  }

  private createTable(): FaultyTable {
    const { table, scheduler, random } = this.parts
    return new FaultyTable(table, scheduler, random, this.tableFaults, () => this.gate())
  }

  private createHandlers(): PeerHandlers {
    return {
      hold: ({ writer, items }) => ({
        held: !this.journal.sealed && this.held.hold(writer, items),
      }),
      releaseHeld: ({ writer, throughIndex }) => {
        this.held.release(writer, throughIndex)
        return {}
      },
      collectHeld: ({ writer }) => ({ items: this.held.collect(writer) }),
      lend: request => this.ledger.lend(request),
      claimState: request => this.claims.answerClaimState(request),
    }
  }

  private others(): readonly WorldNode[] {
    return this.parts.nodes().filter(node => node !== this && !node.isDead)
  }

  private everyLive(): readonly IncarnationId[] {
    return this.parts
      .nodes()
      .filter(node => !node.isDead)
      .map(node => node.incarnation)
  }

  private find(incarnation: IncarnationId): WorldNode | undefined {
    return this.parts.nodes().find(node => node.incarnation === incarnation)
  }
}

function memberInfo(node: WorldNode): MemberInfo {
  return {
    ...node.record,
    callerAddress: '',
    operatorAddress: '',
    state: 'serving',
    heartbeat: 0,
    inFlight: 0,
    configurationRevision: 0,
    leavingEndpoints: [],
  }
}
