/**
 * One incarnation's allocation of one budget, in memory: available, reserved, spent and lent
 * tokens. An incarnation is one run of an instance's process. An exchange is an update of the
 * budget's row that folds spending and loans into the row (subtracts them from the holding there),
 * gives tokens back and takes new ones. Owns these counts and the open exchange; makes no
 * decisions.
 */

import type {
  BudgetId,
  IncarnationId,
  Milliseconds,
  TokenCount,
  TransferId,
} from '@rackwalk/shared'
import type { ExchangeRequest, FoldedTransfer, Holding } from './budgetRow.js'

/** Tokens reserved for one request until it settles. */
export interface Reservation {
  readonly budgetId: BudgetId
  /** Upper bound of the request's cost; lowered when more is known. */
  tokens: TokenCount
  state: 'open' | 'closed'
}

/** Tokens that the journal records as spent or lent and that are not folded into the row yet. */
interface JournalledSpending {
  /** Index of the journal entry. */
  readonly index: number
  readonly tokens: TokenCount
  /** Set if the tokens were lent rather than spent. */
  readonly borrower?: IncarnationId
}

/** Time constant of the average spending rate. */
const RATE_WINDOW_MILLISECONDS = 30_000

/**
 * The tokens that this incarnation holds of one budget. Each token is in exactly one place:
 * available, reserved, spent or lent but not yet folded into the row, or on its way back to the
 * row.
 */
export class Allocation {
  private availableTokens: TokenCount = 0
  private reservedTokens: TokenCount = 0
  private unfolded: JournalledSpending[] = []
  private exchangeNumber = 0
  private openRequest: ExchangeRequest | undefined
  /** Tokens that this incarnation's own exchanges leave in its holding in the row. */
  private expectedInRow: TokenCount = 0
  /** Tokens ever credited to this allocation as borrowed. */
  private borrowedTotal: TokenCount = 0
  private readonly pendingTransfers = new Set<TransferId>()
  private rate = 0
  private rateAt: Milliseconds = 0
  /** Tokens ever granted to this allocation; used by policies that divide a budget only once. */
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

  /** Spent or lent tokens that the row does not include yet. */
  get unfoldedTokens(): TokenCount {
    return this.unfolded.reduce((sum, spending) => sum + spending.tokens, 0)
  }

  /** Spent tokens that the row does not include yet; lent ones, which may come back, are left out. */
  get unfoldedSpending(): TokenCount {
    return spentTokens(this.unfolded)
  }

  /** All tokens that this incarnation could still spend. */
  get spendable(): TokenCount {
    return this.availableTokens + this.reservedTokens
  }

  /**
   * Whether this incarnation has a holding in the row, that is, its first exchange is resolved.
   * Only then may it borrow, since loans are folded into the borrower's holding.
   */
  get isHolder(): boolean {
    return this.exchangeNumber > 0 && !(this.exchangeNumber === 1 && this.openRequest !== undefined)
  }

  /**
   * The exchange whose outcome is unknown, if any; it must be resolved before the next one begins.
   */
  get openExchange(): ExchangeRequest | undefined {
    return this.openRequest
  }

  /** Reserves tokens; returns undefined if too few are available. */
  reserve(tokens: TokenCount, now: Milliseconds): Reservation | undefined {
    if (tokens > this.availableTokens) return undefined
    this.availableTokens -= tokens
    this.reservedTokens += tokens
    this.lastUsedAt = now
    return { budgetId: this.budgetId, tokens, state: 'open' }
  }

  /** Frees the part of a reservation that turned out not to be needed. */
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

  /** Ends a reservation of which `tokens` were spent, as recorded in the journal at `index`. */
  settle(reservation: Reservation, tokens: TokenCount, index: number, now: Milliseconds): void {
    this.close(reservation, tokens)
    if (tokens > 0) this.unfolded.push({ index, tokens })
    this.noteSpending(tokens, now)
  }

  /**
   * Removes tokens from the available ones for a borrower; the caller also passes their journal
   * index to `noteLent`.
   */
  lend(tokens: TokenCount): void {
    this.availableTokens -= tokens
  }

  /** Records the journal index of tokens that `lend` removed. */
  noteLent(tokens: TokenCount, borrower: IncarnationId, index: number): void {
    this.unfolded.push({ index, tokens, borrower })
  }

  /** Records that a transfer was requested; until it finishes, the row cannot be reconciled. */
  beginBorrowing(transfer: TransferId): void {
    this.pendingTransfers.add(transfer)
  }

  /**
   * Credits a transfer once; a duplicate answer, or one that arrives after the transfer was
   * abandoned, adds nothing.
   */
  finishBorrowing(transfer: TransferId, tokens: TokenCount): void {
    if (!this.pendingTransfers.delete(transfer)) return
    this.availableTokens += tokens
    this.borrowedTotal += tokens
  }

  /**
   * Stops waiting for a transfer. If its tokens left the lender, they appear in the row when the
   * lender folds its loan, and `reconcile` credits them then.
   */
  abandonBorrowing(transfer: TransferId): void {
    this.pendingTransfers.delete(transfer)
  }

  /**
   * Fixes the content of the next exchange; tokens to be given back leave `available` immediately.
   * If an exchange is open, returns that one unchanged.
   */
  beginExchange(durableIndex: number, wanted: TokenCount, returned: TokenCount): ExchangeRequest {
    if (this.openRequest !== undefined) return this.openRequest
    const folded = this.unfolded.filter(spending => spending.index <= durableIndex)
    const transfers: FoldedTransfer[] = folded.flatMap(({ borrower, tokens }) =>
      borrower === undefined ? [] : [{ borrower, tokens }],
    )
    const givenBack = Math.max(0, Math.min(returned, this.availableTokens))
    this.availableTokens -= givenBack
    this.exchangeNumber += 1
    this.openRequest = {
      incarnation: this.incarnation,
      region: this.region,
      exchange: this.exchangeNumber,
      foldThrough: durableIndex,
      spent: spentTokens(folded),
      transfers,
      returned: givenBack,
      wanted,
    }
    return this.openRequest
  }

  /** Applies an exchange that took effect and left this holding in the row. */
  finishExchange(holding: Holding): void {
    const request = this.openRequest
    if (request === undefined) return
    this.openRequest = undefined
    this.unfolded = this.unfolded.filter(spending => spending.index > request.foldThrough)
    this.availableTokens += holding.lastGranted
    this.grantedTotal += holding.lastGranted
    const lent = request.transfers.reduce((sum, transfer) => sum + transfer.tokens, 0)
    this.expectedInRow += holding.lastGranted - request.spent - lent - request.returned
    this.reconcile(holding)
  }

  /** Cancels an exchange that was not sent, so it cannot have taken effect. */
  cancelExchange(): void {
    if (this.openRequest === undefined) return
    this.availableTokens += this.openRequest.returned
    this.exchangeNumber -= 1
    this.openRequest = undefined
  }

  /** Returns the tokens spent per second: an average that decays while nothing is spent. */
  ratePerSecond(now: Milliseconds): number {
    return this.rate * Math.exp(-(now - this.rateAt) / RATE_WINDOW_MILLISECONDS)
  }

  /**
   * Credits borrowed tokens that a lender sent in an answer that was lost. Once lenders have folded
   * their loans, the holding in the row contains these tokens in addition to those that this
   * incarnation's own exchanges left there. If they exceed the tokens credited as borrowed so far,
   * the difference was lent in a lost answer. The comparison is valid only while no exchange is
   * open and no transfer is pending.
   */
  reconcile(holding: Holding): void {
    if (this.openRequest !== undefined || this.pendingTransfers.size > 0) return
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
