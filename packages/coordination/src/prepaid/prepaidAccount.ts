/**
 * One prepaid budget on one instance: reserves and settles tokens and writes the rows of the
 * budget. The instance spends tokens locally out of its holding, within the bound that its holder
 * row in the store allows, and takes further tokens from the pool by a transaction. Without the
 * bound, instances without a connection to the store could together spend more than the limit.
 *
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
import { newestLimit } from './provenSpending.js'
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
  /** Id of this run of the instance's process. */
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  /** Monotonic time at which this process started; its predecessor had terminated by then. */
  readonly startedAt: Milliseconds
  readonly policy: HoldingPolicy
  /**
   * Whether the directory sends callers to this instance; a standby instance, to which it sends
   * none, holds tokens only for demand that it observes.
   */
  readonly isActive: () => boolean
  /** Other instances to which callers are sent. */
  readonly otherInstances: () => readonly string[]
  /** Record interval: the maximum time between two writes while tokens are being spent. */
  readonly recordMilliseconds: () => Milliseconds
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** Called after a write has ended the holding of a terminated incarnation. */
  readonly onTakeover?: (budget: string, takeover: Takeover) => void
  /** Called for a malformed row of the budget; the row is ignored. */
  readonly onMalformedRow: (row: RowAddress) => void
}

/** Time between two attempts to give back the whole holding at a planned stop. */
const LEAVE_RETRY_MILLISECONDS = 120
/** Factor on the record interval while the committed tokens do not change. */
const IDLE_FACTOR = 4
/** Share of the record interval after a record before which the holding is not adjusted. */
const ADJUST_SHARE = 0.25
/** Factor by which the size of the largest request seen decays with each request. */
const LARGEST_DECAY = 0.98
/**
 * Age of the rows above which a standby instance reads them again before a write. The holdings and
 * the demand of other instances determine how much a standby instance holds. Whether the pool has
 * enough tokens is verified by the write itself, which is conditional on the pool's version.
 */
const STANDBY_STALENESS_MILLISECONDS = 1_000
/**
 * Demand in tokens per second below which a standby instance without a holding requests none, since
 * rows round demand to integers.
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
  /** Tokens that callers request, including those of refused requests. */
  private readonly demand: DemandMeter
  /** Tokens that are committed, minus those that become free again. */
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

  /**
   * Sets the limit of the budget as given by this version of the configuration; an older version
   * than the current one changes nothing. An active instance writes a changed limit immediately.
   */
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

  /** Reserves tokens for a caller of this instance, waiting at most `patience` for the store. */
  reserve(tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    this.recordDemand(tokens)
    return this.reserveLocally(tokens, patience)
  }

  /** Records that a caller of this instance requests tokens, whichever instance holds them. */
  recordDemand(tokens: TokenCount): void {
    this.demand.add(tokens)
    this.largestRequest = Math.max(tokens, this.largestRequest * LARGEST_DECAY)
  }

  /**
   * Whether this holding, or a transaction with the pool, is likely to cover the tokens; true also
   * before a pool row is known.
   */
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

  /**
   * Commits at most this many tokens for another instance, or for a request that loans complete,
   * and returns how many were committed.
   */
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
      // The request is refused without waiting, but the write raises the holding for later
      // requests.
      this.startWrite()
      return Promise.resolve(this.refused(tokens))
    }
    // The request is answered within its patience even if the write that covers it hangs.
    const outcome = this.waiting.add(tokens, patience, request => this.finishFromHolding(request))
    this.startWrite()
    return outcome
  }

  /** Ends a reservation; tokens committed by this holding but not handed out become free again. */
  settle(committed: TokenCount, spent: TokenCount): void {
    const handedOut = Math.min(spent, committed)
    this.holding.settle(committed, handedOut)
    this.spending.add(handedOut - committed)
  }

  /** Subtracts tokens that a caller requested but did not need from the demand. */
  subtractDemand(tokens: TokenCount): void {
    this.demand.add(-tokens)
  }

  /**
   * Starts a write if one is due, and reports an episode of refusals that has ended; called a few
   * times per second.
   */
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
   * Whether a call to the store has failed since the last successful one, and the account has not
   * left. Nothing is written until the store answers a probe.
   */
  get isStoreFailing(): boolean {
    return this.storeHealth.isFailing && !this.isClosed
  }

  /**
   * Probes a failing store by reading the rows of the budget; if the store answers, starts a write
   * and returns true.
   */
  async probe(): Promise<boolean> {
    const isReached = await this.read()
    if (isReached) this.startWrite()
    return isReached
  }

  /**
   * Settles the committed tokens and gives back the rest of the holding at a planned stop. Returns
   * true once the store holds no row of this incarnation, and false after the last failed attempt.
   */
  async leave(): Promise<boolean> {
    this.isClosed = true
    await this.writing
    // Waiting requests are refused first. Otherwise a request whose write met a conflict would be
    // served from the holding after the holding was given back.
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

  /**
   * The unspent tokens of this holding and, if the store is available, the free ones of the pool.
   */
  private get reachable(): TokenCount {
    const free = this.storeHealth.isUnavailable ? 0 : freeInPool(this.view.pool ?? NO_POOL)
    return this.holding.unspent + Math.max(0, free)
  }

  /** The other instances with which this one shares the budget. */
  private get others(): readonly string[] {
    const requesters = this.view.requestersSince(demandValidSince(this.parts.storeClock.lowerBound))
    return budgetSharers(this.parts.otherInstances(), requesters)
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
   * Whether callers request tokens from this instance. Other instances learn of this demand only
   * from the holder row, even while loans cover the demand.
   */
  private get hasCallers(): boolean {
    return this.demand.perSecond >= LEAST_DEMAND_PER_SECOND
  }

  /**
   * Whether this instance's row belongs to another incarnation, whose holding only a write of this
   * instance can free.
   */
  private get hasPredecessor(): boolean {
    const row = this.view.ownHolder
    return row !== undefined && row.incarnation !== this.parts.incarnation
  }

  private startWrite(): void {
    // A row whose write has no known outcome limits what may be spent, so a failing store is probed
    // with reads only.
    if (this.writing !== undefined || this.isClosed || this.isStoreFailing) return
    if (this.storeHealth.isThrottled) return
    this.writing = this.writeWhileDue().finally(() => {
      this.writing = undefined
    })
  }

  /**
   * Whether the rows are too old to plan a write. Only a standby instance has such rows, since it
   * does not follow the changes of budgets; it reads the rows first.
   */
  private get hasStaleRows(): boolean {
    return !this.parts.isActive() && (this.report.rowsAge ?? 0) > STANDBY_STALENESS_MILLISECONDS
  }

  private async writeWhileDue(): Promise<void> {
    do {
      // Each further write would conflict with a malformed row.
      if (!(await this.writeOnce()) || this.view.isPoolMalformed) return
    } while (!this.waiting.isEmpty && !this.isClosed)
  }

  /**
   * Does one write, including the read that may have to precede it. Returns true after a successful
   * write or a conflict; returns false if the limit is unknown or the read or the write failed, so
   * that no further write follows immediately.
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
      // Requests that arrived while the write was in flight and that the holding now covers need
      // not wait for another write.
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
      // A throttling store is reachable and needs fewer calls, so it is not probed.
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

  /**
   * Learns from the newest known row of this instance which of the unresolved writes took effect.
   * If the row belongs to another incarnation, this incarnation may spend no more tokens.
   */
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

  /** Tokens that this instance's known row grants to this incarnation; 0 without such a row. */
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
      terminatedBefore: storeClock.upperBoundAt(startedAt),
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
   * Refuses the waiting requests that exceed the holding and the pool together. Called right after
   * a write, when the known pool row counts as current.
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

  /**
   * Answers all waiting requests after a failed call: until the store answers again, requests can
   * be granted only tokens that are already held.
   */
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
    const isKnown = this.view.isLoaded && !this.storeHealth.isUnavailable
    const spent = this.view.provenSpentBy(this.parts.incarnation, this.holding.handedOut)
    const left = newestLimit(this.view.pool, this.limit, this.configurationVersion) - spent
    const reason = isKnown && tokens > left ? 'exhausted' : 'unavailable'
    return { kind: 'refused', reason, waitMilliseconds: this.holding.waitFor(tokens), lenders: [] }
  }
}

/** Stands for the pool while no pool row is known; it has no free tokens. */
const NO_POOL: PoolRow = { limit: 0, configurationVersion: 0, settled: 0, allocated: 0 }
