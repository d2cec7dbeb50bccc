/**
 * Drives the real coordination nodes with a demand on prepaid budgets, on virtual time, and counts false
 * refusals, overspending and calls to the table.
 */

import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  RegionId,
  RequestId,
  TeamId,
  TransactionId,
} from '@rackwalk/shared'
import type { JsonValue, ListedInstance } from '@rackwalk/stores'
import {
  CoordinationNode,
  MemoryCounters,
  createBudgetRow,
  tableKeys,
} from '@rackwalk/coordination'
import type { AllocationPolicy, Reservation } from '@rackwalk/coordination'
import {
  LaggingList,
  MemoryObjects,
  MemoryTable,
  SimulatedNetwork,
  SimulatedTable,
} from '@rackwalk/stand-ins'
import {
  FAILURE_DOMAINS,
  INSTANCES,
  REQUESTS_PER_SECOND,
  TEAMS,
  drawRequest,
  meanCost,
  teamShare,
} from './demand.js'
import type { SimulatedRequest } from './demand.js'
import type { Scenario } from './scenario.js'

/** What one run showed. */
export interface BudgetOutcome {
  /** Refused for the budget though a single ledger would have had the tokens. */
  readonly falseRefusals: number
  readonly overspentTokens: number
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

interface Books {
  readonly budgetId: BudgetId
  readonly limit: number
  spent: number
  reserved: number
}

interface Member {
  readonly node: CoordinationNode
  readonly listed: ListedInstance
  readonly slot: number
  readonly open: Map<Books, number>
  isDead: boolean
}

const LIST_LAG_MILLISECONDS = 10_000
const REPLACEMENT_MILLISECONDS = 5_000
const WARM_UP_MILLISECONDS = 5_000
const REGION = asId<RegionId>('region-a')

/** Drives the real coordination nodes with one user's demand, on virtual time. */
export class BudgetSimulation {
  private readonly clock = new VirtualClock()
  private readonly table = new MemoryTable()
  private readonly counters = new MemoryCounters()
  private readonly random: SeededRandom
  private readonly network: SimulatedNetwork
  private readonly list: LaggingList
  private readonly books: Books[]
  private members: Member[] = []
  private incarnations = 0
  private requestCount = 0
  private falseRefusals = 0

  constructor(
    private readonly scenario: Scenario,
    private readonly createPolicy: () => AllocationPolicy,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed)
    this.network = new SimulatedNetwork(this.clock)
    this.list = new LaggingList(this.clock, LIST_LAG_MILLISECONDS)
    this.books = Array.from({ length: TEAMS }, (_, team) => this.createBooks(team))
  }

  async run(): Promise<BudgetOutcome> {
    for (const books of this.books) await this.createRow(books)
    for (let slot = 0; slot < INSTANCES; slot += 1) this.startMember(slot)
    await this.clock.advance(WARM_UP_MILLISECONDS)
    const writesBefore = this.table.writes
    const readsBefore = this.table.reads
    this.scheduleArrival()
    if (this.scenario.deathEveryMilliseconds !== undefined) this.scheduleDeath()
    await this.clock.advance(this.scenario.milliseconds)
    const seconds = this.scenario.milliseconds / 1000
    return {
      falseRefusals: this.falseRefusals,
      overspentTokens: this.books.reduce((sum, b) => sum + Math.max(0, b.spent - b.limit), 0),
      writesPerSecond: (this.table.writes - writesBefore) / seconds,
      readsPerSecond: (this.table.reads - readsBefore) / seconds,
    }
  }

  private get isTableLost(): boolean {
    const { tableLostAtMilliseconds = Number.POSITIVE_INFINITY } = this.scenario
    return this.clock.monotonic() - WARM_UP_MILLISECONDS >= tableLostAtMilliseconds
  }

  private createBooks(team: number): Books {
    const seconds = this.scenario.milliseconds / 1000
    const demand = REQUESTS_PER_SECOND * seconds * meanCost() * teamShare(team)
    // Between nine tenths and eleven tenths of the demand, so that about half come to an end.
    const limit = Math.round(demand * (0.9 + (0.2 * team) / TEAMS))
    const budgetId = asId<BudgetId>(`budget-${team}`)
    return { budgetId, limit, spent: 0, reserved: 0 }
  }

  private async createRow({ budgetId, limit }: Books): Promise<void> {
    const row = createBudgetRow(budgetId, asId<TeamId>(budgetId), limit)
    await this.table.transact(asId<TransactionId>(`create ${budgetId}`), [
      {
        kind: 'put',
        key: tableKeys.budgetKey(budgetId),
        condition: { kind: 'absent' },
        value: row as unknown as JsonValue,
      },
    ])
  }

  private startMember(slot: number): void {
    this.incarnations += 1
    const incarnation = asId<IncarnationId>(`incarnation-${this.incarnations}`)
    const instanceId = asId<InstanceId>(`instance-${slot}`)
    const node = new CoordinationNode({
      identity: {
        instanceId,
        incarnation,
        region: REGION,
        failureDomain: asId<FailureDomainId>(`domain-${slot % FAILURE_DOMAINS}`),
        peerAddress: incarnation,
        callerAddress: incarnation,
        operatorAddress: incarnation,
      },
      table: new SimulatedTable(this.table, this.clock, () => this.isTableLost),
      objects: new MemoryObjects(),
      instances: this.list,
      peers: this.network.channelOf(incarnation),
      clock: this.clock,
      random: new SeededRandom(this.seed * 1_000 + this.incarnations),
      counters: this.counters,
      policy: this.createPolicy(),
      resourceKinds: [],
      timings: {
        listLagMilliseconds: LIST_LAG_MILLISECONDS,
      },
      onSealed: () => undefined,
      onFault: error => {
        throw error
      },
    })
    const listed: ListedInstance = { instanceId, peerAddress: incarnation, state: 'live' }
    const member: Member = { node, listed, slot, open: new Map(), isDead: false }
    this.network.join(incarnation, node.handlers)
    this.list.add(listed)
    // Found by the platform's list in a fleet; here everybody is introduced at once.
    for (const other of this.members) {
      other.node.membership.mergeMember(node.describe())
      node.membership.mergeMember(other.node.describe())
    }
    this.members.push(member)
    node.start()
    this.clock.after(WARM_UP_MILLISECONDS / 2, () => {
      void node.warm(this.books.map(({ budgetId }) => budgetId))
    })
  }

  private scheduleArrival(): void {
    const mean = 1000 / REQUESTS_PER_SECOND
    const delay = -Math.log(1 - this.random.next()) * mean
    this.clock.after(delay, () => {
      const request = drawRequest(this.random)
      const member = this.members[Math.floor(this.random.next() * this.members.length)]
      if (member !== undefined) void this.serve(member, request)
      this.scheduleArrival()
    })
  }

  private async serve(member: Member, request: SimulatedRequest): Promise<void> {
    const books = this.books[request.team] as Books
    if (!member.node.isServing || !member.node.journal.hasRoom) return
    const result = await member.node.ledger.reserve(books.budgetId, request.bound)
    if (member.isDead) return
    if (result.kind === 'refused') return this.noteRefusal(books, request)
    this.hold(member, books, request.bound)
    this.clock.after(request.milliseconds, () => {
      if (!member.isDead) this.settle(member, books, result.reservation, request)
    })
  }

  private settle(
    member: Member,
    books: Books,
    reservation: Reservation,
    request: SimulatedRequest,
  ): void {
    this.hold(member, books, -request.bound)
    this.requestCount += 1
    const name = `request-${this.requestCount}`
    try {
      const ticket = member.node.ledger.settle(reservation, {
        kind: 'settle',
        budgetId: books.budgetId,
        teamId: asId<TeamId>(books.budgetId),
        billKey: asId<IdempotencyKey>(name),
        requestId: asId<RequestId>(name),
        promptTokens: 0,
        generatedTokens: request.cost,
        billedTokens: request.cost,
        creditedTokens: 0,
        code: ResultCode.Ok,
        endedAt: this.clock.wallTime(),
      })
      // Counted when the caller may have the end of its answer.
      ticket.durableOrHeld.then(
        () => (books.spent += request.cost),
        () => undefined,
      )
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  private hold(member: Member, books: Books, tokens: number): void {
    books.reserved += tokens
    member.open.set(books, (member.open.get(books) ?? 0) + tokens)
  }

  /** A single ledger that knew everything would have admitted what fits what is left. */
  private noteRefusal(books: Books, request: SimulatedRequest): void {
    const left = books.limit - books.spent - books.reserved
    if (left >= request.bound) this.falseRefusals += 1
  }

  private scheduleDeath(): void {
    this.clock.after(this.scenario.deathEveryMilliseconds ?? 0, () => {
      const victim = this.members[Math.floor(this.random.next() * this.members.length)]
      if (victim !== undefined) this.kill(victim)
      this.scheduleDeath()
    })
  }

  private kill(member: Member): void {
    const { incarnation } = member.node
    member.isDead = true
    member.node.stop()
    this.network.leave(incarnation)
    this.list.remove(member.listed)
    this.members = this.members.filter(other => other !== member)
    for (const [books, tokens] of member.open) books.reserved -= tokens
    this.clock.after(REPLACEMENT_MILLISECONDS, () => this.startMember(member.slot))
  }
}
