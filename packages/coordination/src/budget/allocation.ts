/**
 * One incarnation's allocation of one budget, in memory: what is available, reserved, spent and lent. Owns
 * these counts and the open exchange; decides nothing.
 */

import type {
  BudgetId,
  IncarnationId,
  Milliseconds,
  TokenCount,
  TransferId,
} from '@rackwalk/shared'
import type { ExchangeRequest, FoldedTransfer, Holding } from './budgetRow.js'

/** Tokens set aside for one request until it settles. */
export interface Reservation {
  readonly budgetId: BudgetId
  /** Upper bound of what the request can cost; shrinks when more is known. */
  tokens: TokenCount
  state: 'open' | 'closed'
}

interface JournalledSpending {
  readonly index: number
  readonly tokens: TokenCount
  /** Present when the tokens were lent rather than spent. */
  readonly borrower?: IncarnationId
}

/** Time over which the rate of spending is averaged. */
const RATE_WINDOW_MILLISECONDS = 30_000

/**
 * What this incarnation holds of one budget. Tokens are in exactly one place: available,
 * reserved, spent or lent but not folded into the row yet, or on their way back.
 */
export class Allocation {
  private availableTokens: TokenCount = 0
  private reservedTokens: TokenCount = 0
  private unfolded: JournalledSpending[] = []
  private exchangeNumber = 0
  private open: ExchangeRequest | undefined
  private expectedInRow: TokenCount = 0
  private borrowedTotal: TokenCount = 0
  private readonly pendingTransfers = new Set<TransferId>()
  private rate = 0
  private rateAt: Milliseconds = 0
  /** Tokens that were ever granted here, for policies that share a budget out once. */
  grantedTotal: TokenCount = 0
  /** Monotonic time of the last reservation. */
  lastUsedAt: Milliseconds = 0

  constructor(
    readonly budgetId: BudgetId,
    private readonly incarnation: IncarnationId,
    private readonly region: ExchangeRequest['region'],
  ) {}

  get available(): TokenCount {
    return this.availableTokens
  }

  get reserved(): TokenCount {
    return this.reservedTokens
  }

  /** Tokens spent or lent that the row does not show yet. */
  get unfoldedTokens(): TokenCount {
    return this.unfolded.reduce((sum, spending) => sum + spending.tokens, 0)
  }

  /** Everything that this incarnation could still spend. */
  get spendable(): TokenCount {
    return this.availableTokens + this.reservedTokens
  }

  /** Whether this incarnation is a holder in the row, and so may borrow. */
  get isHolder(): boolean {
    return this.exchangeNumber > 0 && !(this.exchangeNumber === 1 && this.open !== undefined)
  }

  /** An exchange whose outcome is not known; it must be resolved before another begins. */
  get openExchange(): ExchangeRequest | undefined {
    return this.open
  }

  /** Sets tokens aside, or nothing when there are too few. */
  reserve(tokens: TokenCount, now: Milliseconds): Reservation | undefined {
    if (tokens > this.availableTokens) return undefined
    this.availableTokens -= tokens
    this.reservedTokens += tokens
    this.lastUsedAt = now
    return { budgetId: this.budgetId, tokens, state: 'open' }
  }

  /** Gives back the part of a reservation that is now known not to be needed. */
  shrink(reservation: Reservation, tokens: TokenCount): void {
    if (reservation.state !== 'open' || tokens >= reservation.tokens) return
    const freed = reservation.tokens - tokens
    reservation.tokens = tokens
    this.reservedTokens -= freed
    this.availableTokens += freed
  }

  /** Ends a reservation without spending. */
  release(reservation: Reservation): void {
    this.close(reservation, 0)
  }

  /** Ends a reservation with what was spent, journalled under `index`. */
  settle(reservation: Reservation, tokens: TokenCount, index: number, now: Milliseconds): void {
    this.close(reservation, tokens)
    if (tokens > 0) this.unfolded.push({ index, tokens })
    this.noteSpending(tokens, now)
  }

  /** Takes tokens out for a borrower; the caller journals it under the index it gives. */
  lend(tokens: TokenCount): void {
    this.availableTokens -= tokens
  }

  /** Records the journal entry of tokens that `lend` took out. */
  noteLent(tokens: TokenCount, borrower: IncarnationId, index: number): void {
    this.unfolded.push({ index, tokens, borrower })
  }

  /** A transfer was asked for; until it ends, the row cannot be reconciled. */
  beginBorrowing(transfer: TransferId): void {
    this.pendingTransfers.add(transfer)
  }

  /** Credits a transfer once; a repeat or a late answer after giving up adds nothing. */
  finishBorrowing(transfer: TransferId, tokens: TokenCount): void {
    if (!this.pendingTransfers.delete(transfer)) return
    this.availableTokens += tokens
    this.borrowedTotal += tokens
  }

  /**
   * Stops waiting for a transfer. If its tokens left the lender, they show up in the row
   * when the lender folds, and `finishExchange` picks them up.
   */
  abandonBorrowing(transfer: TransferId): void {
    this.pendingTransfers.delete(transfer)
  }

  /** Fixes the content of the next exchange; tokens to give back leave `available` now. */
  beginExchange(durableIndex: number, wanted: TokenCount, returned: TokenCount): ExchangeRequest {
    if (this.open !== undefined) return this.open
    const folded = this.unfolded.filter(spending => spending.index <= durableIndex)
    const transfers: FoldedTransfer[] = folded.flatMap(({ borrower, tokens }) =>
      borrower === undefined ? [] : [{ borrower, tokens }],
    )
    const givenBack = Math.max(0, Math.min(returned, this.availableTokens))
    this.availableTokens -= givenBack
    this.exchangeNumber += 1
    this.open = {
      incarnation: this.incarnation,
      region: this.region,
      exchange: this.exchangeNumber,
      foldThrough: durableIndex,
      spent: spentTokens(folded),
      transfers,
      returned: givenBack,
      wanted,
    }
    return this.open
  }

  /** The exchange took effect and left this holding in the row. */
  finishExchange(holding: Holding): void {
    const request = this.open
    if (request === undefined) return
    this.open = undefined
    this.unfolded = this.unfolded.filter(spending => spending.index > request.foldThrough)
    this.availableTokens += holding.lastGranted
    this.grantedTotal += holding.lastGranted
    const lent = request.transfers.reduce((sum, transfer) => sum + transfer.tokens, 0)
    this.expectedInRow += holding.lastGranted - request.spent - lent - request.returned
    this.reconcile(holding)
  }

  /** Nothing was sent, so nothing can have taken effect. */
  cancelExchange(): void {
    if (this.open === undefined) return
    this.availableTokens += this.open.returned
    this.exchangeNumber -= 1
    this.open = undefined
  }

  /** Tokens spent per second, averaged and decaying since the last use. */
  ratePerSecond(now: Milliseconds): number {
    return this.rate * Math.exp(-(now - this.rateAt) / RATE_WINDOW_MILLISECONDS)
  }

  /**
   * The row shows more than this incarnation put there when lenders folded transfers to it.
   * What exceeds all credits received was lent in an answer that got lost. Only while no
   * exchange is open does the row say what this incarnation expects of it.
   */
  reconcile(holding: Holding): void {
    if (this.open !== undefined || this.pendingTransfers.size > 0) return
    const creditedInRow = holding.allocated - this.expectedInRow
    const missed = creditedInRow - this.borrowedTotal
    if (missed <= 0) return
    this.availableTokens += missed
    this.borrowedTotal += missed
  }

  private close(reservation: Reservation, spent: TokenCount): void {
    if (reservation.state !== 'open') return
    reservation.state = 'closed'
    this.reservedTokens -= reservation.tokens
    this.availableTokens += reservation.tokens - spent
  }

  private noteSpending(tokens: TokenCount, now: Milliseconds): void {
    const perSecond = (tokens * 1000) / RATE_WINDOW_MILLISECONDS
    this.rate = this.ratePerSecond(now) + perSecond
    this.rateAt = now
  }
}

function spentTokens(spendings: readonly JournalledSpending[]): TokenCount {
  return spendings
    .filter(({ borrower }) => borrower === undefined)
    .reduce((sum, { tokens }) => sum + tokens, 0)
}
