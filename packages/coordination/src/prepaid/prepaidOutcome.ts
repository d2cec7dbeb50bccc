/** What comes of asking a budget for tokens. */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
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

/** Tokens that are set aside, or why they are not. */
export type PrepaidOutcome =
  | { readonly kind: 'reserved'; readonly reservation: PrepaidReservation; readonly path: string }
  /** After `waitMilliseconds`, where given, this instance could serve the request. */
  | {
      readonly kind: 'refused'
      readonly reason: PrepaidRefusal
      readonly waitMilliseconds: Milliseconds | undefined
    }
