/**
 * Loans of prepaid tokens between instances: their messages and the channel that carries them.
 *
 * An instance borrows tokens for a request that neither its holding (the tokens that it may spend
 * by its row in the store) nor the pool covers. Without loans, it would refuse callers although
 * other instances hold unspent tokens of the same budget.
 *
 * A lender counts a loan as committed in its own holding before it answers, so a borrower spends
 * only tokens that are already accounted for. Lost messages and crashes can therefore make a budget
 * count more tokens as spent than were spent, but never fewer.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Tokens of a reservation that another instance has committed on behalf of this one. */
export interface Loan {
  readonly lender: string
  /** Chosen by the borrower; unique across all its incarnations. */
  readonly id: string
  readonly tokens: TokenCount
}

/** Message that requests a loan. */
export interface LoanRequest {
  readonly id: string
  readonly budget: string
  /** The most tokens wanted; the lender may grant fewer. */
  readonly tokens: TokenCount
  /** How long the lender may wait for the store before it answers. */
  readonly patienceMilliseconds: Milliseconds
}

/**
 * Message that ends a loan and reports how much of it was spent, so that the lender can free the
 * unspent tokens.
 */
export interface LoanRepayment {
  readonly id: string
  readonly budget: string
  readonly spent: TokenCount
}

/**
 * Carries the messages between borrowers and lenders. A message that is lost yields undefined or
 * false, not an error; the lender may have processed it nevertheless.
 */
export interface LoanChannel {
  /** Resolves to the tokens lent, 0 if none; to undefined if no answer arrived. */
  requestLoan(lender: string, request: LoanRequest): Promise<TokenCount | undefined>
  /** Resolves to true if the lender acknowledged the repayment, and to false otherwise. */
  repay(lender: string, repayment: LoanRepayment): Promise<boolean>
  /**
   * Whether a lender is silent, which means that its heartbeats are overdue. A channel without this
   * method treats no lender as silent.
   */
  isSilent?(lender: string): boolean
}
