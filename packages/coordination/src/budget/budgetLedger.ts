/**
 * Budgets of the OpenAI-style kind as one incarnation (run of the instance's process) holds them:
 * reserves and settles tokens, takes tokens out of the budget's row and gives them back (an
 * exchange), borrows from peers and lends to them. Owns the allocations and the requests that wait
 * for tokens. Uses the policy for amounts, BudgetStore for the row and the journal for bills.
 */

import { RackwalkError, ResultCode, asId, deferred } from '@rackwalk/shared'
import type {
  BudgetId,
  Clock,
  Deferred,
  IncarnationId,
  Milliseconds,
  RandomSource,
  RegionId,
  TeamId,
  TokenCount,
  TransferId,
} from '@rackwalk/shared'
import type { RowWrite } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import type { Journal, JournalTicket } from '../journal/journal.js'
import type { SettleEntry } from '../journal/journalEntry.js'
import type { PeerChannel, PeerReply, PeerRequest } from '../peerMessages.js'
import { Allocation } from './allocation.js'
import type { Reservation } from './allocation.js'
import type { AllocationPolicy, AllocationView } from './allocationPolicy.js'
import type { BudgetRow } from './budgetRow.js'
import { freeTokens } from './budgetRow.js'
import type { BudgetStore } from './budgetStore.js'

/** Result codes with which a reservation is refused. */
export type ReservationRefusal =
  | ResultCode.BudgetExhausted
  | ResultCode.BudgetUnavailable
  | ResultCode.NoBudget
  | ResultCode.LargerThanBudget

/** A reservation or the reason for refusing it, with the inputs of the decision. */
export type ReservationResult =
  | { readonly kind: 'reserved'; readonly reservation: Reservation; readonly view: AllocationView }
  | {
      readonly kind: 'refused'
      readonly code: ReservationRefusal
      readonly view: AllocationView
    }

/** Dependencies of a `BudgetLedger`. */
export interface BudgetLedgerParts {
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly store: BudgetStore
  readonly journal: Journal
  readonly peers: PeerChannel
  readonly clock: Clock
  readonly random: RandomSource
  readonly counters: Counters
  readonly policy: AllocationPolicy
  /** Live incarnations, including this one. */
  readonly liveIncarnations: () => readonly IncarnationId[]
  /** Called once when the row shows that this incarnation was sealed. */
  readonly onSealed: () => void
}

/** A request that waits for tokens. */
interface Waiter {
  readonly tokens: TokenCount
  readonly done: Deferred<ReservationResult>
}

interface BudgetState {
  readonly allocation: Allocation
  row: BudgetRow | undefined
  /** Whether the table reported that the budget does not exist. */
  isAbsent: boolean
  /** Whether an attempt of the open exchange may still take effect. */
  isExchangeUnresolved: boolean
  exchanging: Promise<void> | undefined
  isAcquiring: boolean
  waiters: Waiter[]
  /**
   * Until this time, a request that the available tokens do not cover is refused without a search.
   */
  refuseUntil: Milliseconds
  lastFoldAt: Milliseconds
}

/**
 * How long later requests are refused without a search after an unsuccessful one; ends early when
 * an exchange grants tokens.
 */
const REFUSAL_CACHE_MILLISECONDS = 250
/** Time between searches for tokens while a request waits. */
const SEARCH_INTERVAL_MILLISECONDS = 100
/** Time after the last exchange at which unfolded spending is due to be folded into the row. */
const FOLD_INTERVAL_MILLISECONDS = 30_000
/** Maximum number of peers asked in one search. */
const MAXIMUM_LENDERS = 8
/** Maximum number of lend replies kept for a repeated request of the same transfer. */
const REMEMBERED_LENDS = 10_000

/**
 * The budgets as one incarnation holds them. Tokens are spent only from an allocation that was
 * moved out of the budget's row beforehand (escrow: O'Neil 1986; bounded counters: Balegas et al.
 * 2015). A reservation that the allocation covers therefore needs no other instance, and no network
 * partition can lead to overspending.
 */
export class BudgetLedger {
  private readonly budgets = new Map<BudgetId, BudgetState>()
  private readonly lends = new Map<TransferId, Promise<PeerReply<'lend'>>>()

  constructor(private readonly parts: BudgetLedgerParts) {}

  /**
   * Reserves an upper bound of the request's cost before dispatch, or returns the reason for
   * refusing it.
   */
  async reserve(budgetId: BudgetId, tokens: TokenCount): Promise<ReservationResult> {
    const state = this.stateOf(budgetId)
    const reservation = this.reserveNow(state, tokens)
    if (reservation !== undefined) return reservation
    if (this.parts.clock.monotonic() < state.refuseUntil) return this.refuse(state, tokens)
    const waiter: Waiter = { tokens, done: deferred<ReservationResult>() }
    state.waiters.push(waiter)
    if (!state.isAcquiring) this.acquire(state).catch(error => this.failWaiters(state, error))
    return waiter.done.promise
  }

  /** Lowers a reservation's upper bound once more is known about the request. */
  shrink(reservation: Reservation, tokens: TokenCount): void {
    const state = this.stateOf(reservation.budgetId)
    state.allocation.shrink(reservation, tokens)
    this.serveWaiters(state)
  }

  /** Frees the reservation of a request that was not dispatched. */
  release(reservation: Reservation): void {
    const state = this.stateOf(reservation.budgetId)
    state.allocation.release(reservation)
    this.serveWaiters(state)
  }

  /**
   * Appends a bill to the journal and settles the reservation, in one step. Bills at most the
   * reserved tokens.
   */
  settle(reservation: Reservation, entry: SettleEntry, attachment?: RowWrite): JournalTicket {
    const state = this.stateOf(reservation.budgetId)
    const billedTokens = Math.min(entry.billedTokens, reservation.tokens)
    if (billedTokens < entry.billedTokens) this.parts.counters.increment('budget_bound_exceeded')
    const ticket = this.parts.journal.append({ entry: { ...entry, billedTokens }, attachment })
    // There must be no `await` between appending and settling: an exchange that folds through this
    // index must include the spending.
    const now = this.parts.clock.monotonic()
    state.allocation.settle(reservation, billedTokens, ticket.index, now)
    this.serveWaiters(state)
    return ticket
  }

  /**
   * Answers a peer's request for tokens; a repeated request of the same transfer gets the same
   * answer.
   */
  lend(request: PeerRequest<'lend'>): Promise<PeerReply<'lend'>> {
    const known = this.lends.get(request.transferId)
    if (known !== undefined) return known
    const reply = this.lendOnce(request)
    this.lends.set(request.transferId, reply)
    this.forgetOldLends()
    return reply
  }

  /**
   * Runs an exchange for each budget whose allocation has to be refilled, given back or folded, or
   * whose last exchange is unresolved; called about once per second.
   */
  async maintain(): Promise<void> {
    for (const state of [...this.budgets.values()]) {
      if (this.needsExchange(state)) await this.exchange(state, this.wantedInBackground(state))
    }
  }

  /**
   * Requests a first allocation of each budget whose row was not read yet, so that tokens are
   * available if the table fails later.
   */
  async preallocate(budgetIds: readonly BudgetId[]): Promise<void> {
    for (const budgetId of budgetIds) {
      const state = this.stateOf(budgetId)
      if (state.row !== undefined) continue
      await this.readRow(state)
      await this.exchange(state, this.parts.policy.target(this.viewOf(state)))
    }
  }

  /** Folds all durable spending and gives back all available tokens, for a planned stop. */
  async returnAll(): Promise<void> {
    for (const state of this.budgets.values()) {
      await this.exchange(state, 0, state.allocation.available)
    }
  }

  /** Returns the team that owns a budget; undefined until the budget's row was read. */
  teamOf(budgetId: BudgetId): TeamId | undefined {
    return this.stateOf(budgetId).row?.teamId
  }

  /** Returns this instance's view of a budget. */
  inspect(budgetId: BudgetId): AllocationView {
    return this.viewOf(this.stateOf(budgetId))
  }

  /** The budgets that this incarnation has used or inspected, whether or not it holds tokens. */
  get heldBudgets(): readonly BudgetId[] {
    return [...this.budgets.keys()]
  }

  private reserveNow(state: BudgetState, tokens: TokenCount): ReservationResult | undefined {
    if (state.waiters.length > 0) return undefined
    return this.tryReserve(state, tokens)
  }

  private tryReserve(state: BudgetState, tokens: TokenCount): ReservationResult | undefined {
    const view = this.viewOf(state)
    const reservation = state.allocation.reserve(tokens, this.parts.clock.monotonic())
    return reservation && { kind: 'reserved', reservation, view }
  }

  /**
   * Searches for tokens until every waiting request is served, none of them can be covered, or the
   * policy's patience has passed; then refuses the rest. The first search always runs to its end.
   */
  private async acquire(state: BudgetState): Promise<void> {
    state.isAcquiring = true
    const giveUpAt = this.parts.clock.monotonic() + this.parts.policy.patienceMilliseconds
    try {
      for (;;) {
        await this.search(state)
        if (state.waiters.length === 0) return
        if (this.isUncoverable(state) || this.parts.clock.monotonic() >= giveUpAt) break
        await this.pause(SEARCH_INTERVAL_MILLISECONDS)
        this.serveWaiters(state)
      }
    } finally {
      state.isAcquiring = false
    }
    state.refuseUntil = this.parts.clock.monotonic() + REFUSAL_CACHE_MILLISECONDS
    this.refuseWaiters(state)
  }

  /** Requests tokens from the row first, then from peers, the largest allocation first. */
  private async search(state: BudgetState): Promise<void> {
    if (state.row === undefined) await this.readRow(state)
    await this.exchange(
      state,
      this.parts.policy.tokensToRequest(this.viewOf(state), this.missing(state)),
    )
    this.serveWaiters(state)
    // Tokens that cannot cover any waiting request stay with the peers, which can use them.
    if (this.isUncoverable(state)) return
    for (const lender of this.lendersOf(state)) {
      const missing = this.missing(state)
      if (missing <= 0) return
      await this.borrow(
        state,
        lender,
        this.parts.policy.tokensToBorrow(this.viewOf(state), missing),
      )
      this.serveWaiters(state)
    }
  }

  /** Reads the row, which the policy needs in order to size an allocation. */
  private async readRow(state: BudgetState): Promise<void> {
    try {
      state.row = await this.parts.store.read(state.allocation.budgetId)
      state.isAbsent = state.row === undefined
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  /**
   * Returns the live holders by the row as last read, the largest allocation first; none if this
   * incarnation has no holding itself.
   */
  private lendersOf(state: BudgetState): readonly IncarnationId[] {
    if (!state.allocation.isHolder) return []
    const allocatedTo = (peer: IncarnationId) => state.row?.holders[peer]?.allocated ?? 0
    return this.parts
      .liveIncarnations()
      .filter(peer => peer !== this.parts.incarnation && allocatedTo(peer) > 0)
      .sort((left, right) => allocatedTo(right) - allocatedTo(left))
      .slice(0, MAXIMUM_LENDERS)
  }

  private async borrow(state: BudgetState, lender: IncarnationId, tokens: TokenCount) {
    const transferId = asId<TransferId>(this.parts.random.uniqueId())
    const { budgetId } = state.allocation
    const request = { transferId, budgetId, borrower: this.parts.incarnation, tokens }
    state.allocation.beginBorrowing(transferId)
    for (let attempt = 0; attempt < 2; attempt += 1) {
      try {
        const reply = await this.parts.peers.call(lender, 'lend', request)
        state.allocation.finishBorrowing(transferId, reply.tokens)
        this.parts.counters.increment('budget_tokens_borrowed', reply.tokens)
        return
      } catch {
        // The answer may have been lost after the lender's debit, so the request is repeated once
        // with the same id.
      }
    }
    state.allocation.abandonBorrowing(transferId)
  }

  private async lendOnce(request: PeerRequest<'lend'>): Promise<PeerReply<'lend'>> {
    const state = this.budgets.get(request.budgetId)
    if (state === undefined || !this.parts.journal.hasRoom) return { tokens: 0 }
    const permitted = this.parts.policy.tokensToLend(this.viewOf(state), request.tokens)
    const tokens = Math.max(0, Math.min(permitted, state.allocation.available))
    if (tokens === 0) return { tokens: 0 }
    const ticket = this.journalLend(state, request, tokens)
    // The borrower may spend the tokens only once the journal entry would survive a crash of this
    // instance.
    await ticket.durableOrHeld
    this.parts.counters.increment('budget_tokens_lent', tokens)
    return { tokens }
  }

  private journalLend(state: BudgetState, request: PeerRequest<'lend'>, tokens: TokenCount) {
    const { budgetId, transferId, borrower } = request
    const ticket = this.parts.journal.append({
      entry: { kind: 'lend', budgetId, transferId, borrower, tokens },
    })
    state.allocation.lend(tokens)
    state.allocation.noteLent(tokens, borrower, ticket.index)
    return ticket
  }

  private needsExchange(state: BudgetState): boolean {
    if (state.allocation.openExchange !== undefined) return true
    const view = this.viewOf(state)
    if (this.wantedInBackground(state) > 0 || this.parts.policy.tokensToReturn(view) > 0)
      return true
    const isFoldDue = this.parts.clock.monotonic() - state.lastFoldAt > FOLD_INTERVAL_MILLISECONDS
    return isFoldDue && state.allocation.unfoldedTokens > 0
  }

  /**
   * Returns the tokens to request in the background. An allocation is refilled to its target once
   * less than half of the target is available, so that the tokens arrive before they are needed.
   */
  private wantedInBackground(state: BudgetState): TokenCount {
    const view = this.viewOf(state)
    const target = this.parts.policy.target(view)
    const isLow = state.row !== undefined && view.free > 0 && view.available < target / 2
    return isLow ? target - view.available : 0
  }

  /** Runs one exchange at a time per budget; other callers wait for it, then run their own. */
  private async exchange(state: BudgetState, wanted: TokenCount, returned?: TokenCount) {
    while (state.exchanging !== undefined) await state.exchanging
    state.exchanging = this.exchangeInTurn(state, wanted, returned).finally(() => {
      state.exchanging = undefined
    })
    await state.exchanging
  }

  /**
   * Resolves an exchange whose answer was lost before the next one, since it may still take effect.
   */
  private async exchangeInTurn(state: BudgetState, wanted: TokenCount, returned?: TokenCount) {
    if (state.allocation.openExchange !== undefined) await this.exchangeOnce(state, 0, 0)
    if (state.allocation.openExchange !== undefined) return
    await this.exchangeOnce(state, wanted, returned)
  }

  private async exchangeOnce(state: BudgetState, wanted: TokenCount, returned?: TokenCount) {
    if (this.parts.journal.sealed) return
    const { allocation } = state
    const givenBack =
      returned ?? (wanted > 0 ? 0 : this.parts.policy.tokensToReturn(this.viewOf(state)))
    const durableIndex = this.parts.journal.durableIndex
    const request = allocation.beginExchange(durableIndex, Math.max(0, wanted), givenBack)
    const outcome = await this.parts.store.exchange(
      allocation.budgetId,
      request,
      state.isExchangeUnresolved,
    )
    this.parts.counters.increment('budget_exchanges')
    state.isExchangeUnresolved = outcome.kind === 'lost'
    if (outcome.kind === 'applied') this.noteApplied(state, outcome.row)
    if (outcome.kind === 'unsent') allocation.cancelExchange()
    if (outcome.kind === 'needless') this.applyNoOpExchange(state, outcome.row)
    if (outcome.kind === 'lost') this.parts.counters.increment('budget_exchange_unresolved')
    if (outcome.kind === 'gone') this.applyBudgetDeletion(state)
    if (outcome.kind === 'sealed') this.noteSealed()
  }

  private noteApplied(state: BudgetState, row: BudgetRow): void {
    state.row = row
    state.lastFoldAt = this.parts.clock.monotonic()
    const holding = row.holders[this.parts.incarnation]
    if (holding === undefined) return
    const returned = state.allocation.openExchange?.returned ?? 0
    state.allocation.finishExchange(holding)
    this.parts.counters.increment('budget_tokens_granted', holding.lastGranted)
    this.parts.counters.increment('budget_tokens_returned', returned)
    if (holding.lastGranted > 0) state.refuseUntil = 0
  }

  private applyNoOpExchange(state: BudgetState, row: BudgetRow): void {
    state.allocation.cancelExchange()
    state.row = row
    // Borrowed tokens whose answer was lost are credited here; otherwise they would stay unused in
    // the row.
    const holding = row.holders[this.parts.incarnation]
    if (holding !== undefined) state.allocation.reconcile(holding)
  }

  private applyBudgetDeletion(state: BudgetState): void {
    state.allocation.cancelExchange()
    state.row = undefined
    state.isAbsent = true
  }

  private noteSealed(): void {
    this.parts.journal.markSealed()
    this.parts.onSealed()
  }

  private missing(state: BudgetState): TokenCount {
    const waiting = state.waiters.reduce((sum, waiter) => sum + waiter.tokens, 0)
    return Math.max(0, waiting - state.allocation.available)
  }

  /**
   * Serves waiting requests in order of arrival, but a large request does not block smaller ones
   * that fit.
   */
  private serveWaiters(state: BudgetState): void {
    state.waiters = state.waiters.filter(waiter => {
      const result = this.tryReserve(state, waiter.tokens)
      if (result !== undefined) waiter.done.resolve(result)
      return result === undefined
    })
  }

  /**
   * Whether no waiting request could be covered even if this incarnation got all tokens of the
   * budget that are not known to be spent.
   */
  private isUncoverable(state: BudgetState): boolean {
    const left = this.leftInBudget(state)
    return state.waiters.every(waiter => waiter.tokens > left)
  }

  private leftInBudget(state: BudgetState): TokenCount {
    const { row, allocation } = state
    if (row === undefined || row.deleted) return 0
    return Math.max(0, row.limit - row.settled - allocation.unfoldedSpending)
  }

  private refuseWaiters(state: BudgetState): void {
    const refused = state.waiters
    state.waiters = []
    for (const waiter of refused) waiter.done.resolve(this.refuse(state, waiter.tokens))
  }

  private failWaiters(state: BudgetState, error: unknown): void {
    const failed = state.waiters
    state.waiters = []
    for (const waiter of failed) waiter.done.reject(error as Error)
  }

  private refuse(state: BudgetState, tokens: TokenCount): ReservationResult {
    this.parts.counters.increment('budget_refusals')
    return { kind: 'refused', code: this.refusalCode(state, tokens), view: this.viewOf(state) }
  }

  private refusalCode(state: BudgetState, tokens: TokenCount): ReservationRefusal {
    if (state.row === undefined) {
      return state.isAbsent ? ResultCode.NoBudget : ResultCode.BudgetUnavailable
    }
    const left = this.leftInBudget(state)
    if (left <= 0) return ResultCode.BudgetExhausted
    return tokens > left ? ResultCode.LargerThanBudget : ResultCode.BudgetUnavailable
  }

  private viewOf(state: BudgetState): AllocationView {
    const { allocation, row } = state
    const now = this.parts.clock.monotonic()
    return {
      limit: row?.limit ?? 0,
      settled: row?.settled ?? 0,
      free: row === undefined ? 0 : freeTokens(row),
      available: allocation.available,
      reserved: allocation.reserved,
      grantedTotal: allocation.grantedTotal,
      ratePerSecond: allocation.ratePerSecond(now),
      idleMilliseconds: now - allocation.lastUsedAt,
      instances: this.parts.liveIncarnations().length,
    }
  }

  private stateOf(budgetId: BudgetId): BudgetState {
    const known = this.budgets.get(budgetId)
    if (known !== undefined) return known
    const allocation = new Allocation(budgetId, this.parts.incarnation, this.parts.region)
    const state: BudgetState = {
      allocation,
      row: undefined,
      isAbsent: false,
      isExchangeUnresolved: false,
      exchanging: undefined,
      isAcquiring: false,
      waiters: [],
      refuseUntil: 0,
      lastFoldAt: this.parts.clock.monotonic(),
    }
    this.budgets.set(budgetId, state)
    return state
  }

  private pause(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => this.parts.clock.after(duration, resolve))
  }

  private forgetOldLends(): void {
    for (const transfer of this.lends.keys()) {
      if (this.lends.size <= REMEMBERED_LENDS) return
      this.lends.delete(transfer)
    }
  }
}
