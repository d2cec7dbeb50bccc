/**
 * The lending side of loans: commits tokens out of this instance's holding for a borrower, and
 * frees unspent tokens. Owns the open loans; a loan that is never repaid counts as spent.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { LoanRepayment, LoanRequest } from './loan.js'

/** The holding out of which a lender lends. */
export interface LendingAccount {
  /** Commits at most this many tokens for another instance and returns how many were committed. */
  lend(tokens: TokenCount, patience: Milliseconds): Promise<TokenCount>
  /** Ends a loan; its unspent tokens become free again. */
  settle(lent: TokenCount, spent: TokenCount): void
}

/**
 * Maximum number of ended loans remembered, so that a loan request that arrives after its own
 * repayment is granted nothing.
 */
const REMEMBERED_ENDS = 2_000
/** Maximum number of open loans remembered; older ones were never repaid and count as spent. */
const REMEMBERED_LOANS = 20_000

/** Tracks what this instance has lent to others. A loan that is never repaid counts as spent. */
export class Lender {
  private readonly open = new Map<string, TokenCount>()
  private readonly ended = new Set<string>()

  constructor(private readonly accountOf: (budget: string) => LendingAccount | undefined) {}

  /** Grants a loan and returns the tokens that the borrower may spend from now on. */
  async lend(request: LoanRequest): Promise<TokenCount> {
    const account = this.accountOf(request.budget)
    if (account === undefined || this.ended.has(request.id)) return 0
    const tokens = await account.lend(request.tokens, request.patienceMilliseconds)
    if (tokens === 0) return 0
    // The borrower may have given up while the account was waiting for the store.
    if (this.ended.has(request.id)) {
      account.settle(tokens, 0)
      return 0
    }
    this.open.set(request.id, tokens)
    dropOldest(this.open, REMEMBERED_LOANS)
    return tokens
  }

  /**
   * Ends a loan and frees its unspent tokens; a duplicate repayment, or one for an unknown loan,
   * changes nothing.
   */
  repay({ id, budget, spent }: LoanRepayment): void {
    this.noteEnd(id)
    const tokens = this.open.get(id)
    if (tokens === undefined) return
    this.open.delete(id)
    this.accountOf(budget)?.settle(tokens, Math.max(0, spent))
  }

  private noteEnd(id: string): void {
    this.ended.add(id)
    dropOldest(this.ended, REMEMBERED_ENDS)
  }
}

function dropOldest(entries: Map<string, unknown> | Set<string>, limit: number): void {
  if (entries.size <= limit) return
  const oldest = entries.keys().next().value
  if (oldest !== undefined) entries.delete(oldest)
}
