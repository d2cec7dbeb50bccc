/**
 * A large fleet on virtual time: the product's own membership, choice of active instances and prepaid
 * ledger on each instance, one store, and callers who ask any instance for addresses. It measures who
 * takes part in what, and what that costs the store.
 */

import { ActiveFleet } from '@rackwalk/daemon'
import {
  DemandHoldingPolicy,
  DemandMeter,
  MEMBER_PARTITION,
  MEMBER_TABLE,
  MemberDirectory,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  TableMirror,
} from '@rackwalk/coordination'
import type { PrepaidLimit } from '@rackwalk/coordination'
import { PeerLoads, USING_MILLISECONDS } from '@rackwalk/router'
import { SeededRandom, VirtualClock, randomBelow } from '@rackwalk/shared'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import { MemoryRowStore } from '../platform/memoryRowStore.js'
import type { RowStoreFaults } from '../platform/memoryRowStore.js'

/** A fleet and what comes to it. */
export interface FleetShape {
  readonly instances: number
  readonly failureDomains: number
  readonly budgets: number
  /** Tokens of each budget. */
  readonly limit: TokenCount
  /** Requests with a budget a second, of all callers together. */
  readonly requestsPerSecond: number
  /** Plain requests and checks a second that come to each instance, whether it is active or not. */
  readonly anywherePerSecond: number
  /** Requests a second of one team whose callers all stay with the last instance. */
  readonly stayingPerSecond: number
}

/** What became of requests with a budget. */
export interface FleetOutcome {
  asked: number
  served: number
}

/** What one life of an instance works with. */
interface Life {
  readonly index: number
  readonly name: string
  readonly incarnation: string
  readonly store: RowStore
  readonly faults: RowStoreFaults
  readonly storeClock: StoreClock
  readonly requestRate: DemandMeter
  readonly peers: PeerLoads
}

interface Member extends Life {
  readonly members: MemberDirectory
  readonly fleet: ActiveFleet
  readonly ledger: PrepaidLedger
  readonly mirrors: readonly TableMirror[]
  isAlive: boolean
  signs: number
  usedAt: Milliseconds
}

const REQUEST_TOKENS: TokenCount = 3_000
const REQUEST_MILLISECONDS = 300
const PATIENCE_MILLISECONDS = 100
/** Callers keep the answer of a directory for so long. */
const ADDRESS_MILLISECONDS = 1_000
/** Signs of life go round this often in a fleet of this size, as bytes are bounded: 80 each, 5,000 a second. */
const signMilliseconds = (instances: number) => Math.max(250, (instances * 80 * 1_000) / 5_000)
const MISSING_SIGNS = 4
/** What an instance tells of its work reaches the others after some of this time. */
const REPORT_MILLISECONDS = 230
const MEMBER_PAUSE_MILLISECONDS = 700
const STANDBY_MEMBER_PAUSE_MILLISECONDS = 1_400
const PREPAID_PAUSE_MILLISECONDS = 400
/** Processes of a fleet that lost power start within this time of each other. */
const START_SPREAD_MILLISECONDS = 300
const REGION = 'region'

/** One fleet; the same seed gives the same run. */
export class FleetReplay {
  readonly clock = new VirtualClock()
  /** Calls to the store since the last reset. */
  storeCalls = 0
  private readonly random: SeededRandom
  private readonly store = new MemoryRowStore(this.clock)
  private members: Member[] = []
  private starts = 0
  private outcome: FleetOutcome = { asked: 0, served: 0 }
  private addresses: readonly string[] = []

  constructor(
    private readonly shape: FleetShape,
    seed: number,
  ) {
    this.random = new SeededRandom(seed)
    this.members = Array.from({ length: shape.instances }, (_, index) => this.start(index))
  }

  /** Callers ask for so long; what became of their requests. */
  async run(milliseconds: Milliseconds): Promise<FleetOutcome> {
    this.outcome = { asked: 0, served: 0 }
    this.storeCalls = 0
    const end = this.clock.monotonic() + milliseconds
    this.repeat(
      this.shape.requestsPerSecond,
      end,
      () => void this.ask(this.callerTarget(), this.budget()),
    )
    this.repeat(
      this.shape.stayingPerSecond,
      end,
      () => void this.ask(this.members.at(-1), STAYING_BUDGET),
    )
    this.repeat(this.shape.anywherePerSecond * this.shape.instances, end, () => this.askAnywhere())
    this.refreshAddresses(end)
    await this.clock.advance(milliseconds)
    return this.outcome
  }

  /** All instances lose power at once and start again after `dark`, their processes within a moment. */
  async loseAll(dark: Milliseconds): Promise<void> {
    for (const member of this.members) this.kill(member)
    await this.clock.advance(dark)
    const starting = this.members.map((_, index) => index)
    for (const index of starting) {
      const delay = this.random.next() * START_SPREAD_MILLISECONDS
      this.clock.after(delay, () => (this.members[index] = this.start(index)))
    }
    await this.clock.advance(START_SPREAD_MILLISECONDS)
  }

  /** Instances that take themselves for active. */
  get active(): readonly string[] {
    return this.members.filter(({ fleet }) => fleet.isSelfActive).map(({ name }) => name)
  }

  /** Every address that any instance names to callers. */
  get named(): ReadonlySet<string> {
    return new Set(this.members.flatMap(({ fleet }) => fleet.addresses(REGION)))
  }

  /** The most instances that an active one divides a budget by. */
  get mostSharers(): number {
    const active = this.members.filter(({ fleet }) => fleet.isSelfActive)
    const sharers = active.flatMap(({ ledger }) =>
      ledger.budgets.map(budget => Number(ledger.describe(budget)['sharers'])),
    )
    return Math.max(0, ...sharers)
  }

  /** The longest time between two records of a holding on an active instance. */
  get recordMilliseconds(): Milliseconds {
    const active = this.members.filter(({ fleet }) => fleet.isSelfActive)
    return Math.max(0, ...active.map(({ ledger }) => ledger.recordMilliseconds()))
  }

  private get silenceMilliseconds(): Milliseconds {
    return MISSING_SIGNS * signMilliseconds(this.shape.instances)
  }

  private repeat(perSecond: number, end: Milliseconds, act: () => void): void {
    if (perSecond <= 0) return
    this.clock.after(1_000 / perSecond, () => {
      if (this.clock.monotonic() >= end) return
      act()
      this.repeat(perSecond, end, act)
    })
  }

  private refreshAddresses(end: Milliseconds): void {
    const asked = this.members[randomBelow(this.random, this.members.length)]
    const named = asked?.isAlive === true ? asked.fleet.addresses(REGION) : []
    if (named.length > 0) this.addresses = named
    this.clock.after(ADDRESS_MILLISECONDS / 10, () => {
      if (this.clock.monotonic() < end) this.refreshAddresses(end)
    })
  }

  private callerTarget(): Member | undefined {
    const address = this.addresses[randomBelow(this.random, this.addresses.length)]
    return this.members.find(({ name }) => `${name}:80` === address)
  }

  private budget(): string {
    return `team-${randomBelow(this.random, this.shape.budgets)}`
  }

  private askAnywhere(): void {
    this.members[randomBelow(this.random, this.members.length)]?.requestRate.add(1)
  }

  private async ask(member: Member | undefined, budget: string): Promise<void> {
    this.outcome.asked += 1
    if (member?.isAlive !== true) return
    member.requestRate.add(1)
    member.usedAt = this.clock.monotonic()
    const outcome = await member.ledger.reserve(budget, REQUEST_TOKENS, PATIENCE_MILLISECONDS)
    if (outcome.kind !== 'reserved' || !member.isAlive) return
    this.outcome.served += 1
    this.clock.after(REQUEST_MILLISECONDS, () => {
      if (member.isAlive) member.ledger.settle(outcome.reservation, REQUEST_TOKENS)
    })
  }

  private kill(member: Member): void {
    member.isAlive = false
    member.faults.isCut = true
    member.ledger.stop()
    member.members.stop()
    for (const mirror of member.mirrors) mirror.stop()
  }

  private start(index: number): Member {
    this.starts += 1
    const { clock } = this
    const life: Life = {
      index,
      name: `instance-${index}`,
      incarnation: `start-${this.starts}`,
      ...this.connect(),
      storeClock: new StoreClock(clock),
      requestRate: new DemandMeter(clock),
      peers: new PeerLoads(clock),
    }
    const members = this.directoryOf(life, () => fleet.isSelfActive)
    const isSelfUsing = () => clock.monotonic() - member.usedAt < USING_MILLISECONDS
    const fleet: ActiveFleet = this.fleetOf(life, members, isSelfUsing)
    const ledger = this.ledgerOf(life, fleet)
    const member: Member = {
      ...life,
      members,
      fleet,
      ledger,
      isAlive: true,
      signs: 0,
      usedAt: Number.NEGATIVE_INFINITY,
      mirrors: [
        this.memberMirror(life.store, members, fleet),
        this.prepaidMirror(life.store, ledger, fleet),
      ],
    }
    for (const mirror of member.mirrors) mirror.start()
    members.start()
    ledger.start()
    this.scheduleSigns(member)
    return member
  }

  private connect(): Pick<Life, 'store' | 'faults'> {
    const { store, faults } = this.store.connect()
    return { store: this.counting(store), faults }
  }

  private directoryOf(life: Life, isActive: () => boolean): MemberDirectory {
    const { index, name, incarnation, store, storeClock, requestRate } = life
    return new MemberDirectory({
      self: {
        instance: name,
        incarnation,
        region: REGION,
        failureDomain: `domain-${index % this.shape.failureDomains}`,
        callerAddress: `${name}:80`,
        peerAddress: '',
        loadAddress: `${name}:90`,
        capacity: index % 3 === 0 ? 200 : 50,
      },
      requestsPerSecond: () => requestRate.perSecond,
      isActive,
      store,
      storeClock,
      clock: this.clock,
      random: this.random,
      heartbeatMilliseconds: 1_000,
      silenceMilliseconds: 3_500,
      partitionWritesPerSecond: 150,
      onStateChange: () => {},
      onMalformedRow: () => {},
    })
  }

  private fleetOf(
    { peers }: Life,
    members: MemberDirectory,
    hasOwnEndpointLoad: () => boolean,
  ): ActiveFleet {
    return new ActiveFleet({
      isServing: () => members.isInitialized,
      self: () => members.self,
      others: () => members.others,
      hasRecentHeartbeat: ({ instance }) => peers.hears(instance),
      silenceMilliseconds: () => this.silenceMilliseconds,
      hasEndpointLoad: ({ instance }) => peers.isUsing(instance),
      isCutOff: () => false,
      hasOwnEndpointLoad,
      clock: this.clock,
      bounds: { minimumInDomain: 2, headroom: 2 },
      onChange: () => {},
    })
  }

  private ledgerOf(life: Life, fleet: ActiveFleet): PrepaidLedger {
    const { name, incarnation, store, storeClock } = life
    const ledger = new PrepaidLedger({
      instance: name,
      incarnation,
      store,
      storeClock,
      clock: this.clock,
      startedAt: this.clock.monotonic(),
      policy: new DemandHoldingPolicy(),
      isActive: () => fleet.isSelfSettled,
      otherInstances: () => fleet.activeOthers.map(({ instance }) => instance),
      limits: { writesPerSecond: 3_200, partitionWritesPerSecond: 150, reserveShare: 0 },
      onEvent: () => {},
      onMalformedRow: () => {},
    })
    ledger.configure(this.limits(), 1)
    return ledger
  }

  private limits(): readonly PrepaidLimit[] {
    const { budgets, limit } = this.shape
    const names = Array.from({ length: budgets }, (_, index) => `team-${index}`)
    return [...names, STAYING_BUDGET].map(budget => ({ budget, limit }))
  }

  private memberMirror(store: RowStore, members: MemberDirectory, fleet: ActiveFleet): TableMirror {
    return new TableMirror({
      store,
      table: MEMBER_TABLE,
      partitions: () => [MEMBER_PARTITION],
      clock: this.clock,
      listener: {
        onRows: (rows, isWhole) => members.observe(rows, isWhole),
        onRead: () => members.noteRead(),
      },
      waitMilliseconds: 0,
      pauseMilliseconds: () =>
        fleet.isSelfActive ? MEMBER_PAUSE_MILLISECONDS : STANDBY_MEMBER_PAUSE_MILLISECONDS,
    })
  }

  private prepaidMirror(store: RowStore, ledger: PrepaidLedger, fleet: ActiveFleet): TableMirror {
    return new TableMirror({
      store,
      table: PREPAID_TABLE,
      partitions: () => ledger.budgets,
      clock: this.clock,
      listener: { onRows: (rows, isWhole) => ledger.observe(rows, isWhole) },
      waitMilliseconds: 0,
      pauseMilliseconds: () => PREPAID_PAUSE_MILLISECONDS,
      isWanted: () => fleet.isSelfActive,
    })
  }

  /** Users tell of their work soon, the others of no more than that they live. */
  private scheduleSigns(member: Member): void {
    const { incarnation } = member
    const interval = signMilliseconds(this.shape.instances)
    const isUsing = () => this.clock.monotonic() - member.usedAt < 500
    const tell = () => {
      if (!member.isAlive) return
      member.signs += 1
      const loads = isUsing()
        ? [{ endpoint: 'engine', running: 0, pendingTokens: 0, parts: [] }]
        : []
      const report = {
        instance: member.name,
        incarnation,
        sequence: member.signs,
        isWhole: false,
        loads,
      }
      for (const other of this.members) if (other !== member) other.peers.observe(report)
      member.peers.expire(this.silenceMilliseconds)
      this.clock.after(isUsing() ? REPORT_MILLISECONDS : interval, tell)
    }
    this.clock.after(this.random.next() * interval, tell)
  }

  private counting(store: RowStore): RowStore {
    const count = <Answer>(answer: Answer): Answer => {
      this.storeCalls += 1
      return answer
    }
    return {
      readPartition: (table, partition) => count(store.readPartition(table, partition)),
      readChanges: (table, after, wait) => count(store.readChanges(table, after, wait)),
      write: transaction => count(store.write(transaction)),
      close: () => store.close(),
    }
  }
}

/** The budget of the team whose callers stay with one instance. */
const STAYING_BUDGET = 'team-staying'
