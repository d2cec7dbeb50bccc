/**
 * Loans of prepaid tokens between instances: their messages and the channel that carries them. A
 * lender counts a loan as committed in its own holding before it answers, so a borrower spends only
 * tokens that are already accounted for. Whichever message is lost and whichever instance crashes,
 * the budget never counts less than was spent.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Tokens of a reservation that another instance has committed on behalf of this one. */
export interface Loan {
  readonly lender: string
  /** Chosen by the borrower; unique across all its incarnations. */
  readonly id: string
  readonly tokens: TokenCount
}

/** Requests a loan. */
export interface LoanRequest {
  readonly id: string
  readonly budget: string
  /** The most tokens wanted; the lender may grant fewer. */
  readonly tokens: TokenCount
  /** How long the lender may wait for the store. */
  readonly patienceMilliseconds: Milliseconds
}

/** Ends a loan and reports how much of it was spent, so that the lender can free the rest. */
export interface LoanRepayment {
  readonly id: string
  readonly budget: string
  readonly spent: TokenCount
}

/** Carries loans between instances; either call may fail without an error. */
export interface LoanChannel {
  /** Returns the tokens lent, 0 if none; undefined if no answer arrived. */
  requestLoan(lender: string, request: LoanRequest): Promise<TokenCount | undefined>
  /** Returns true once the lender has acknowledged the repayment. */
  repay(lender: string, repayment: LoanRepayment): Promise<boolean>
  /**
   * Whether a lender has sent no heartbeat lately; if this is omitted, no lender counts as silent.
   */
  isSilent?(lender: string): boolean
}
