/**
 * All prepaid budgets on one instance. A prepaid budget is divided into a pool in the store and the
 * holdings of instances, out of which requests are served without a call to the store.
 *
 * Owns an account per budget, and decides for each request whether it is covered by this instance's
 * holding, by a write that takes tokens from the pool, or by loans from other instances. The
 * accounts, the borrower and the lender carry this out.
 */

import { recordInterval } from '@rackwalk/decisions'
import type { HoldingPolicy } from '@rackwalk/decisions'
import { groupBy, repeat } from '@rackwalk/shared'
import type { Clock, Milliseconds, Timer, TokenCount } from '@rackwalk/shared'
import type { ChangedRow, RowAddress, RowStore } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { Borrower } from './borrower.js'
import type { LenderAnswer } from './borrower.js'
import { Lender } from './lender.js'
import type { LoanChannel } from './loan.js'
import { PrepaidAccount } from './prepaidAccount.js'
import type { Takeover } from './takeover.js'
import type {
  PrepaidOutcome,
  PrepaidReservation,
  RefusedOutcome,
  ReservedOutcome,
} from './prepaidOutcome.js'

/** Dependencies of a `PrepaidLedger`. */
export interface PrepaidLedgerParts {
  readonly instance: string
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  readonly startedAt: Milliseconds
  readonly policy: HoldingPolicy
  /** Whether callers are sent to this instance. */
  readonly isActive: () => boolean
  /**
   * Other instances to which callers are sent; further instances that use a budget are known from
   * its rows.
   */
  readonly otherInstances: () => readonly string[]
  readonly limits: LedgerLimits
  /** Reaches other instances; without it, this instance does not borrow. */
  readonly loanChannel?: LoanChannel
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
  /** Called after a write has ended the holding of a terminated incarnation. */
  readonly onTakeover?: (budget: string, takeover: Takeover) => void
  /** Called for a malformed row; the row is ignored and the last valid version is kept. */
  readonly onMalformedRow: (row: RowAddress) => void
}

/**
 * The write rates that the store can take, which determine how often holdings are recorded, and the
 * reserve of each budget.
 */
export interface LedgerLimits {
  /** Writes per second over all budgets. */
  readonly writesPerSecond: number
  /** Writes per second of one budget, which is one partition. */
  readonly partitionWritesPerSecond: number
  /** Share of a prepaid limit that is never handed out, as a margin for counting errors. */
  readonly reserveShare: number
}

/** A budget as given by the configuration. */
export interface PrepaidLimit {
  readonly budget: string
  readonly limit: TokenCount
}

/** Time between two maintenance checks. */
const MAINTENANCE_PERIOD_MILLISECONDS = 125
/** Maintenance checks between two updates of the record interval. */
const TICKS_PER_UPDATE = 4
/**
 * Maximum time that a request waits for this instance's part of the tokens before the rest is
 * borrowed, and time of borrowing after which no further lender is asked.
 */
const BORROW_MILLISECONDS = 60

/** The result of asking other instances. */
interface BorrowingOutcome {
  /** Undefined if this holding and the loans do not cover the request. */
  readonly reserved?: ReservedOutcome
  readonly answers: readonly LenderAnswer[]
}

function reservedBy(reservation: PrepaidReservation, path: string): BorrowingOutcome {
  return { reserved: { kind: 'reserved', reservation, path }, answers: [] }
}

/** All prepaid budgets on one instance. */
export class PrepaidLedger {
  private readonly accounts = new Map<string, PrepaidAccount>()
  private readonly borrower: Borrower | undefined
  /** Lends to other instances out of this instance's holdings. */
  readonly lender = new Lender(budget => this.accounts.get(budget))
  private timer: Timer | undefined
  private probeTurn = 0
  private recordPeriod: Milliseconds = 0
  /** Maintenance checks until the next update of the record interval. */
  private ticksUntilUpdate = 0

  constructor(private readonly parts: PrepaidLedgerParts) {
    const { loanChannel, clock, incarnation } = parts
    this.borrower = loanChannel && new Borrower({ channel: loanChannel, clock, incarnation })
    this.updateRecordInterval()
  }

  /**
   * Sets the limits of these budgets. A known budget that is not listed keeps its limit, since its
   * rows still count.
   */
  configure(limits: readonly PrepaidLimit[], configurationVersion: number): void {
    for (const { budget, limit } of limits) {
      const usable = Math.floor(limit * (1 - this.parts.limits.reserveShare))
      this.accountOf(budget).setLimit(usable, configurationVersion)
    }
  }

  /** Names of all budgets that this instance has an account for, each a partition of the table. */
  get budgets(): readonly string[] {
    return [...this.accounts.keys()]
  }

  /** Applies rows of known budgets; with `isWhole`, they are all rows of their budgets. */
  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const [budget, budgetRows] of groupBy(rows, row => row.partition)) {
      this.accounts.get(budget)?.observe(budgetRows, isWhole)
    }
  }

  /**
   * Reserves tokens from this instance's holding, by a transaction, or from other instances.
   *
   * If the holding or the pool is likely to cover the tokens, the request waits at most `patience`
   * for a transaction before other instances are asked. If their loans do not cover the request, it
   * waits for a transaction again until `lastPatience` has passed since the call, unless the budget
   * is exhausted. Otherwise other instances are asked first, and the request then waits for a
   * transaction until `patience` has passed since the call.
   */
  async reserve(
    budget: string,
    tokens: TokenCount,
    patience: Milliseconds,
    lastPatience: Milliseconds = patience,
  ): Promise<PrepaidOutcome> {
    const account = this.accountOf(budget)
    const startedAt = this.parts.clock.monotonic()
    if (account.isLikelyToCover(tokens)) {
      const outcome = await account.reserve(tokens, patience)
      if (outcome.kind === 'reserved') return outcome
      const { reserved, answers } = await this.borrow(account, budget, tokens)
      if (reserved !== undefined) return reserved
      const last = await this.awaitPoolWrite(account, tokens, outcome, startedAt + lastPatience)
      return last.kind === 'reserved' ? last : this.refuse(account, last, answers)
    }
    account.recordDemand(tokens)
    const { reserved, answers } = await this.borrow(account, budget, tokens)
    if (reserved !== undefined) return reserved
    const left = Math.max(0, startedAt + patience - this.parts.clock.monotonic())
    const outcome = await account.reserveLocally(tokens, left)
    return outcome.kind === 'reserved' ? outcome : this.refuse(account, outcome, answers)
  }

  /** Number of budgets whose callers are being refused tokens that exist. */
  get shortBudgets(): number {
    return [...this.accounts.values()].filter(account => account.isShort).length
  }

  /**
   * Ends a reservation; tokens that were not handed out become free again, in this holding and at
   * the lenders. The spent tokens count against this holding first.
   */
  settle(reservation: PrepaidReservation, spent: TokenCount): void {
    const { budget, tokens, loans } = reservation
    const account = this.accounts.get(budget)
    const lent = loans.reduce((sum, loan) => sum + loan.tokens, 0)
    account?.settle(tokens - lent, spent)
    account?.subtractDemand(Math.max(0, tokens - spent))
    let rest = Math.max(0, spent - (tokens - lent))
    for (const loan of loans) {
      const part = Math.min(rest, loan.tokens)
      this.borrower?.repay(budget, loan, part)
      rest -= part
    }
  }

  describe(budget: string): Readonly<Record<string, unknown>> {
    return this.accounts.get(budget)?.describe() ?? {}
  }

  /** Starts the periodic maintenance of all budgets. */
  start(): void {
    const maintain = () => {
      this.updateRecordInterval()
      for (const account of this.accounts.values()) account.maintain()
      this.probeFailing()
    }
    this.timer = repeat(this.parts.clock, () => MAINTENANCE_PERIOD_MILLISECONDS, maintain)
  }

  stop(): void {
    this.timer?.cancel()
  }

  /**
   * Settles all holdings and gives back their unspent tokens at a planned stop; returns false if
   * the store did not accept this for every budget.
   */
  async leave(): Promise<boolean> {
    this.stop()
    const results = await Promise.all([...this.accounts.values()].map(account => account.leave()))
    return results.every(Boolean)
  }

  /**
   * Commits the tokens that this instance's holding covers and borrows the rest from other
   * instances; commits nothing if the loans do not cover the rest.
   */
  private async borrow(
    account: PrepaidAccount,
    budget: string,
    tokens: TokenCount,
  ): Promise<BorrowingOutcome> {
    const { borrower } = this
    const { lenders } = account
    if (borrower === undefined || lenders.length === 0) return { answers: [] }
    const own = await account.lend(tokens, BORROW_MILLISECONDS)
    if (own === tokens) return reservedBy({ budget, tokens, loans: [] }, 'written')
    const missing = tokens - own
    const { loans, answers } = await borrower.borrow(budget, missing, lenders, BORROW_MILLISECONDS)
    if (loans === undefined) {
      account.settle(own, 0)
      return { answers }
    }
    return reservedBy({ budget, tokens, loans }, 'borrowed')
  }

  /**
   * Called after borrowing failed: waits until `endsAt` for a write that may still cover the
   * tokens. Returns the refusal at once if the budget is exhausted, no time is left, or the holding
   * and the pool are unlikely to cover the tokens.
   */
  private async awaitPoolWrite(
    account: PrepaidAccount,
    tokens: TokenCount,
    refusal: RefusedOutcome,
    endsAt: Milliseconds,
  ): Promise<PrepaidOutcome> {
    const left = endsAt - this.parts.clock.monotonic()
    if (refusal.reason === 'exhausted' || left <= 0) return refusal
    return account.isLikelyToCover(tokens) ? account.reserveLocally(tokens, left) : refusal
  }

  private refuse(
    account: PrepaidAccount,
    outcome: RefusedOutcome,
    lenders: readonly LenderAnswer[],
  ): RefusedOutcome {
    if (outcome.reason === 'unavailable') account.recordRefusal()
    return { ...outcome, lenders }
  }

  /**
   * Probes a failing store for one budget per check, in rotation. Once the store answers, all other
   * budgets whose calls failed probe it immediately, so that they record their spending soon: until
   * then, a crash of this instance would count as spent the most that their rows allow.
   */
  private probeFailing(): void {
    const failing = [...this.accounts.values()].filter(account => account.isStoreFailing)
    this.probeTurn += 1
    const next = failing[this.probeTurn % Math.max(1, failing.length)]
    void next?.probe().then(isReached => {
      if (!isReached) return
      for (const other of failing) if (other.isStoreFailing) void other.probe()
    })
  }

  /** Returns the record interval: the time between two records of one holding. */
  recordMilliseconds(): Milliseconds {
    return this.recordPeriod
  }

  /**
   * Updates the record interval. Every `TICKS_PER_UPDATE`th check is often enough, since the
   * sharers of a budget change within seconds, and there may be very many budgets to sum up.
   */
  private updateRecordInterval(): void {
    this.ticksUntilUpdate -= 1
    if (this.ticksUntilUpdate > 0) return
    this.ticksUntilUpdate = TICKS_PER_UPDATE
    const sharers = [...this.accounts.values()].map(account => account.sharers)
    const inAll = sharers.reduce((sum, count) => sum + count, 0)
    const inOneBudget = sharers.reduce((most, count) => Math.max(most, count), 0)
    this.recordPeriod = recordInterval({ inAll, inOneBudget }, this.parts.limits)
  }

  private accountOf(budget: string): PrepaidAccount {
    const known = this.accounts.get(budget)
    if (known !== undefined) return known
    const account = new PrepaidAccount({
      ...this.parts,
      budget,
      recordMilliseconds: () => this.recordMilliseconds(),
    })
    this.accounts.set(budget, account)
    return account
  }
}
