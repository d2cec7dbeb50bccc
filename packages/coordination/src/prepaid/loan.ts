/**
 * Loans of prepaid tokens between instances: their messages and the channel that carries them. A lender
 * counts a loan as committed in its own holding before it answers, so the borrower spends what is already
 * accounted for: whatever message is lost and whoever dies, the budget is never counted for less than was
 * spent.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Tokens of a reservation that another instance has committed on behalf of this one. */
export interface Loan {
  readonly lender: string
  /** Chosen by the borrower; unique over all its incarnations. */
  readonly id: string
  readonly tokens: TokenCount
}

/** Asks for a loan. */
export interface LoanRequest {
  readonly id: string
  readonly budget: string
  /** The most that is wanted; the lender may give less. */
  readonly tokens: TokenCount
  /** How long the lender may wait for the store. */
  readonly patienceMilliseconds: Milliseconds
}

/** Ends a loan: what of it was spent, so that the lender can free the rest. */
export interface LoanRepayment {
  readonly id: string
  readonly budget: string
  readonly spent: TokenCount
}

/** Carries loans between instances; both calls may fail without an error. */
export interface LoanChannel {
  /** Tokens lent, 0 where none; undefined where no answer came. */
  requestLoan(lender: string, request: LoanRequest): Promise<TokenCount | undefined>
  /** True once the lender has taken note. */
  repay(lender: string, repayment: LoanRepayment): Promise<boolean>
  /** Whether a lender gives no sign of life any more; none does where this is left out. */
  isSilent?(lender: string): boolean
}
