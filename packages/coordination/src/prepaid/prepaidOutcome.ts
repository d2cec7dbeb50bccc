/** What comes of asking a budget for tokens. */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { LenderAnswer } from './borrower.js'
import type { Loan } from './loan.js'

/** Tokens set aside for one request. */
export interface PrepaidReservation {
  readonly budget: string
  readonly tokens: TokenCount
  /** The part of the tokens that other instances have committed. */
  readonly loans: readonly Loan[]
}

/** `exhausted`: nobody has enough left; `unavailable`: others hold it, or it is not known. */
export type PrepaidRefusal = 'exhausted' | 'unavailable'

/** Tokens that are set aside, and how: `held`, `written` or `borrowed`. */
export interface ReservedOutcome {
  readonly kind: 'reserved'
  readonly reservation: PrepaidReservation
  readonly path: string
}

/** Why no tokens are set aside. */
export interface RefusedOutcome {
  readonly kind: 'refused'
  readonly reason: PrepaidRefusal
  /** After this time, where given, this instance could serve the request. */
  readonly waitMilliseconds: Milliseconds | undefined
  /** Who was asked for a loan in vain, and what they answered. */
  readonly lenders: readonly LenderAnswer[]
}

/** Tokens that are set aside, or why they are not. */
export type PrepaidOutcome = ReservedOutcome | RefusedOutcome
