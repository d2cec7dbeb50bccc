/**
 * Replays, on virtual time, an outage of the table followed by a crash of all instances, for one budget of
 * the OpenAI-style kind. The outcome shows when callers are served again and how many tokens are spent.
 */

import {
  CoordinationNode,
  MemoryCounters,
  CostWeightedPolicy,
  createBudgetRow,
  tableKeys,
} from '@rackwalk/coordination'
import type { Reservation } from '@rackwalk/coordination'
import {
  RackwalkError,
  ResultCode,
  SeededRandom,
  VirtualClock,
  asId,
  randomBelow,
} from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  Milliseconds,
  RandomSource,
  RegionId,
  RequestId,
  TeamId,
  TokenCount,
  TransactionId,
} from '@rackwalk/shared'
import type { JsonValue, ListedInstance } from '@rackwalk/stores'
import { MemoryObjects } from '../platform/memoryObjects.js'
import { MemoryTable } from '../platform/memoryTable.js'
import { LaggingList, SimulatedNetwork, SimulatedTable } from '../platform/simulatedPlatform.js'

/** The faults of a replay. */
export interface EscrowRestartScenario {
  readonly seed: number
  /** Time for which the table is unreachable before all instances crash. */
  readonly outageMilliseconds: Milliseconds
}

/** The outcome of a replay. */
export interface EscrowRestartOutcome {
  readonly limit: TokenCount
  /** Tokens of completely delivered answers, over all incarnations. */
  readonly spent: TokenCount
  /** Share of the requests that are served, for each span of five seconds after the restart. */
  readonly servedAfterwards: readonly number[]
}

const INSTANCES = 5
const FAILURE_DOMAINS = 3
const LIMIT: TokenCount = 1_000_000
const REQUEST_BOUND: TokenCount = 3_000
const REQUEST_COST: TokenCount = 2_000
const REQUEST_MILLISECONDS = 300
const REQUEST_INTERVAL_MILLISECONDS = 100
const LIST_LAG_MILLISECONDS = 10_000
const START_MILLISECONDS = 5_000
const WARM_UP_DELAY_MILLISECONDS = 2_000
const BEFORE_OUTAGE_MILLISECONDS = 8_000
const DOWNTIME_MILLISECONDS = 1_000
const SPAN_MILLISECONDS = 5_000
const SPANS_AFTERWARDS = 12

interface ReplayedInstance {
  readonly node: CoordinationNode
  readonly listed: ListedInstance
  isDead: boolean
}

/** Replays the scenario once. */
export function replayEscrowRestart(
  scenario: EscrowRestartScenario,
): Promise<EscrowRestartOutcome> {
  return new EscrowRestartReplay(scenario).run()
}

class EscrowRestartReplay {
  private readonly clock = new VirtualClock()
  private readonly table = new MemoryTable()
  private readonly objects = new MemoryObjects()
  private readonly network = new SimulatedNetwork(this.clock)
  private readonly list = new LaggingList(this.clock, LIST_LAG_MILLISECONDS)
  private readonly random: RandomSource
  private instances: ReplayedInstance[] = []
  private incarnations = 0
  private requests = 0
  private isTableUnreachable = false
  private spent: TokenCount = 0

  constructor(private readonly scenario: EscrowRestartScenario) {
    this.random = new SeededRandom(scenario.seed)
  }

  async run(): Promise<EscrowRestartOutcome> {
    await this.createBudget()
    this.startAll()
    await this.clock.advance(START_MILLISECONDS)
    await this.sendRequests(BEFORE_OUTAGE_MILLISECONDS)
    this.isTableUnreachable = true
    await this.sendRequests(this.scenario.outageMilliseconds)
    this.killAll()
    await this.clock.advance(DOWNTIME_MILLISECONDS)
    this.isTableUnreachable = false
    this.startAll()
    const servedAfterwards: number[] = []
    for (let span = 0; span < SPANS_AFTERWARDS; span += 1) {
      servedAfterwards.push(await this.sendRequests(SPAN_MILLISECONDS))
    }
    this.killAll()
    return { limit: LIMIT, spent: this.spent, servedAfterwards }
  }

  private async createBudget(): Promise<void> {
    await this.table.transact(asId<TransactionId>('create'), [
      {
        kind: 'put',
        key: tableKeys.budgetKey(BUDGET),
        condition: { kind: 'absent' },
        value: createBudgetRow(BUDGET, TEAM, LIMIT) as unknown as JsonValue,
      },
    ])
  }

  /** Sends requests to random instances at a fixed interval. Returns the share that is served. */
  private async sendRequests(milliseconds: Milliseconds): Promise<number> {
    const sent = Math.floor(milliseconds / REQUEST_INTERVAL_MILLISECONDS)
    let served = 0
    for (let request = 0; request < sent; request += 1) {
      void this.serve().then(isServed => (served += isServed ? 1 : 0))
      await this.clock.advance(REQUEST_INTERVAL_MILLISECONDS)
    }
    return sent === 0 ? 1 : served / sent
  }

  private async serve(): Promise<boolean> {
    const instance = this.instances[randomBelow(this.random, INSTANCES)]
    if (instance?.node.isServing !== true || !instance.node.journal.hasRoom) return false
    const result = await instance.node.ledger.reserve(BUDGET, REQUEST_BOUND)
    if (result.kind === 'refused' || instance.isDead) return false
    this.clock.after(REQUEST_MILLISECONDS, () => this.settle(instance, result.reservation))
    return true
  }

  private settle(instance: ReplayedInstance, reservation: Reservation): void {
    if (instance.isDead) return
    this.requests += 1
    const name = `request-${this.requests}`
    try {
      const ticket = instance.node.ledger.settle(reservation, {
        kind: 'settle',
        budgetId: BUDGET,
        teamId: TEAM,
        billKey: asId<IdempotencyKey>(name),
        requestId: asId<RequestId>(name),
        promptTokens: 0,
        generatedTokens: REQUEST_COST,
        billedTokens: REQUEST_COST,
        creditedTokens: 0,
        code: ResultCode.Ok,
        endedAt: this.clock.wallTime(),
      })
      ticket.durableOrHeld.then(
        () => (this.spent += REQUEST_COST),
        () => undefined,
      )
    } catch (thrown) {
      // A full journal rejects the entry, and the caller doesn't get the end of its answer.
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  private startAll(): void {
    this.instances = []
    for (let slot = 0; slot < INSTANCES; slot += 1) this.start(slot)
  }

  private killAll(): void {
    for (const instance of this.instances) {
      instance.isDead = true
      instance.node.stop()
      this.network.leave(instance.node.incarnation)
      this.list.remove(instance.listed)
    }
  }

  private start(slot: number): void {
    this.incarnations += 1
    const incarnation = asId<IncarnationId>(`incarnation-${this.incarnations}`)
    const instanceId = asId<InstanceId>(`instance-${slot}`)
    const address = `10.0.0.${slot}:80`
    const node = new CoordinationNode({
      identity: {
        instanceId,
        incarnation,
        region: REGION,
        failureDomain: asId<FailureDomainId>(`domain-${slot % FAILURE_DOMAINS}`),
        peerAddress: address,
        callerAddress: address,
        operatorAddress: address,
      },
      table: new SimulatedTable(this.table, this.clock, () => this.isTableUnreachable),
      objects: this.objects,
      instances: this.list,
      peers: this.network.channelOf(incarnation),
      clock: this.clock,
      random: new SeededRandom(this.scenario.seed * 1_000 + this.incarnations),
      counters: new MemoryCounters(),
      policy: new CostWeightedPolicy({ overspend: 1, falseRefusal: 1 }),
      resourceKinds: [],
      onSealed: () => undefined,
      onFault: error => {
        throw error
      },
    })
    const listed: ListedInstance = { instanceId, peerAddress: address, state: 'live' }
    this.network.join(incarnation, node.handlers)
    this.list.add(listed)
    for (const other of this.instances) {
      other.node.membership.mergeMember(node.describe())
      node.membership.mergeMember(other.node.describe())
    }
    this.instances.push({ node, listed, isDead: false })
    node.start()
    this.clock.after(WARM_UP_DELAY_MILLISECONDS, () => void node.warm([BUDGET]))
  }
}

const BUDGET = asId<BudgetId>('budget')
const TEAM = asId<TeamId>('team')
const REGION = asId<RegionId>('region')
