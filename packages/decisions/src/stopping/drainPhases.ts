/**
 * What happens after SIGTERM, and when?
 *
 * From the notice on an instance is not ready and the directory names others. Callers that still
 * hold an old answer are served for a while (linger), then new requests are refused as not run,
 * while those in progress end (finish). When all have ended, or the grace time is nearly over, the
 * instance settles its budgets (settle) and ends before the platform would kill it. Times count
 * from the notice.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Callers with an old answer of the directory are served for this long. */
export const LINGER_MILLISECONDS: Milliseconds = 2_600
/** The process lives at least this long, so that callers learn that it leaves. */
const SHORTEST_DRAIN_MILLISECONDS: Milliseconds = 3_200
/** Kept at the end of the grace time for settling budgets: several tries at the store. */
const SETTLE_MILLISECONDS: Milliseconds = 900
/** The process ends by itself this long before it would be killed. */
const EXIT_MILLISECONDS: Milliseconds = 200

/** A drain as it stands. */
export interface DrainState {
  /** Time since the notice. */
  readonly elapsed: Milliseconds
  /** Time from the notice to the kill; a setting, which may change meanwhile. */
  readonly grace: Milliseconds
  /** Requests in progress. */
  readonly inFlight: number
}

/** Whether the instance may stop waiting for requests and settle. */
export function shouldSettle({ elapsed, grace, inFlight }: DrainState): boolean {
  if (elapsed >= grace - SETTLE_MILLISECONDS) return true
  return inFlight === 0 && elapsed >= SHORTEST_DRAIN_MILLISECONDS
}

/** Time since the notice at which the process ends, whether or not it has settled. */
export function exitDelay(grace: Milliseconds): Milliseconds {
  return grace - EXIT_MILLISECONDS
}
