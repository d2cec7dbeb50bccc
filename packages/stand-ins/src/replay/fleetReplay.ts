/**
 * Replays a large fleet on virtual time. Each instance runs the product's own membership, choice of active
 * instances and prepaid ledger on one shared store, and callers get addresses from any instance. The replay
 * measures which instances are active and share budgets, and how many store calls that takes.
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

/** The size of a fleet and its load. */
export interface FleetShape {
  readonly instances: number
  readonly failureDomains: number
  readonly budgets: number
  /** Tokens of each budget. */
  readonly limit: TokenCount
  /** Requests with a budget per second, of all callers together. */
  readonly requestsPerSecond: number
  /** Plain requests and probes per second that arrive at each instance, active or not. */
  readonly anywherePerSecond: number
  /** Requests per second of one team whose callers all stay with the last instance. */
  readonly stayingPerSecond: number
}

/** Numbers of requests with a budget that were sent and served. */
export interface FleetOutcome {
  asked: number
  served: number
}

/** The parts of one incarnation of an instance. */
interface IncarnationParts {
  readonly index: number
  readonly name: string
  readonly incarnation: string
  readonly store: RowStore
  readonly faults: RowStoreFaults
  readonly storeClock: StoreClock
  readonly requestRate: DemandMeter
  readonly peers: PeerLoads
}

interface Member extends IncarnationParts {
  readonly members: MemberDirectory
  readonly fleet: ActiveFleet
  readonly ledger: PrepaidLedger
  readonly mirrors: readonly TableMirror[]
  isAlive: boolean
  sequence: number
  usedAt: Milliseconds
}

const REQUEST_TOKENS: TokenCount = 3_000
const REQUEST_MILLISECONDS = 300
const RESERVE_TIMEOUT_MILLISECONDS = 100
/** Time for which callers cache the addresses that an instance gave them. */
const ADDRESS_CACHE_MILLISECONDS = 1_000
/**
 * Returns the time between two heartbeats of an instance. It grows with the fleet, because heartbeats of 80
 * bytes each are limited to 5,000 bytes per second.
 */
const heartbeatMilliseconds = (instances: number) => Math.max(250, (instances * 80 * 1_000) / 5_000)
const MISSED_HEARTBEATS = 4
/** Time between two load reports of an instance that uses endpoints. */
const REPORT_MILLISECONDS = 230
const MEMBER_PAUSE_MILLISECONDS = 700
const STANDBY_MEMBER_PAUSE_MILLISECONDS = 1_400
const PREPAID_PAUSE_MILLISECONDS = 400
/** Time within which all processes of a fleet start after a power failure. */
const START_SPREAD_MILLISECONDS = 300
const REGION = 'region'

/** A replayed fleet. The same seed gives the same run. */
export class FleetReplay {
  readonly clock = new VirtualClock()
  /** Number of calls to the store since the last `run` began. */
  storeCalls = 0
  private readonly random: SeededRandom
  /** Draws which instances a directory answer names, so that the other draws do not depend on them. */
  private readonly answerRandom: SeededRandom
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
    this.answerRandom = new SeededRandom(seed + 1)
    this.members = Array.from({ length: shape.instances }, (_, index) => this.start(index))
  }

  /** Sends requests for the given time. Returns how many requests with a budget were sent and served. */
  async run(milliseconds: Milliseconds): Promise<FleetOutcome> {
    this.outcome = { asked: 0, served: 0 }
    this.storeCalls = 0
    const end = this.clock.monotonic() + milliseconds
    this.repeat(
      this.shape.requestsPerSecond,
      end,
      () => void this.sendRequest(this.callerTarget(), this.budget()),
    )
    this.repeat(
      this.shape.stayingPerSecond,
      end,
      () => void this.sendRequest(this.members.at(-1), STAYING_BUDGET),
    )
    this.repeat(this.shape.anywherePerSecond * this.shape.instances, end, () => this.sendAnywhere())
    this.refreshAddresses(end)
    await this.clock.advance(milliseconds)
    return this.outcome
  }

  /** Kills all instances at the same time and restarts them after the downtime, with a small random spread. */
  async loseAll(downtime: Milliseconds): Promise<void> {
    for (const member of this.members) this.kill(member)
    await this.clock.advance(downtime)
    const starting = this.members.map((_, index) => index)
    for (const index of starting) {
      const delay = this.random.next() * START_SPREAD_MILLISECONDS
      this.clock.after(delay, () => (this.members[index] = this.start(index)))
    }
    await this.clock.advance(START_SPREAD_MILLISECONDS)
  }

  /** Instances that consider themselves active. */
  get active(): readonly string[] {
    return this.members.filter(({ fleet }) => fleet.isSelfActive).map(({ name }) => name)
  }

  /** All addresses that any instance announces to callers. */
  get announcedAddresses(): ReadonlySet<string> {
    return new Set(this.members.flatMap(({ fleet }) => fleet.addresses(REGION)))
  }

  /** The highest number of instances by which an active one divides a budget. */
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
    return MISSED_HEARTBEATS * heartbeatMilliseconds(this.shape.instances)
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
    this.clock.after(ADDRESS_CACHE_MILLISECONDS / 10, () => {
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

  private sendAnywhere(): void {
    this.members[randomBelow(this.random, this.members.length)]?.requestRate.add(1)
  }

  private async sendRequest(member: Member | undefined, budget: string): Promise<void> {
    this.outcome.asked += 1
    if (member?.isAlive !== true) return
    member.requestRate.add(1)
    member.usedAt = this.clock.monotonic()
    const outcome = await member.ledger.reserve(
      budget,
      REQUEST_TOKENS,
      RESERVE_TIMEOUT_MILLISECONDS,
    )
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
    const parts: IncarnationParts = {
      index,
      name: `instance-${index}`,
      incarnation: `start-${this.starts}`,
      ...this.connect(),
      storeClock: new StoreClock(clock),
      requestRate: new DemandMeter(clock),
      peers: new PeerLoads(clock),
    }
    const members = this.directoryOf(parts, () => fleet.isSelfActive)
    const isSelfUsing = () => clock.monotonic() - member.usedAt < USING_MILLISECONDS
    const fleet: ActiveFleet = this.fleetOf(parts, members, isSelfUsing)
    const ledger = this.ledgerOf(parts, fleet)
    const member: Member = {
      ...parts,
      members,
      fleet,
      ledger,
      isAlive: true,
      sequence: 0,
      usedAt: Number.NEGATIVE_INFINITY,
      mirrors: [
        this.memberMirror(parts.store, members, fleet),
        this.prepaidMirror(parts.store, ledger, fleet),
      ],
    }
    for (const mirror of member.mirrors) mirror.start()
    members.start()
    ledger.start()
    this.scheduleGossip(member)
    return member
  }

  private connect(): Pick<IncarnationParts, 'store' | 'faults'> {
    const { store, faults } = this.store.connect()
    return { store: this.countCalls(store), faults }
  }

  private directoryOf(parts: IncarnationParts, isActive: () => boolean): MemberDirectory {
    const { index, name, incarnation, store, storeClock, requestRate } = parts
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
    { peers }: IncarnationParts,
    members: MemberDirectory,
    hasOwnEndpointLoad: () => boolean,
  ): ActiveFleet {
    return new ActiveFleet({
      isServing: () => members.isInitialized,
      self: () => members.self,
      others: () => members.others,
      disconnectedOthers: () =>
        members.unrenewedOthers.filter(({ instance }) => peers.hasRecentReport(instance)),
      hasRecentHeartbeat: ({ instance }) => peers.hasRecentReport(instance),
      silenceMilliseconds: () => this.silenceMilliseconds,
      hasEndpointLoad: ({ instance }) => peers.isUsing(instance),
      isCutOff: () => false,
      hasOwnEndpointLoad,
      clock: this.clock,
      random: this.answerRandom,
      bounds: { minimumInDomain: 2, headroom: 2 },
      onChange: () => {},
    })
  }

  private ledgerOf(parts: IncarnationParts, fleet: ActiveFleet): PrepaidLedger {
    const { name, incarnation, store, storeClock } = parts
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

  /** Schedules gossip: frequent load reports if the instance uses endpoints, else empty ones as heartbeats. */
  private scheduleGossip(member: Member): void {
    const { incarnation } = member
    const interval = heartbeatMilliseconds(this.shape.instances)
    const isUsing = () => this.clock.monotonic() - member.usedAt < 500
    const sendReport = () => {
      if (!member.isAlive) return
      member.sequence += 1
      const loads = isUsing()
        ? [{ endpoint: 'engine', running: 0, pendingTokens: 0, parts: [] }]
        : []
      const report = {
        instance: member.name,
        incarnation,
        sequence: member.sequence,
        isWhole: false,
        loads,
      }
      for (const other of this.members) if (other !== member) other.peers.observe(report)
      member.peers.expire(this.silenceMilliseconds)
      this.clock.after(isUsing() ? REPORT_MILLISECONDS : interval, sendReport)
    }
    this.clock.after(this.random.next() * interval, sendReport)
  }

  private countCalls(store: RowStore): RowStore {
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

/** The budget of the team whose callers all stay with one instance. */
const STAYING_BUDGET = 'team-staying'
