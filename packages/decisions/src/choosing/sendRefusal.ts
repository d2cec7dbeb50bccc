/**
 * Why may an endpoint that is listed and has room be sent nothing from here now, and when should a caller come back who
 * was refused since it holds for all of them?
 *
 * Load pattern: a few endpoints of a service say what they bear, and while they are sent nothing, or refuse at once, they
 * look best to every choice. A request that waits for one of them, or is sent to find out, is lost for its caller.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What an endpoint has said, or what it is, that forbids to send it something. */
type SendRefusalKind =
  /** It is warming up, and this instance may send it no more for now. */
  | 'cold'
  /** It turned this instance away and asked for rest, or rested a moment ago and is asked little at first. */
  | 'rest'
  /** It named a rate, of which this instance has no part left. */
  | 'rate'

/** Why an endpoint may be sent nothing now. */
export interface SendRefusal {
  readonly kind: SendRefusalKind
  /** Time until it may, as far as this instance can tell. */
  readonly waitMilliseconds: Milliseconds
}

/** The refusal that is over first; undefined where there is none. */
export function soonestRefusal(refusals: readonly SendRefusal[]): SendRefusal | undefined {
  let soonest: SendRefusal | undefined
  for (const refusal of refusals) {
    const isSooner = soonest === undefined || refusal.waitMilliseconds < soonest.waitMilliseconds
    if (isSooner) soonest = refusal
  }
  return soonest
}
