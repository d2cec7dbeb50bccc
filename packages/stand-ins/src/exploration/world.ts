/** One explored run: nodes, a table and a network on their own clock and scheduler. */

import type { Scheduler } from 'fast-check'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { BudgetId, IdempotencyKey, RequestId, TeamId, TransactionId } from '@rackwalk/shared'
import type { JsonValue } from '@rackwalk/stores'
import { MemoryCounters, createBudget, tableKeys, withLimit } from '@rackwalk/coordination'
import type { BudgetRow, Claim, ClaimResult, Reservation } from '@rackwalk/coordination'
import { MemoryObjects } from '../platform/memoryObjects.js'
import { MemoryTable } from '../platform/memoryTable.js'
import { checkAlways, checkAtEnd } from './checkers.js'
import { FaultyNetwork } from './faultyPeers.js'
import { History } from './history.js'
import type { RequestHistory } from './history.js'
import { BUDGETS, MAXIMUM_DEATHS, NODES } from './script.js'
import type { Action, Script } from './script.js'
import type { Variant } from './variants.js'
import { WorldNode } from './worldNode.js'

const TEAM = asId<TeamId>('team')
const FIRST_LIMIT = 200
/** Rounds within which a healed run must finish all pending work. */
const CLOSING_ROUNDS = 16
const CLOSING_STEP_MILLISECONDS = 1_000
/** Scheduled steps that one round may take. */
const MAXIMUM_STEPS = 5_000
/** Steps within which peers come to hold the journal entries that wait for the table. */
const HOLDING_STEPS = 40

type RequestAction = Extract<Action, { kind: 'request' }>

/** One run: nodes with the real coordination code, driven by a script and verified by the checkers. */
export class World {
  readonly table = new MemoryTable()
  readonly objects = new MemoryObjects()
  readonly history = new History()
  readonly clock = new VirtualClock()
  readonly counters = new MemoryCounters()
  readonly nodes: WorldNode[] = []
  readonly budgets: readonly BudgetId[]
  /** The highest limit that each budget has had in the run. */
  readonly highestLimits = new Map<BudgetId, number>()
  private readonly random: SeededRandom
  private readonly network: FaultyNetwork
  private readonly reclaimed = new Set<WorldNode>()
  private requests = 0
  private transactions = 0

  constructor(
    private readonly scheduler: Scheduler,
    private readonly script: Script,
    private readonly variant: Variant,
  ) {
    this.random = new SeededRandom(script.seed)
    this.network = new FaultyNetwork(scheduler, this.random, this.clock)
    this.budgets = Array.from({ length: BUDGETS }, (_, index) => asId<BudgetId>(`budget-${index}`))
  }

  /** Runs the script, heals all faults and checks that settled tokens match the bills. */
  async run(): Promise<void> {
    await this.create()
    this.network.lossShare = this.script.lossShare
    for (const node of this.nodes) node.tableFaults.lossShare = this.script.lossShare
    for (const action of this.script.actions) {
      await this.perform(action)
      await this.advanceSteps(action.steps)
    }
    await this.healAndFinish()
    await checkAtEnd(this)
  }

  /** Returns how often each kind of event happened, to judge whether runs exercise the code. */
  coverage(): Readonly<Record<string, number>> {
    const { requests } = this.history
    return {
      requests: requests.length,
      delivered: requests.filter(request => request.deliveredTokens !== undefined).length,
      refused: requests.filter(request => request.refusedWith !== undefined).length,
      dead: this.nodes.filter(node => node.isDead).length,
      sealed: this.counters.get('incarnations_sealed'),
      reclaimed: this.counters.get('incarnations_reclaimed'),
      held: this.counters.get('journal_held_entries'),
      lent: this.counters.get('budget_tokens_lent'),
      borrowed: this.counters.get('budget_tokens_borrowed'),
      unresolved: this.counters.get('budget_exchange_unresolved'),
      claimsLost: this.counters.get('claims_lost'),
      claimsAbandoned: this.counters.get('claims_abandoned'),
    }
  }

  private async create(): Promise<void> {
    for (const budgetId of this.budgets) await this.createBudget(budgetId)
    for (let number = 0; number < NODES; number += 1) this.nodes.push(this.createNode(number))
    for (const node of this.nodes) void this.track(node.registry.register(node.record))
    await this.advanceSteps(MAXIMUM_STEPS)
  }

  private createNode(number: number): WorldNode {
    return new WorldNode({
      number,
      table: this.table,
      objects: this.objects,
      network: this.network,
      scheduler: this.scheduler,
      random: this.random,
      clock: this.clock,
      nodes: () => this.nodes,
      variant: this.variant,
      counters: this.counters,
    })
  }

  private async createBudget(budgetId: BudgetId): Promise<void> {
    this.highestLimits.set(budgetId, FIRST_LIMIT)
    await createBudget(this.table, { budgetId, teamId: TEAM, limit: FIRST_LIMIT })
  }

  private async perform(action: Action): Promise<void> {
    switch (action.kind) {
      case 'request':
        return void this.track(this.request(action))
      case 'flush':
        return void this.track(this.nodeAt(action.node).flush())
      case 'maintain':
        return void this.track(this.nodeAt(action.node).ledger.maintain())
      case 'kill':
        return this.kill(this.nodeAt(action.node))
      case 'losePower':
        return this.losePower(this.nodeAt(action.node))
      case 'pause':
        return this.nodeAt(action.node).pause()
      case 'resume':
        return this.nodeAt(action.node).resume()
      case 'cutTable':
        this.nodeAt(action.node).tableFaults.isCut = true
        return
      case 'healTable':
        this.nodeAt(action.node).tableFaults.isCut = false
        return
      case 'outage':
        for (const node of this.nodes) node.tableFaults.isCut = true
        return
      case 'heal':
        return this.heal()
      case 'cut':
        this.network.cut(
          this.nodeAt(action.node).incarnation,
          this.nodeAt(action.other).incarnation,
        )
        return
      case 'seal':
        return void this.track(this.seal(this.nodeAt(action.node), this.nodeAt(action.target)))
      case 'reclaim':
        return void this.track(this.reclaim(this.nodeAt(action.node), this.nodeAt(action.target)))
      case 'limit':
        return this.setLimit(action.budget, action.limit)
      case 'advance':
        return this.clock.advance(action.milliseconds)
    }
  }

  /** Takes one request through the coordination parts in the same order as the router does. */
  private async request(action: RequestAction): Promise<void> {
    const node = this.nodeAt(action.node)
    if (node.isDead) return
    const budgetId = this.budgets[action.budget] as BudgetId
    this.requests += 1
    const requestId = asId<RequestId>(`request-${this.requests}`)
    const name = action.repeatable ? `${requestId}` : `key-${action.key}`
    const key = asId<IdempotencyKey>(name)
    const { repeatable } = action
    const seen = this.history.begin({ requestId, budgetId, key, repeatable })
    await node.gate()
    const reserved = await node.ledger.reserve(budgetId, action.bound)
    await node.gate()
    if (reserved.kind === 'refused') return this.refuse(seen, reserved.code)
    const claim = repeatable ? undefined : await node.claims.claim(TEAM, key, requestId)
    await node.gate()
    if (claim !== undefined && claim.kind !== 'claimed') {
      node.ledger.release(reserved.reservation)
      return this.refuseByClaim(seen, claim)
    }
    seen.executed = true
    await this.step('execution')
    await node.gate()
    const tokens = Math.floor(action.bound * action.spentShare)
    await this.settle(node, seen, reserved.reservation, claim?.claim, tokens)
  }

  private async settle(
    node: WorldNode,
    seen: RequestHistory,
    reservation: Reservation,
    claim: Claim | undefined,
    tokens: number,
  ): Promise<void> {
    const entry = {
      kind: 'settle' as const,
      budgetId: seen.budgetId,
      teamId: TEAM,
      billKey: seen.key,
      requestId: seen.requestId,
      promptTokens: 0,
      generatedTokens: tokens,
      billedTokens: tokens,
      creditedTokens: 0,
      code: ResultCode.Ok,
      endedAt: 0,
    }
    const completion = claim && node.claims.completion(claim, ResultCode.Ok)
    const ticket = node.ledger.settle(reservation, entry, completion)
    if (claim !== undefined) node.claims.noteDone(claim)
    try {
      await ticket.durableOrHeld
      await node.gate()
      seen.deliveredTokens = tokens
    } catch (thrown) {
      if (this.variant.refusesUnbilled) this.refuse(seen, ResultCode.InstanceDraining)
      throw thrown
    }
  }

  private refuse(seen: RequestHistory, code: ResultCode): void {
    seen.refusedWith = code
  }

  /** Records a refusal for an unconfirmed claim only: a running claim leaves "unknown", not "not run". */
  private refuseByClaim(seen: RequestHistory, claim: ClaimResult): void {
    if (claim.kind === 'unconfirmed') this.refuse(seen, ResultCode.ClaimUnconfirmed)
  }

  private kill(node: WorldNode): void {
    if (this.mayKill(node)) node.kill()
  }

  /** Cuts the table off, lets peers hold the pending entries, and then kills all nodes but one. */
  private async losePower(survivor: WorldNode): Promise<void> {
    for (const node of this.nodes) {
      node.tableFaults.isCut = true
      void this.track(node.flush())
    }
    await this.advanceSteps(HOLDING_STEPS)
    for (const node of this.nodes) if (node !== survivor) this.kill(node)
  }

  private heal(): void {
    this.network.healAll()
    for (const node of this.nodes) node.tableFaults.isCut = false
    this.network.lossShare = this.script.lossShare
  }

  /** Seals a node, alive or dead: sealing must be safe in both cases. */
  private async seal(node: WorldNode, target: WorldNode): Promise<void> {
    if (node === target || node.isDead || !this.mayKill(target)) return
    target.isSealed = true
    await node.sealer.seal(target.record)
  }

  /** Whether a node may die: enough nodes must survive to seal and reclaim the dead ones. */
  private mayKill(node: WorldNode): boolean {
    const survivors = this.survivors()
    return !survivors.includes(node) || survivors.length > NODES - MAXIMUM_DEATHS
  }

  private async reclaim(node: WorldNode, target: WorldNode): Promise<void> {
    if (!node.isDead) await node.reclaimer.reclaim(target.incarnation)
  }

  private async setLimit(index: number, limit: number): Promise<void> {
    const budgetId = this.budgets[index] as BudgetId
    const key = tableKeys.budgetKey(budgetId)
    const stored = await this.table.get(key)
    if (stored === undefined) return
    const row = withLimit(stored.value as unknown as BudgetRow, limit)
    this.highestLimits.set(budgetId, Math.max(limit, this.highestLimits.get(budgetId) ?? 0))
    const condition = { kind: 'version', version: stored.version } as const
    const value = row as unknown as JsonValue
    await this.table.transact(this.nextTransaction(), [{ kind: 'put', key, condition, value }])
  }

  /** Heals all faults, finishes pending work, seals and reclaims dead nodes and returns allocations. */
  private async healAndFinish(): Promise<void> {
    for (const node of this.nodes) {
      node.tableFaults.lossShare = 0
      node.resume()
    }
    this.heal()
    this.network.lossShare = 0
    for (let round = 0; round < CLOSING_ROUNDS; round += 1) {
      const isGivingBack = round > CLOSING_ROUNDS / 2
      for (const node of this.survivors()) {
        void this.track(node.flush())
        if (isGivingBack) void this.track(node.ledger.returnAll())
      }
      this.reclaimDeadNodes()
      await this.advanceSteps(MAXIMUM_STEPS)
      await this.clock.advance(CLOSING_STEP_MILLISECONDS)
    }
  }

  private reclaimDeadNodes(): void {
    const [survivor] = this.survivors()
    if (survivor === undefined) return
    for (const node of this.nodes) {
      const isGone = node.isDead || node.isSealed
      if (isGone && !this.reclaimed.has(node)) void this.track(this.sealAndReclaim(survivor, node))
    }
  }

  private async sealAndReclaim(survivor: WorldNode, node: WorldNode): Promise<void> {
    await survivor.sealer.seal(node.record)
    const outcome = await survivor.reclaimer.reclaim(node.incarnation)
    if (outcome === 'reclaimed') this.reclaimed.add(node)
  }

  private survivors(): readonly WorldNode[] {
    return this.nodes.filter(node => !node.isDead && !node.isSealed)
  }

  private nodeAt(number: number): WorldNode {
    return this.nodes[number] as WorldNode
  }

  /** Lets the scheduler run up to the given number of steps and runs the checkers after each. */
  private async advanceSteps(steps: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      if (this.scheduler.count() === 0) await settled()
      if (this.scheduler.count() === 0) break
      await this.scheduler.waitNext(1)
      await settled()
      await checkAlways(this)
    }
  }

  private step(label: string): Promise<void> {
    return this.scheduler.schedule(Promise.resolve(), label)
  }

  /** Records unexpected errors. Coded errors, of the platform or of an incarnation, are part of a run. */
  private track(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      error => {
        if (!(error instanceof RackwalkError)) this.unexpectedErrors.push(error)
      },
    )
  }

  /** Errors that must not occur in any run. */
  readonly unexpectedErrors: unknown[] = []

  private nextTransaction(): TransactionId {
    this.transactions += 1
    return asId<TransactionId>(`operator-${this.transactions}`)
  }
}

function settled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
