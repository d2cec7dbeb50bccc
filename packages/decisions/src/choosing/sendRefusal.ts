/**
 * States why an endpoint that is listed and has room may be sent nothing by this instance now, and
 * selects when a caller should retry that was refused because this applies to all endpoints.
 *
 * Load pattern: a few endpoints of a service say what they can take. While nothing is sent to them,
 * or while they reject at once, they look best to every choice. A request that waits for one of
 * them, or that is sent to find out, is lost for its caller.
 *
 * Inputs: the refusals of all endpoints, with their waits in milliseconds.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What forbids sending to an endpoint. */
type SendRefusalKind =
  /** The endpoint is warming up, and this instance's quota for it is used up. */
  | 'cold'
  /**
   * The endpoint rejected a request of this instance and asked for rest, or its rest ended a moment
   * ago and it is sent little at first.
   */
  | 'rest'
  /** The endpoint named a rate, and this instance's quota of it is used up. */
  | 'rate'

/** Why an endpoint may be sent nothing now. */
export interface SendRefusal {
  readonly kind: SendRefusalKind
  /** Time until the endpoint may be sent something, as far as this instance knows. */
  readonly waitMilliseconds: Milliseconds
}

/** Returns the refusal that ends first; undefined where there is none. */
export function soonestRefusal(refusals: readonly SendRefusal[]): SendRefusal | undefined {
  let soonest: SendRefusal | undefined
  for (const refusal of refusals) {
    const isSooner = soonest === undefined || refusal.waitMilliseconds < soonest.waitMilliseconds
    if (isSooner) soonest = refusal
  }
  return soonest
}
