/**
 * What does a holder's row allow its writer once the store is evidently out of reach?
 *
 * Load pattern: all instances are cut off from the store for seconds, callers go on asking, and then all of them die.
 * Nobody is left who knows what was spent, so all that the rows allowed counts as spent. Where a row allows the whole
 * holding within seconds, whoever asks for it, a cut of ten seconds takes every budget whole.
 *
 * So the allowance follows what callers ask for: a rate that is a multiple of the demand, which runs out towards a part
 * of the holding. What a death loses follows it, whatever the length of the cut, and never takes the last part.
 *
 * Limits: the multiple covers demand that grows, or comes to another holder, during a cut; a holding without callers has a
 * slow rate of its own, since callers may come to it. The part that no cut allows is left to the store's return: tokens
 * that are refused during a cut are still there after it.
 */

import type { TokenCount } from '@rackwalk/shared'
import { budgetPlenty } from '../placing/holdingPolicy.js'
import type { BudgetView } from '../placing/holdingPolicy.js'

/** What a row allows beyond its first time. */
export interface DisconnectedAllowance {
  /** Tokens allowed at once, */
  readonly cutBurst: TokenCount
  /** and tokens a second from then on, */
  readonly cutRate: number
  /** ever fewer of them: all together stay below this. */
  readonly cutTokens: TokenCount
}

/** Times the demand when the row was written. */
const DEMAND_FACTOR = 3
/** Seconds in which a holding that nobody asks for would be allowed at its first rate. */
const IDLE_HOLDING_SECONDS = 60
/** Part of a holding that a row allows at the most until the next one. */
const LARGEST_SHARE = 0.75
/** Largest requests that may be committed at once while there is plenty. */
const BURST_REQUESTS = 2

/** The allowance of a holding with so many unspent tokens, of which the first time allows `strictTokens`. */
export function disconnectedAllowance(
  view: BudgetView,
  unspent: TokenCount,
  strictTokens: TokenCount,
): DisconnectedAllowance {
  const cutTokens = Math.max(0, LARGEST_SHARE * unspent - strictTokens)
  const burst = budgetPlenty(view) * BURST_REQUESTS * view.largestRequest
  const rate = Math.max(DEMAND_FACTOR * view.ownDemandPerSecond, unspent / IDLE_HOLDING_SECONDS)
  return {
    cutBurst: Math.floor(Math.min(cutTokens / 2, burst)),
    cutRate: Math.ceil(rate),
    cutTokens: Math.floor(cutTokens),
  }
}
