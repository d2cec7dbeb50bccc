/**
 * The lending side of loans: commits tokens out of this instance's holding for a borrower, and
 * frees unspent tokens when the borrower repays the loan. Owns the open loans and the ids of ended
 * ones. A loan that is never repaid counts as spent, since the borrower may have spent it.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { LoanRepayment, LoanRequest } from './loan.js'

/** The holding out of which a lender lends. */
export interface LendingAccount {
  /** Commits at most this many tokens for another instance and returns how many were committed. */
  lend(tokens: TokenCount, patience: Milliseconds): Promise<TokenCount>
  /** Ends a loan of `lent` tokens; those that were not spent become free again. */
  settle(lent: TokenCount, spent: TokenCount): void
}

/**
 * Maximum number of ended loans remembered, so that a loan request that arrives after its own
 * repayment is granted nothing.
 */
const REMEMBERED_ENDS = 2_000
/** Maximum number of open loans remembered; a loan that is dropped counts as spent. */
const REMEMBERED_LOANS = 20_000

/** Tracks what this instance has lent to others. A loan that is never repaid counts as spent. */
export class Lender {
  private readonly openLoans = new Map<string, TokenCount>()
  private readonly endedLoans = new Set<string>()

  constructor(private readonly accountOf: (budget: string) => LendingAccount | undefined) {}

  /** Grants at most the requested tokens and returns how many; 0 if the loan is refused. */
  async lend(request: LoanRequest): Promise<TokenCount> {
    const account = this.accountOf(request.budget)
    if (account === undefined || this.endedLoans.has(request.id)) return 0
    const tokens = await account.lend(request.tokens, request.patienceMilliseconds)
    if (tokens === 0) return 0
    // The borrower may have ended the loan while the account was waiting for the store.
    if (this.endedLoans.has(request.id)) {
      account.settle(tokens, 0)
      return 0
    }
    this.openLoans.set(request.id, tokens)
    dropOldest(this.openLoans, REMEMBERED_LOANS)
    return tokens
  }

  /**
   * Ends a loan and frees its unspent tokens. A repayment of a loan that is not open frees nothing,
   * but a loan request with the same id is refused from then on.
   */
  repay({ id, budget, spent }: LoanRepayment): void {
    this.noteEnd(id)
    const tokens = this.openLoans.get(id)
    if (tokens === undefined) return
    this.openLoans.delete(id)
    this.accountOf(budget)?.settle(tokens, Math.max(0, spent))
  }

  private noteEnd(id: string): void {
    this.endedLoans.add(id)
    dropOldest(this.endedLoans, REMEMBERED_ENDS)
  }
}

function dropOldest(entries: Map<string, unknown> | Set<string>, limit: number): void {
  if (entries.size <= limit) return
  const oldest = entries.keys().next().value
  if (oldest !== undefined) entries.delete(oldest)
}
