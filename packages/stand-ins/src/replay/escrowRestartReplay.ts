/**
 * Replays on virtual time what an outage of the table and a death of all instances cost one budget of the
 * OpenAI-style kind: when its callers are served again, and what is spent in all.
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

/** What happens to the instances. */
export interface EscrowRestartScenario {
  readonly seed: number
  /** Time for which the table is out of reach before all instances die. */
  readonly outageMilliseconds: Milliseconds
}

/** What came of it. */
export interface EscrowRestartOutcome {
  readonly limit: TokenCount
  /** Tokens of answers whose ends callers were given, over all incarnations. */
  readonly spent: TokenCount
  /** Requests served of those made, in each span of five seconds after the restart. */
  readonly servedAfterwards: readonly number[]
}

const INSTANCES = 5
const FAILURE_DOMAINS = 3
const LIMIT: TokenCount = 1_000_000
const REQUEST_BOUND: TokenCount = 3_000
const REQUEST_COST: TokenCount = 2_000
const REQUEST_MILLISECONDS = 300
const PAUSE_MILLISECONDS = 100
const LIST_LAG_MILLISECONDS = 10_000
const START_MILLISECONDS = 5_000
const WARM_MILLISECONDS = 2_000
const BEFORE_MILLISECONDS = 8_000
const DARK_MILLISECONDS = 1_000
const SPAN_MILLISECONDS = 5_000
const SPANS_AFTERWARDS = 12

interface ReplayedInstance {
  readonly node: CoordinationNode
  readonly listed: ListedInstance
  isDead: boolean
}

/** Plays the scenario once. */
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
  private isTableLost = false
  private spent: TokenCount = 0

  constructor(private readonly scenario: EscrowRestartScenario) {
    this.random = new SeededRandom(scenario.seed)
  }

  async run(): Promise<EscrowRestartOutcome> {
    await this.createBudget()
    this.startAll()
    await this.clock.advance(START_MILLISECONDS)
    await this.ask(BEFORE_MILLISECONDS)
    this.isTableLost = true
    await this.ask(this.scenario.outageMilliseconds)
    this.killAll()
    await this.clock.advance(DARK_MILLISECONDS)
    this.isTableLost = false
    this.startAll()
    const servedAfterwards: number[] = []
    for (let span = 0; span < SPANS_AFTERWARDS; span += 1) {
      servedAfterwards.push(await this.ask(SPAN_MILLISECONDS))
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

  /** Sends one request after the other to instances at random; the share that is served. */
  private async ask(milliseconds: Milliseconds): Promise<number> {
    const asked = Math.floor(milliseconds / PAUSE_MILLISECONDS)
    let served = 0
    for (let request = 0; request < asked; request += 1) {
      void this.serve().then(isServed => (served += isServed ? 1 : 0))
      await this.clock.advance(PAUSE_MILLISECONDS)
    }
    return asked === 0 ? 1 : served / asked
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
      // A journal without room refuses the entry, and the caller gets no end of its answer.
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
      table: new SimulatedTable(this.table, this.clock, () => this.isTableLost),
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
    this.clock.after(WARM_MILLISECONDS, () => void node.warm([BUDGET]))
  }
}

const BUDGET = asId<BudgetId>('budget')
const TEAM = asId<TeamId>('team')
const REGION = asId<RegionId>('region')
