/**
 * May this instance send one more request to an endpoint that is warming up (slow start)?
 *
 * Load pattern: endpoints that have just started, or returned, are empty and so look best to every instance at
 * once. Each bears only a few requests a second while it is cold and falls over well above that, and the instances
 * that choose may be cut from each other and from the store at that moment. A weight, as proxies use for slow
 * start, bounds nothing then.
 *
 * So what an endpoint bears is given out beforehand: a few instances hold a licence for each start of it, the first
 * ones in an order by hash over all instances that are recorded, whether or not they are heard at present. Each
 * licence is a whole request a second or more. Nothing is asked and nothing told, so the sum holds while all are
 * cut off from each other.
 *
 * Limits: licences add up to what the endpoint bears, and the bound that callers' operators set lies above that; the
 * difference covers instances that know of others a moment earlier or later. Who is not yet recorded, or does not
 * know the others yet, has no licence. What is not licensed goes to endpoints that are warm.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { RendezvousWeights } from './rendezvous.js'

/** How the endpoints of a service warm up; from the configuration. */
export interface WarmUpBounds {
  /** Requests a second that a cold endpoint bears from the whole fleet. */
  readonly requestsPerSecond: number
  /** How long an endpoint stays cold after a start. */
  readonly durationMilliseconds: Milliseconds
}

/** What one instance may send to one cold endpoint: so many requests in any window of this length. */
export interface WarmUpLicence {
  readonly requests: number
  readonly windowMilliseconds: Milliseconds
}

/** Bounds are reckoned by the second. */
const SECOND_MILLISECONDS: Milliseconds = 1_000

/** What each of the instances that hold a licence may send, and how many hold one. */
export interface WarmUpShares {
  readonly holders: number
  readonly licence: WarmUpLicence
}

/** How what a cold endpoint bears is given out among so many recorded instances; at least one. */
export function warmUpShares(requestsPerSecond: number, instances: number): WarmUpShares {
  const holders = Math.max(1, Math.min(instances, Math.floor(requestsPerSecond)))
  const requests = Math.max(1, Math.floor(requestsPerSecond / holders))
  const windowMilliseconds = Math.max(
    SECOND_MILLISECONDS,
    (SECOND_MILLISECONDS * requests * holders) / requestsPerSecond,
  )
  return { holders, licence: { requests, windowMilliseconds } }
}

/**
 * Whether an instance is among the first `holders` of all that are recorded, in the order that belongs to one start
 * of an endpoint.
 */
export function holdsLicence(
  instance: string,
  recorded: readonly string[],
  start: string,
  holders: number,
): boolean {
  const order = new RendezvousWeights(start)
  const before = recorded.filter(other => order.compare(other, instance) < 0)
  return before.length < holders
}
