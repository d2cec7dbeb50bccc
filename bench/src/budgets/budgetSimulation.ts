/**
 * Runs real coordination nodes against a simulated demand on prepaid budgets, on virtual time, and
 * counts false refusals, overspent tokens and calls to the table.
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

/** Results of one run. */
export interface BudgetOutcome {
  /** Requests refused for their budget although a single ledger would have had the tokens. */
  readonly falseRefusals: number
  readonly overspentTokens: number
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

interface BudgetAccount {
  readonly budgetId: BudgetId
  readonly limit: number
  spent: number
  reserved: number
}

interface Member {
  readonly node: CoordinationNode
  readonly listed: ListedInstance
  readonly slot: number
  readonly reservedTokens: Map<BudgetAccount, number>
  hasCrashed: boolean
}

const LIST_LAG_MILLISECONDS = 10_000
const REPLACEMENT_MILLISECONDS = 5_000
const WARM_UP_MILLISECONDS = 5_000
const REGION = asId<RegionId>('region-a')

/** Simulates one user's demand on coordination nodes that share budgets. */
export class BudgetSimulation {
  private readonly clock = new VirtualClock()
  private readonly table = new MemoryTable()
  private readonly counters = new MemoryCounters()
  private readonly random: SeededRandom
  private readonly network: SimulatedNetwork
  private readonly list: LaggingList
  private readonly accounts: BudgetAccount[]
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
    this.accounts = Array.from({ length: TEAMS }, (_, team) => this.createAccount(team))
  }

  async run(): Promise<BudgetOutcome> {
    for (const account of this.accounts) await this.createRow(account)
    for (let slot = 0; slot < INSTANCES; slot += 1) this.startMember(slot)
    await this.clock.advance(WARM_UP_MILLISECONDS)
    const writesBefore = this.table.writes
    const readsBefore = this.table.reads
    this.scheduleArrival()
    if (this.scenario.crashPeriodMilliseconds !== undefined) this.scheduleCrash()
    await this.clock.advance(this.scenario.milliseconds)
    const seconds = this.scenario.milliseconds / 1000
    return {
      falseRefusals: this.falseRefusals,
      overspentTokens: this.accounts.reduce((sum, b) => sum + Math.max(0, b.spent - b.limit), 0),
      writesPerSecond: (this.table.writes - writesBefore) / seconds,
      readsPerSecond: (this.table.reads - readsBefore) / seconds,
    }
  }

  private get isTableLost(): boolean {
    const { tableLostAtMilliseconds = Number.POSITIVE_INFINITY } = this.scenario
    return this.clock.monotonic() - WARM_UP_MILLISECONDS >= tableLostAtMilliseconds
  }

  private createAccount(team: number): BudgetAccount {
    const seconds = this.scenario.milliseconds / 1000
    const demand = REQUESTS_PER_SECOND * seconds * meanCost() * teamShare(team)
    // Limits range from 0.9 to 1.1 times the demand, so that about half of the budgets run out.
    const limit = Math.round(demand * (0.9 + (0.2 * team) / TEAMS))
    const budgetId = asId<BudgetId>(`budget-${team}`)
    return { budgetId, limit, spent: 0, reserved: 0 }
  }

  private async createRow({ budgetId, limit }: BudgetAccount): Promise<void> {
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
    const member: Member = { node, listed, slot, reservedTokens: new Map(), hasCrashed: false }
    this.network.join(incarnation, node.handlers)
    this.list.add(listed)
    // Instances of a fleet find each other by the platform's list; here all are introduced at once.
    for (const other of this.members) {
      other.node.membership.mergeMember(node.describe())
      node.membership.mergeMember(other.node.describe())
    }
    this.members.push(member)
    node.start()
    this.clock.after(WARM_UP_MILLISECONDS / 2, () => {
      void node.warm(this.accounts.map(({ budgetId }) => budgetId))
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
    const account = this.accounts[request.team] as BudgetAccount
    if (!member.node.isServing || !member.node.journal.hasRoom) return
    const result = await member.node.ledger.reserve(account.budgetId, request.bound)
    if (member.hasCrashed) return
    if (result.kind === 'refused') return this.noteRefusal(account, request)
    this.addReserved(member, account, request.bound)
    this.clock.after(request.milliseconds, () => {
      if (!member.hasCrashed) this.settle(member, account, result.reservation, request)
    })
  }

  private settle(
    member: Member,
    account: BudgetAccount,
    reservation: Reservation,
    request: SimulatedRequest,
  ): void {
    this.addReserved(member, account, -request.bound)
    this.requestCount += 1
    const name = `request-${this.requestCount}`
    try {
      const ticket = member.node.ledger.settle(reservation, {
        kind: 'settle',
        budgetId: account.budgetId,
        teamId: asId<TeamId>(account.budgetId),
        billKey: asId<IdempotencyKey>(name),
        requestId: asId<RequestId>(name),
        promptTokens: 0,
        generatedTokens: request.cost,
        billedTokens: request.cost,
        creditedTokens: 0,
        code: ResultCode.Ok,
        endedAt: this.clock.wallTime(),
      })
      // The cost counts as spent once the caller may receive the end of its answer.
      ticket.durableOrHeld.then(
        () => (account.spent += request.cost),
        () => undefined,
      )
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  private addReserved(member: Member, account: BudgetAccount, tokens: number): void {
    account.reserved += tokens
    member.reservedTokens.set(account, (member.reservedTokens.get(account) ?? 0) + tokens)
  }

  /** Counts a refusal as false if a single ledger would have had enough tokens left for it. */
  private noteRefusal(account: BudgetAccount, request: SimulatedRequest): void {
    const remaining = account.limit - account.spent - account.reserved
    if (remaining >= request.bound) this.falseRefusals += 1
  }

  private scheduleCrash(): void {
    this.clock.after(this.scenario.crashPeriodMilliseconds ?? 0, () => {
      const crashing = this.members[Math.floor(this.random.next() * this.members.length)]
      if (crashing !== undefined) this.crash(crashing)
      this.scheduleCrash()
    })
  }

  private crash(member: Member): void {
    const { incarnation } = member.node
    member.hasCrashed = true
    member.node.stop()
    this.network.leave(incarnation)
    this.list.remove(member.listed)
    this.members = this.members.filter(other => other !== member)
    for (const [account, tokens] of member.reservedTokens) account.reserved -= tokens
    this.clock.after(REPLACEMENT_MILLISECONDS, () => this.startMember(member.slot))
  }
}
