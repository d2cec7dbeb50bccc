/**
 * One budget on one instance: reserves and settles tokens and keeps the rows in the store accurate.
 * Owns the requests that wait for a write, and the write in progress. Uses HoldingState for what
 * may be spent, PartitionView for what the other instances hold, and writePlan for the content of
 * the next write.
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

/** Dependencies of a `PrepaidAccount`. */
export interface PrepaidAccountParts {
  readonly budget: string
  readonly instance: string
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  /** Monotonic time at which this process started; its predecessor had terminated by then. */
  readonly startedAt: Milliseconds
  readonly policy: HoldingPolicy
  /**
   * Whether the directory sends callers here; a standby instance holds tokens for observed demand
   * only.
   */
  readonly isActive: () => boolean
  /** Other instances to which callers are sent. */
  readonly otherInstances: () => readonly string[]
  /** Maximum time between two writes while tokens are being spent. */
  readonly recordMilliseconds: () => Milliseconds
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** Called when the holding of a terminated incarnation was ended. */
  readonly onTakeover?: (budget: string, takeover: Takeover) => void
  /** Called for a malformed row of the budget; the row is ignored. */
  readonly onMalformedRow: (row: RowAddress) => void
}

/** Time between two attempts to give back the whole holding at a planned stop. */
const LEAVE_RETRY_MILLISECONDS = 120
/** Budgets without spending are recorded this many times less often. */
const IDLE_FACTOR = 4
/** Share of the time between two records after which a holding may be adjusted. */
const ADJUST_SHARE = 0.25
/** Factor by which the largest request seen decays with each request. */
const LARGEST_DECAY = 0.98
/**
 * Age of the rows at which a standby instance reads them again before a write. The holdings and
 * demand of others decide how much it holds; whether the pool has enough tokens is verified by each
 * write itself.
 */
const STANDBY_STALENESS_MILLISECONDS = 1_000
/**
 * Demand in tokens per second below which a standby instance requests no holding, since rows round
 * demand to integers.
 */
const LEAST_DEMAND_PER_SECOND = 1
/**
 * Maximum number of attempts to give back the whole holding at a planned stop; the grace period may
 * end them earlier.
 */
const LEAVE_ATTEMPTS = 12

/** One budget on one instance. */
export class PrepaidAccount implements LendingAccount {
  private readonly holding: HoldingState
  /** Tokens that callers request, including refused ones. */
  private readonly demand: DemandMeter
  /** Tokens that are committed. */
  private readonly spending: DemandMeter
  private readonly view: PartitionView
  private limit: TokenCount | undefined
  private configurationVersion = 0
  private readonly waiting: WaitingRequests
  private writing: Promise<void> | undefined
  private readonly storeHealth: StoreHealth
  private largestRequest: TokenCount = 0
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

  /** Sets the limit of the budget as given by this version of the configuration. */
  setLimit(limit: TokenCount, configurationVersion: number): void {
    if (configurationVersion < this.configurationVersion) return
    this.configurationVersion = configurationVersion
    if (this.limit === limit) return
    this.limit = limit
    if (this.parts.isActive()) this.startWrite()
  }

  /** Applies rows of this partition; with `isWhole`, they are all rows of the partition. */
  observe(rows: readonly RowUpdate[], isWhole: boolean): void {
    this.applyRows(rows, isWhole)
    this.noteOwnRow()
  }

  /** Reserves tokens, waiting at most `patience` for the store. */
  reserve(tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    this.recordDemand(tokens)
    return this.reserveLocally(tokens, patience)
  }

  /** Records that a caller of this instance requests tokens, whichever instance holds them. */
  recordDemand(tokens: TokenCount): void {
    this.demand.add(tokens)
    this.largestRequest = Math.max(tokens, this.largestRequest * LARGEST_DECAY)
  }

  /** Whether this holding, or a transaction with the pool, is likely to cover the tokens. */
  isLikelyToCover(tokens: TokenCount): boolean {
    return this.view.pool === undefined || tokens <= this.reachable
  }

  /**
   * Commits the tokens that may be committed without a write, at most `tokens`, and returns how
   * many.
   */
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

  /** Instances to ask for tokens of this budget, the most likely lenders first. */
  get lenders(): readonly string[] {
    return budgetLenders(this.view.lenders, this.others, this.report.rowsAge)
  }

  /**
   * Reserves tokens out of this holding without counting them as demand of this instance's callers.
   */
  reserveLocally(tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    if (!this.isClosed && tokens <= this.holding.allowance) {
      this.holding.commit(tokens)
      return Promise.resolve(this.reserved(tokens, 'held'))
    }
    if (this.storeHealth.isUnavailable || this.isClosed)
      return Promise.resolve(this.refused(tokens))
    if (this.storeHealth.isSlowerThan(patience)) {
      // The write that would cover this request raises the holding for later requests.
      this.startWrite()
      return Promise.resolve(this.refused(tokens))
    }
    // The request is answered within its patience even if the write that covers it hangs.
    const outcome = this.waiting.add(tokens, patience, request => this.finishFromHolding(request))
    this.startWrite()
    return outcome
  }

  /** Ends a reservation: tokens that were committed here but not handed out become free again. */
  settle(committed: TokenCount, spent: TokenCount): void {
    const handedOut = Math.min(spent, committed)
    this.holding.settle(committed, handedOut)
    this.spending.add(handedOut - committed)
  }

  /** Subtracts tokens that a caller requested but did not need from the demand. */
  subtractDemand(tokens: TokenCount): void {
    this.demand.add(-tokens)
  }

  /** Records, takes and gives back tokens when due; called a few times per second. */
  maintain(): void {
    if (this.isWriteDue()) this.startWrite()
    this.report.reportEndedShortage()
  }

  /** The number of instances that share the budget, including this one. */
  get sharers(): number {
    return this.others.length + 1
  }

  /** Whether callers of this instance are being refused tokens that exist. */
  get isShort(): boolean {
    return this.report.isShort
  }

  /**
   * Records that a caller was refused tokens that other instances hold or that cannot be reached.
   */
  recordRefusal(): void {
    this.report.recordRefusal()
  }

  /**
   * Whether the last call to the store failed; nothing is written until the store answers a probe.
   */
  get isStoreFailing(): boolean {
    return this.storeHealth.isFailing && !this.isClosed
  }

  /** Probes an unreachable store with a read; returns true if it answered. */
  async probe(): Promise<boolean> {
    const isReached = await this.read()
    if (isReached) this.startWrite()
    return isReached
  }

  /**
   * Settles what was spent and gives back the rest; returns true once the store has recorded it.
   */
  async leave(): Promise<boolean> {
    this.isClosed = true
    await this.writing
    // Without this step, a request whose write met a conflict would be served from the holding
    // after the holding was given back.
    for (const request of this.waiting.removeAll()) request.finish(this.refused(request.tokens))
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt += 1) {
      if (await this.leaveOnce()) return true
      await sleep(this.parts.clock, LEAVE_RETRY_MILLISECONDS)
    }
    return false
  }

  /** Returns the state of the budget as this instance knows it, for decision records and logs. */
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

  /** Tokens that this holding could commit, including by a transaction if the store answers. */
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
    // If many instances share a budget, adjusting holdings at every check would only cause write
    // conflicts.
    return age > period * ADJUST_SHARE && wouldChangePool(this.writeInputs([]))
  }

  /**
   * Whether callers request tokens here. Other instances learn of this demand only through the
   * holder row, also while loans cover it.
   */
  private get hasCallers(): boolean {
    return this.demand.perSecond >= LEAST_DEMAND_PER_SECOND
  }

  /** Whether an earlier incarnation left a holding, which only this incarnation can free. */
  private get hasPredecessor(): boolean {
    const row = this.view.ownHolder
    return row !== undefined && row.incarnation !== this.parts.incarnation
  }

  private startWrite(): void {
    // A row in flight limits what may be spent, so an unreachable store is probed with reads.
    if (this.writing !== undefined || this.isClosed || this.isStoreFailing) return
    if (this.storeHealth.isThrottled) return
    this.writing = this.writeWhileDue().finally(() => {
      this.writing = undefined
    })
  }

  /**
   * Whether the rows are too old to plan a write: a standby instance does not follow budgets, so it
   * reads the rows first.
   */
  private get hasStaleRows(): boolean {
    return !this.parts.isActive() && (this.report.rowsAge ?? 0) > STANDBY_STALENESS_MILLISECONDS
  }

  private async writeWhileDue(): Promise<void> {
    do {
      const succeeded = await this.writeOnce()
      if (!succeeded) return
    } while (!this.waiting.isEmpty && !this.isClosed)
  }

  /**
   * Does one write, including the read that may have to precede it; returns false if the write
   * should be postponed.
   */
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
      // Requests that arrived while the write was in flight need not wait for another one.
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
      // The store is reachable: it needs fewer calls, so it is not probed.
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

  /** Reads all rows of the budget; returns false if the read failed. */
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

  /** Reads from the own row which of the unresolved writes took effect. */
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

  /** Tokens that the row which the next write replaces grants to this incarnation. */
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

  /**
   * Free tokens in the pool as far as this instance knows; the whole limit before a pool row
   * exists.
   */
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
      largestRequest: this.largestRequest,
    }
  }

  /** Removes the requests that the plan covers from the queue and commits their tokens. */
  private takeAdmitted(plan: WritePlan): readonly WaitingRequest[] {
    const admitted = this.waiting.removeAt(plan.admitted)
    for (const request of admitted) this.holding.commit(request.tokens)
    return admitted
  }

  /**
   * Refuses the waiting requests that exceed both the holding and the pool: right after a write,
   * the pool contains no further tokens.
   */
  private refuseUncoverable(): void {
    const reachable = this.holding.unspent + Math.max(0, freeInPool(this.view.pool ?? NO_POOL))
    const uncoverable = this.waiting.removeWhere(request => request.tokens > reachable)
    for (const request of uncoverable) request.finish(this.refused(request.tokens))
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

  /** Until the store answers again, requests can be granted only tokens that are already held. */
  private serveFromHolding(): void {
    for (const request of this.waiting.removeAll()) this.finishFromHolding(request)
  }

  /**
   * Completes a request that a write covered; if it was answered in the meantime, its tokens become
   * free again.
   */
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
