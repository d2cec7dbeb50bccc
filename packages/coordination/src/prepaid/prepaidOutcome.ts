/** Outcomes of requesting tokens from a budget. */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { LenderAnswer } from './borrower.js'
import type { Loan } from './loan.js'

/** Tokens reserved for one request. */
export interface PrepaidReservation {
  readonly budget: string
  readonly tokens: TokenCount
  /** The part of the tokens that other instances have committed. */
  readonly loans: readonly Loan[]
}

/**
 * `exhausted`: so much of the budget was handed out that only a higher limit can cover the request;
 * `unavailable`: requests in progress or other instances, also terminated ones, hold the tokens, or the
 * store's rows are not known.
 */
export type PrepaidRefusal = 'exhausted' | 'unavailable'

/**
 * Tokens were reserved. `path` says how: `held` (from the holding without a write), `written` (with
 * a write that took tokens from the pool) or `borrowed` (with loans).
 */
export interface ReservedOutcome {
  readonly kind: 'reserved'
  readonly reservation: PrepaidReservation
  readonly path: string
}

/** No tokens were reserved, with the reason. */
export interface RefusedOutcome {
  readonly kind: 'refused'
  readonly reason: PrepaidRefusal
  /** Time after which this instance could serve the request; undefined if unknown. */
  readonly waitMilliseconds: Milliseconds | undefined
  /** Answers of the lenders that were asked for a loan. */
  readonly lenders: readonly LenderAnswer[]
}

/** Either reserved tokens or the reason for refusing them. */
export type PrepaidOutcome = ReservedOutcome | RefusedOutcome
