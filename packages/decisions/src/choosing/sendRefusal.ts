/**
 * Lists the reasons for which this instance may send nothing now to an endpoint that is listed and
 * has room, and returns the one with the shortest wait. The reasons themselves are decided in
 * router/advice/sendAdmission.ts.
 *
 * Load pattern: a few endpoints of a service state what they can take. While nothing is sent to
 * them, or while they reject requests at once, they look best to every choice. A request that waits
 * for one of them, or that is sent only to learn whether the endpoint accepts it, is lost for its
 * caller. Where all endpoints are refused for such a reason, the request is refused at once, and
 * the shortest wait says when the caller should retry; without it callers would retry too early or
 * too late.
 *
 * Inputs: the refusals of all endpoints, with their waits in milliseconds.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Why nothing may be sent to an endpoint. */
type SendRefusalKind =
  /**
   * The endpoint is warming up, and this instance's quota of its warm-up rate is used up or the
   * instance has none.
   */
  | 'cold'
  /**
   * The endpoint rejected a request of this instance with a backoff (Retry-After) that has not
   * passed, or the backoff has passed and this instance's small quota for the time after a backoff
   * is used up.
   */
  | 'rest'
  /**
   * The endpoint stated the rate that it accepts, and this instance's quota of that rate is used up
   * or the instance has none.
   */
  | 'rate'

/** Why an endpoint may be sent nothing now. */
export interface SendRefusal {
  readonly kind: SendRefusalKind
  /** Estimated time until something may be sent to the endpoint again. */
  readonly waitMilliseconds: Milliseconds
}

/** Returns the first refusal with the shortest wait; undefined where `refusals` is empty. */
export function soonestRefusal(refusals: readonly SendRefusal[]): SendRefusal | undefined {
  let soonest: SendRefusal | undefined
  for (const refusal of refusals) {
    const isSooner = soonest === undefined || refusal.waitMilliseconds < soonest.waitMilliseconds
    if (isSooner) soonest = refusal
  }
  return soonest
}
