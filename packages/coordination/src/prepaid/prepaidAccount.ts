/**
 * One budget on one instance: reserves, settles and keeps the rows in the store true. Owns the requests
 * that wait for a write and the write in progress; relies on HoldingState for what may be spent, on
 * PartitionView for what the others hold, and on writePlan for what the next write says.
 */

import { demandValidSince, budgetLenders, budgetSharers } from '@rackwalk/decisions'
import type { BudgetView, HoldingPolicy } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RowAddress, RowStore, RowTransaction, RowWriteOutcome } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { AccountReport } from './accountReport.js'
import { DemandMeter } from './demandMeter.js'
import { HoldingState } from './holdingState.js'
import type { LendingAccount } from './lender.js'
import {
  POOL_KEY,
  PREPAID_TABLE,
  endHolding,
  freeInPool,
  holderKey,
  holderRowCodec,
  poolRowCodec,
} from './prepaidRows.js'
import type { PoolRow } from './prepaidRows.js'
import { StoreHealth } from './storeHealth.js'
import type { PrepaidOutcome, RefusedOutcome, ReservedOutcome } from './prepaidOutcome.js'
import { PartitionView } from './partitionView.js'
import type { RowUpdate } from './partitionView.js'
import type { Takeover } from './takeover.js'
import { planWrite, wouldChangePool } from './writePlan.js'
import type { WriteInputs, WritePlan } from './writePlan.js'
import { WaitingRequests } from './waitingRequests.js'
import type { WaitingRequest } from './waitingRequests.js'

/** What an account works with. */
export interface PrepaidAccountParts {
  readonly budget: string
  readonly instance: string
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  /** Monotonic time at which this process started; its predecessor was dead by then. */
  readonly startedAt: Milliseconds
  readonly policy: HoldingPolicy
  /** Whether the directory sends callers here; a standby instance holds for observed demand only. */
  readonly isActive: () => boolean
  /** Other instances to which callers are sent. */
  readonly otherInstances: () => readonly string[]
  /** Longest time between two writes while tokens are spent. */
  readonly recordMilliseconds: () => Milliseconds
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** The holding of a dead incarnation was ended. */
  readonly onTakeover?: (budget: string, takeover: Takeover) => void
  /** A row of the budget that is not of its form; it is left out. */
  readonly onMalformedRow: (row: RowAddress) => void
}

/** Time between two tries to give everything back at a planned stop. */
const LEAVE_RETRY_MILLISECONDS = 120
/** Budgets from which nothing was spent are recorded this many times less often. */
const IDLE_FACTOR = 4
/** Share of the time between two records after which holdings may be moved. */
const ADJUST_SHARE = 0.25
/** Factor by which the largest request seen fades with each request. */
const LARGEST_DECAY = 0.98
/**
 * Age of the rows at which an instance that stands by reads them again: what others hold and ask for
 * decides how much it holds; whether the pool has enough each write finds out by itself.
 */
const STANDBY_STALENESS_MILLISECONDS = 1_000
/** Tokens a second below which an instance that stands by asks for no holding: as rows round. */
const LEAST_DEMAND_PER_SECOND = 1
/** Tries to give everything back at a planned stop; the grace time ends them earlier. */
const LEAVE_ATTEMPTS = 12

/** One budget on one instance. */
export class PrepaidAccount implements LendingAccount {
  private readonly holding: HoldingState
  /** Tokens that callers ask for, refused ones included. */
  private readonly demand: DemandMeter
  /** Tokens that are committed. */
  private readonly spending: DemandMeter
  private readonly view: PartitionView
  private limit: TokenCount | undefined
  private configurationVersion = 0
  private readonly waiting: WaitingRequests
  private writing: Promise<void> | undefined
  private readonly storeHealth: StoreHealth
  private largest: TokenCount = 0
  private isClosed = false
  private readonly report: AccountReport

  constructor(private readonly parts: PrepaidAccountParts) {
    this.holding = new HoldingState(parts.clock)
    this.demand = new DemandMeter(parts.clock)
    this.spending = new DemandMeter(parts.clock)
    this.view = new PartitionView(parts.instance, key => parts.onMalformedRow(this.addressOf(key)))
    this.waiting = new WaitingRequests(parts.clock)
    this.report = this.createReport()
    this.storeHealth = new StoreHealth(parts.clock, reason => {
      this.report.emitEvent('prepaid_store_lost', { reason })
    })
  }

  /** The budget as the configuration of this version sets it. */
  setLimit(limit: TokenCount, configurationVersion: number): void {
    if (configurationVersion < this.configurationVersion) return
    this.configurationVersion = configurationVersion
    if (this.limit === limit) return
    this.limit = limit
    if (this.parts.isActive()) this.startWrite()
  }

  /** Takes in rows of this partition; with `isWhole` they are all that there are. */
  observe(rows: readonly RowUpdate[], isWhole: boolean): void {
    this.applyRows(rows, isWhole)
    this.noteOwnRow()
  }

  /** Sets tokens aside, waiting at most `patience` for the store. */
  reserve(tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    this.recordDemand(tokens)
    return this.reserveLocally(tokens, patience)
  }

  /** A caller here asks for tokens, whoever may hold them. */
  recordDemand(tokens: TokenCount): void {
    this.demand.add(tokens)
    this.largest = Math.max(tokens, this.largest * LARGEST_DECAY)
  }

  /** Whether this holding, or a transaction with the pool, is likely to cover the tokens. */
  isLikelyToCover(tokens: TokenCount): boolean {
    return this.view.pool === undefined || tokens <= this.reachable
  }

  /** Commits what may be committed at once, at most the tokens asked for. */
  takeAvailable(tokens: TokenCount): TokenCount {
    if (this.isClosed) return 0
    const taken = Math.min(tokens, this.holding.allowance)
    this.holding.commit(taken)
    this.spending.add(taken)
    return taken
  }

  async lend(tokens: TokenCount, patience: Milliseconds): Promise<TokenCount> {
    const within = Math.min(tokens, this.reachable)
    if (within <= 0) return 0
    const outcome = await this.reserveLocally(within, patience)
    return outcome.kind === 'reserved' ? within : this.takeAvailable(tokens)
  }

  /** Instances to ask for tokens of this budget, the likeliest first. */
  get lenders(): readonly string[] {
    return budgetLenders(this.view.lenders, this.others, this.report.rowsAge)
  }

  /** Sets tokens aside in this holding, for whoever asks. */
  reserveLocally(tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    if (!this.isClosed && tokens <= this.holding.allowance) {
      this.holding.commit(tokens)
      return Promise.resolve(this.reserved(tokens, 'held'))
    }
    if (this.storeHealth.isUnavailable || this.isClosed)
      return Promise.resolve(this.refused(tokens))
    if (this.storeHealth.isSlowerThan(patience)) {
      // The write that would cover it raises what later ones find.
      this.startWrite()
      return Promise.resolve(this.refused(tokens))
    }
    // A request is answered in its time, also while a write that covers it hangs.
    const outcome = this.waiting.add(tokens, patience, request => this.finishFromHolding(request))
    this.startWrite()
    return outcome
  }

  /** Ends a reservation: of the tokens committed here what was not handed out is free again. */
  settle(committed: TokenCount, spent: TokenCount): void {
    const handedOut = Math.min(spent, committed)
    this.holding.settle(committed, handedOut)
    this.spending.add(handedOut - committed)
  }

  /** A caller asked for more tokens than it needed: the difference is no demand. */
  subtractDemand(tokens: TokenCount): void {
    this.demand.add(-tokens)
  }

  /** Called a few times a second: records, takes and gives back. */
  maintain(): void {
    if (this.isWriteDue()) this.startWrite()
    this.report.reportEndedShortage()
  }

  /** The number of instances that share the budget, this one included. */
  get sharers(): number {
    return this.others.length + 1
  }

  /** Whether callers here are being refused tokens that exist. */
  get isShort(): boolean {
    return this.report.isShort
  }

  /** A caller was refused tokens that other instances hold, or that are out of reach. */
  recordRefusal(): void {
    this.report.recordRefusal()
  }

  /** Whether the store last failed to answer; nothing is written until it answers a probe. */
  get isStoreFailing(): boolean {
    return this.storeHealth.isFailing && !this.isClosed
  }

  /** Asks a store that was out of reach by a read; true once it answered. */
  async probe(): Promise<boolean> {
    const isReached = await this.read()
    if (isReached) this.startWrite()
    return isReached
  }

  /** Settles what was spent and gives the rest back; true once the store has it. */
  async leave(): Promise<boolean> {
    this.isClosed = true
    await this.writing
    // Found by exploration: a request whose write had met a conflict was served from the
    // holding after that had been given back.
    for (const request of this.waiting.removeAll()) request.finish(this.refused(request.tokens))
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt += 1) {
      if (await this.leaveOnce()) return true
      await sleep(this.parts.clock, LEAVE_RETRY_MILLISECONDS)
    }
    return false
  }

  /** What is known here, for decision records and logs. */
  describe(): Readonly<Record<string, unknown>> {
    return this.report.describe()
  }

  private createReport(): AccountReport {
    const { budget, clock, onEvent } = this.parts
    return new AccountReport({
      budget,
      clock,
      holding: this.holding,
      view: this.view,
      limit: () => this.limit,
      demandPerSecond: () => this.demand.perSecond,
      others: () => this.others,
      callAge: () => this.storeHealth.callAge,
      onEvent,
    })
  }

  private applyRows(rows: readonly RowUpdate[], isWhole: boolean): void {
    if (this.view.apply(rows, isWhole)) this.report.recordRowsSeen()
  }

  /** Tokens that this holding can come to commit, with a transaction where the store answers. */
  private get reachable(): TokenCount {
    const free = this.storeHealth.isUnavailable ? 0 : freeInPool(this.view.pool ?? NO_POOL)
    return this.holding.unspent + Math.max(0, free)
  }

  /** The other instances with which this one shares the budget. */
  private get others(): readonly string[] {
    const askers = this.view.requestersSince(demandValidSince(this.parts.storeClock.lowerBound))
    return budgetSharers(this.parts.otherInstances(), askers)
  }

  private isWriteDue(): boolean {
    if (this.limit === undefined || this.isClosed) return false
    if (!this.waiting.isEmpty || this.holding.hasUnresolved) return true
    if (!this.holding.isRegistered) {
      return this.parts.isActive() || this.hasPredecessor || this.hasCallers
    }
    const period = this.parts.recordMilliseconds()
    const isIdle = this.holding.unrecorded === 0
    if (isIdle && this.holding.unspent === 0 && !this.parts.isActive()) return false
    const age = this.holding.recordAge
    if (age > (isIdle ? period * IDLE_FACTOR : period)) return true
    // Where many instances share a budget, moving holdings at each look would only contend.
    return age > period * ADJUST_SHARE && wouldChangePool(this.writeInputs([]))
  }

  /** Whether callers ask here; others learn of it by the row alone, also while loans pay for them. */
  private get hasCallers(): boolean {
    return this.demand.perSecond >= LEAST_DEMAND_PER_SECOND
  }

  /** Whether an earlier incarnation left a holding, which only this one can free. */
  private get hasPredecessor(): boolean {
    const row = this.view.ownHolder
    return row !== undefined && row.incarnation !== this.parts.incarnation
  }

  private startWrite(): void {
    // A row on its way bounds what may be spent, so a store out of reach is tried by reads.
    if (this.writing !== undefined || this.isClosed || this.isStoreFailing) return
    if (this.storeHealth.isThrottled) return
    this.writing = this.writeWhileDue().finally(() => {
      this.writing = undefined
    })
  }

  /** An instance that stands by follows no budgets: it looks at the rows before it writes. */
  private get hasStaleRows(): boolean {
    return !this.parts.isActive() && (this.report.rowsAge ?? 0) > STANDBY_STALENESS_MILLISECONDS
  }

  private async writeWhileDue(): Promise<void> {
    do {
      const succeeded = await this.writeOnce()
      if (!succeeded) return
    } while (!this.waiting.isEmpty && !this.isClosed)
  }

  /** One write, or the read that has to come before it; false where it should be put off. */
  private async writeOnce(): Promise<boolean> {
    if (this.limit === undefined) return false
    if (!this.view.isLoaded || this.holding.hasUnresolved || this.hasStaleRows) {
      if (!(await this.reload())) return false
    }
    const plan = planWrite(this.writeInputs(this.waiting.tokens))
    const admitted = this.takeAdmitted(plan)
    this.holding.recordSent(plan.holder, plan.ahead, this.view.ownVersion)
    const sentAt = this.parts.clock.monotonic()
    const outcome = await this.storeHealth.timed(this.parts.store.write(this.transactionOf(plan)))
    this.noteOutcome(plan, outcome, sentAt)
    if (outcome.kind === 'done') {
      for (const request of admitted) this.finishWritten(request)
      this.refuseUncoverable()
      // Who came while the write was on its way need not wait for another one.
      this.waiting.finishCovered(this.holding, request => this.finishFromHolding(request))
      return true
    }
    for (const request of admitted) this.holding.settle(request.tokens, 0)
    this.waiting.requeue(admitted)
    if (outcome.kind !== 'conflict') this.serveFromHolding()
    return outcome.kind === 'conflict'
  }

  private noteOutcome(plan: WritePlan, outcome: RowWriteOutcome, sentAt: Milliseconds): void {
    const { sequence } = plan.holder
    if (outcome.kind === 'done') {
      this.parts.storeClock.recordAnswer(outcome.storeTime, sentAt)
      this.view.applyWrite(plan, outcome.version)
      this.noteTakeover(plan)
      this.holding.confirmRow(sequence, outcome.version)
      this.storeHealth.recordSuccess()
      return
    }
    if (outcome.kind === 'conflict') {
      this.parts.storeClock.recordAnswer(outcome.storeTime, sentAt)
      this.holding.withdraw(sequence)
      this.view.applyConflict(outcome.rows, plan.dependsOnPool)
      this.noteOwnRow()
      this.storeHealth.recordSuccess()
      return
    }
    if (outcome.kind === 'not-done') this.holding.withdraw(sequence)
    if (outcome.kind === 'not-done' && outcome.reason === 'throttled') {
      // The store answers: it needs fewer calls, not a question whether it is back.
      this.storeHealth.recordThrottling()
      return
    }
    this.storeHealth.recordFailure(outcome.kind === 'not-done' ? outcome.reason : 'no answer')
  }

  private noteTakeover({ takeover }: WritePlan): void {
    if (takeover === undefined) return
    this.report.emitEvent('prepaid_taken_over', { ...takeover })
    this.parts.onTakeover?.(this.parts.budget, takeover)
  }

  private async reload(): Promise<boolean> {
    const isReached = await this.storeHealth.timed(this.read())
    if (!isReached) this.serveFromHolding()
    return isReached
  }

  /** Reads all rows of the budget; false where the store did not give them. */
  private async read(): Promise<boolean> {
    const sentAt = this.parts.clock.monotonic()
    const outcome = await this.parts.store.readPartition(PREPAID_TABLE, this.parts.budget)
    if (outcome.kind === 'failed') {
      this.storeHealth.recordFailure(outcome.reason)
      return false
    }
    this.parts.storeClock.recordAnswer(outcome.storeTime, sentAt)
    this.applyRows(outcome.rows, true)
    this.noteOwnRow()
    this.storeHealth.recordSuccess()
    return true
  }

  /** The own row shows which of the unresolved writes took effect. */
  private noteOwnRow(): void {
    const row = this.view.ownHolder
    if (row === undefined) return
    if (row.incarnation === this.parts.incarnation) {
      this.holding.confirmRow(row.sequence, this.view.ownVersion)
      return
    }
    if (!this.holding.isRegistered) return
    this.holding.invalidate()
    this.report.emitEvent('prepaid_holding_lost', {})
  }

  /** What the row that the next write replaces grants to this incarnation. */
  private get grantedInStore(): TokenCount {
    const row = this.view.ownHolder
    return row?.incarnation === this.parts.incarnation ? row.granted : 0
  }

  private writeInputs(requests: readonly TokenCount[]): WriteInputs {
    const { instance, incarnation, storeClock, startedAt } = this.parts
    return {
      pool: this.view.pool,
      previous: this.view.ownHolder,
      incarnation,
      instance,
      limit: this.limit ?? 0,
      configurationVersion: this.configurationVersion,
      granted: this.grantedInStore,
      committed: this.holding.committed,
      reserved: this.holding.reserved,
      sequence: Math.max(this.holding.lastSequence, this.view.ownHolder?.sequence ?? 0) + 1,
      requests,
      storeTime: storeClock.lowerBound ?? 0,
      diedBefore: storeClock.upperBoundAt(startedAt),
      policy: this.parts.policy,
      recordMilliseconds: this.parts.recordMilliseconds(),
      spendingPerSecond: this.spending.perSecond,
      budgetView: this.budgetView(),
      othersWant: this.view.wantedByOthers(instance),
    }
  }

  /** Tokens in the pool as far as known here; before there is a pool row all of them. */
  private get free(): TokenCount {
    const { pool } = this.view
    return pool === undefined ? Math.max(this.limit ?? 0, 0) : freeInPool(pool)
  }

  private budgetView(): BudgetView {
    return {
      free: this.free,
      ownUnspent: this.holding.unspent,
      ownDemandPerSecond: this.demand.perSecond,
      others: this.view.othersOf(this.others),
      isStandby: !this.parts.isActive(),
      largestRequest: this.largest,
    }
  }

  /** Takes the requests that the plan covers out of the queue and commits their tokens. */
  private takeAdmitted(plan: WritePlan): readonly WaitingRequest[] {
    const admitted = this.waiting.removeAt(plan.admitted)
    for (const request of admitted) this.holding.commit(request.tokens)
    return admitted
  }

  /** After a write nothing more can be found in the pool: requests that still wait are refused. */
  private refuseUncoverable(): void {
    const reachable = this.holding.unspent + Math.max(0, freeInPool(this.view.pool ?? NO_POOL))
    const hopeless = this.waiting.removeWhere(request => request.tokens > reachable)
    for (const request of hopeless) request.finish(this.refused(request.tokens))
  }

  private transactionOf(plan: WritePlan): RowTransaction {
    const own = this.addressOf(holderKey(this.parts.instance))
    const pool = this.addressOf(POOL_KEY)
    const conditions = [{ ...own, version: this.view.ownVersion }]
    const puts = [{ ...own, value: holderRowCodec.encode(plan.holder) }]
    if (plan.dependsOnPool) conditions.push({ ...pool, version: this.view.poolVersion })
    if (plan.changesPool) puts.push({ ...pool, value: poolRowCodec.encode(plan.pool) })
    return { conditions, puts, removals: [] }
  }

  private async leaveOnce(): Promise<boolean> {
    if (!(await this.reload())) return false
    const own = this.view.ownHolder
    const { pool } = this.view
    if (pool === undefined || own?.incarnation !== this.parts.incarnation) return true
    const ended = poolRowCodec.encode(endHolding(pool, own, this.holding.committed))
    const ownAddress = this.addressOf(holderKey(this.parts.instance))
    const poolAddress = this.addressOf(POOL_KEY)
    const conditions = [
      { ...ownAddress, version: this.view.ownVersion },
      { ...poolAddress, version: this.view.poolVersion },
    ]
    const puts = [{ ...poolAddress, value: ended }]
    const outcome = await this.parts.store.write({ conditions, puts, removals: [ownAddress] })
    return outcome.kind === 'done'
  }

  private addressOf(key: string): RowAddress {
    return { table: PREPAID_TABLE, partition: this.parts.budget, key }
  }

  /** Until the store answers again, requests can be given no more than is held. */
  private serveFromHolding(): void {
    for (const request of this.waiting.removeAll()) this.finishFromHolding(request)
  }

  /** A request that has gone meanwhile gives its tokens back. */
  private finishWritten(request: WaitingRequest): void {
    if (request.isAnswered) this.holding.settle(request.tokens, 0)
    else request.finish(this.reserved(request.tokens, 'written'))
  }

  private finishFromHolding(request: WaitingRequest): void {
    const { tokens } = request
    if (this.isClosed || tokens > this.holding.allowance)
      return request.finish(this.refused(tokens))
    this.holding.commit(tokens)
    request.finish(this.reserved(tokens, 'held'))
  }

  private reserved(tokens: TokenCount, path: string): ReservedOutcome {
    this.spending.add(tokens)
    const reservation = { budget: this.parts.budget, tokens, loans: [] }
    return { kind: 'reserved', reservation, path }
  }

  private refused(tokens: TokenCount): RefusedOutcome {
    const left = Math.max(0, this.free) + this.holding.unspent + this.view.unspentOf(this.others)
    const isKnown = this.view.isLoaded && !this.storeHealth.isUnavailable
    const reason = isKnown && tokens > left ? 'exhausted' : 'unavailable'
    const waitMilliseconds = this.holding.waitFor(tokens)
    return { kind: 'refused', reason, waitMilliseconds, lenders: [] }
  }
}

const NO_POOL: PoolRow = { limit: 0, configurationVersion: 0, settled: 0, allocated: 0 }
