/**
 * Decides how many requests this instance may send to an endpoint that can take only a limited rate
 * of requests from the whole fleet: the instance's quota (its part) of that rate.
 *
 * Load pattern: an endpoint that has just started, or returned, is empty and so looks best to every
 * instance at once, but can take only a few requests a second; an overloaded endpoint states in its
 * answers the rate that it can take. At that moment the instances may be cut off from each other
 * and from the store. A weight, as proxies use for slow start, bounds nothing then, and if each
 * instance kept to the whole rate by itself, the fleet would exceed the rate as many times as there
 * are instances.
 *
 * So the rate is divided beforehand: for each run (start) of an endpoint a few instances hold a
 * quota, as many as the rate has whole requests a second, but at least one. The holders are the
 * first in an order by hash over all recorded instances, whether or not these are heard of at
 * present; instances with callers come before the others. Each quota is at least one whole request
 * a second, or the whole rate where the rate is lower. The division needs no message, so instances
 * that know the same recorded instances keep to the rate together, even while they are all cut off
 * from each other.
 *
 * Requests have to go on to an endpoint that stated a rate, or no instance would learn that it can
 * take more again. The holders of quotas may have crashed, or may get no callers. So while no
 * answer of the endpoint and no gossip about it (reports of other instances) arrives, further
 * instances of the order may send to it: one more after each `SUBSTITUTE_AFTER_MILLISECONDS`.
 *
 * Inputs: the rate in requests a second, the recorded instances and the time in milliseconds since
 * an answer of the endpoint or gossip about it last arrived.
 *
 * Limits: the quotas add up to at most the rate, and to less where rounding down to whole requests
 * leaves a part of the rate unused. Requests of substitutes come on top of the quotas: each
 * substitute may send one request in `SUBSTITUTE_AFTER_MILLISECONDS`. The fleet may also exceed the
 * rate for a moment while instances learn of a change of the recorded instances at different times
 * and so rank the holders differently. An instance that is not recorded yet, or does not know the
 * other instances yet, has no quota. Requests beyond the quota go to other endpoints.
 */

import type { Milliseconds } from '@rackwalk/shared'
import { RendezvousWeights } from './rendezvous.js'

/** How the endpoints of a service warm up; from the configuration. */
export interface WarmUpBounds {
  /** Requests a second that a cold endpoint can take from the whole fleet. */
  readonly requestsPerSecond: number
  /** Time after a start for which an endpoint is cold. */
  readonly durationMilliseconds: Milliseconds
}

/** Requests that one instance may send to one endpoint in any window of a certain length. */
export interface RateQuota {
  readonly requests: number
  readonly windowMilliseconds: Milliseconds
}

/** How a rate is divided: the number of holders, and the quota of each of them. */
export interface RateShares {
  readonly holders: number
  readonly quota: RateQuota
}

const SECOND_MILLISECONDS: Milliseconds = 1_000
/**
 * Largest number of requests in one quota's window, since the time of each of them is kept in
 * memory; a higher rate gets a shorter window.
 */
const MAXIMUM_QUOTA_REQUESTS = 32
/**
 * Time without answers of an endpoint and gossip about it after which one more instance may send to
 * the endpoint.
 */
const SUBSTITUTE_AFTER_MILLISECONDS: Milliseconds = 4_000
/**
 * Quota of a substitute: an instance without a regular quota that may send because no answer of the
 * endpoint and no gossip about it has arrived.
 */
const SUBSTITUTE_QUOTA: RateQuota = {
  requests: 1,
  windowMilliseconds: SUBSTITUTE_AFTER_MILLISECONDS,
}

/**
 * Quota of each instance for an endpoint after its backoff (Retry-After), until the endpoint has
 * accepted a request: without it, all requests that waited for the end of the backoff would be sent
 * at once.
 */
export const RECOVERY_QUOTA: RateQuota = { requests: 1, windowMilliseconds: 500 }

/**
 * Divides a rate among this many recorded instances; there is at least one holder. The window of a
 * quota is long enough that the requests of all holders together do not exceed the rate.
 */
export function divideRate(requestsPerSecond: number, instances: number): RateShares {
  const holders = Math.max(1, Math.min(instances, Math.floor(requestsPerSecond)))
  const requestsPerHolder = Math.max(1, Math.floor(requestsPerSecond / holders))
  const requests = Math.min(MAXIMUM_QUOTA_REQUESTS, requestsPerHolder)
  const shortest = (SECOND_MILLISECONDS * requests) / requestsPerHolder
  const windowMilliseconds = Math.max(
    shortest,
    (SECOND_MILLISECONDS * requests * holders) / requestsPerSecond,
  )
  return { holders, quota: { requests, windowMilliseconds } }
}

/** An instance, as recorded in the store. */
export interface RecordedInstance {
  readonly instance: string
  /** Whether the instance has callers, according to its own row. */
  readonly isWorking: boolean
}

/**
 * Returns the rank of an instance among all recorded ones, in the order that belongs to `start`,
 * one run of an endpoint; 0 is first. Undefined where the instance is not recorded.
 */
export function quotaRank(
  instance: string,
  recorded: readonly RecordedInstance[],
  start: string,
): number | undefined {
  const self = recorded.find(other => other.instance === instance)
  if (self === undefined) return undefined
  const order = new RendezvousWeights(start)
  const isBefore = (other: RecordedInstance) =>
    other.isWorking === self.isWorking
      ? order.compare(other.instance, instance) < 0
      : other.isWorking
  return recorded.filter(isBefore).length
}

/**
 * Returns the quota of an instance at this rank, where no answer of the endpoint and no gossip
 * about it has arrived for `silenceMilliseconds`; undefined where the instance may send nothing.
 */
export function quotaAtRank(
  rank: number,
  { holders, quota }: RateShares,
  silenceMilliseconds: Milliseconds,
): RateQuota | undefined {
  if (rank < holders) return quota
  const substitutes = Math.floor(silenceMilliseconds / SUBSTITUTE_AFTER_MILLISECONDS)
  return rank < holders + substitutes ? SUBSTITUTE_QUOTA : undefined
}
