/**
 * Decides when an instance moves from one phase of its shutdown to the next after SIGTERM.
 *
 * Inputs: the time since SIGTERM, the grace time (the time from SIGTERM to the kill by the platform) from the settings, and
 * the number of requests in progress. All times are milliseconds since SIGTERM.
 *
 * From SIGTERM on, the instance is not ready and the directory names other instances. Callers that still hold an old
 * answer of the directory are served for a while (linger). Then new requests are refused as not run while those in
 * progress finish (finish). When all have finished, or the grace time is nearly over, the instance settles its budgets
 * (settle), that is, it returns to the store what it has not spent, and exits before the platform would kill it. Without
 * these bounds the platform would kill the instance before its budgets are settled.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Time after SIGTERM for which callers with an old answer of the directory are still served. */
export const LINGER_MILLISECONDS: Milliseconds = 2_600
/**
 * Minimum time from SIGTERM to the settling of the budgets, so that callers learn that the instance leaves. Shorter if the
 * grace time requires that.
 */
const SHORTEST_DRAIN_MILLISECONDS: Milliseconds = 3_200
/**
 * Time before the kill at which the instance begins to settle its budgets at the latest. Up to the exit of the process, this
 * is enough for several attempts at the store.
 */
const SETTLE_MILLISECONDS: Milliseconds = 900
/** Time before the kill at which the process exits, even if the store has not recorded all budgets. */
const EXIT_MILLISECONDS: Milliseconds = 200

/** The state of a drain. */
export interface DrainState {
  /** Time since SIGTERM. */
  readonly elapsed: Milliseconds
  /** Time from SIGTERM to the kill by the platform. It is a setting, which may change during the drain. */
  readonly grace: Milliseconds
  /** Number of requests in progress. */
  readonly inFlight: number
}

/** Whether the instance stops waiting for requests and settles its budgets. */
export function shouldSettle({ elapsed, grace, inFlight }: DrainState): boolean {
  if (elapsed >= grace - SETTLE_MILLISECONDS) return true
  return inFlight === 0 && elapsed >= SHORTEST_DRAIN_MILLISECONDS
}

/** Returns the time since SIGTERM at which the process exits, whether or not it has settled its budgets. */
export function exitDelay(grace: Milliseconds): Milliseconds {
  return grace - EXIT_MILLISECONDS
}
