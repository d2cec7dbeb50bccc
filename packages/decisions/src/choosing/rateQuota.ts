/**
 * Decides how much of a rate that the whole fleet has to keep this instance may use at one
 * endpoint.
 *
 * Load pattern: an endpoint that has just started, or returned, is empty and so looks best to every
 * instance at once, but can take only a few requests a second; an overloaded endpoint names the
 * rate that it can take in its answers. At that moment the instances may be cut off from each other
 * and from the store. A weight, as proxies use for slow start, bounds nothing then, and a rate that
 * each instance keeps by itself is exceeded as many times as there are instances.
 *
 * So the rate is divided beforehand: for each start of an endpoint a few instances hold a quota.
 * They are the first ones in an order by hash over all recorded instances, whether or not these are
 * heard from at present; instances with callers come before the others. Each quota is a whole
 * request a second or more. No message is needed, so the sum holds while all instances are cut off
 * from each other.
 *
 * Requests have to go on to an endpoint that named a rate, or no instance would learn that it can
 * take more again. The holders of quotas may have crashed, or get no callers. So while no answer or
 * gossip about the endpoint arrives, further instances of the order may send to it, each
 * `SUBSTITUTE_AFTER_MILLISECONDS` after the one before it.
 *
 * Inputs: the rate in requests a second, the recorded instances and, in milliseconds, the time
 * since an answer or gossip about the endpoint last arrived.
 *
 * Limits: quotas add up to what the endpoint can take, and the bound that operators of callers set
 * is higher than that; the difference covers instances that learn of others a moment earlier or
 * later, and substitutes. An instance that is not recorded yet, or does not know the others yet,
 * has no quota. Requests beyond the quota go to other endpoints.
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

/** Requests that one instance may send to one endpoint in any window of this length. */
export interface RateQuota {
  readonly requests: number
  readonly windowMilliseconds: Milliseconds
}

/** The quota of each holder, and the number of holders. */
export interface RateShares {
  readonly holders: number
  readonly quota: RateQuota
}

/** Rates are in requests a second. */
const SECOND_MILLISECONDS: Milliseconds = 1_000
/**
 * Largest number of requests in one quota's window, since each send to an endpoint is remembered.
 */
const MAXIMUM_QUOTA_REQUESTS = 32
/**
 * Time without answers or gossip about an endpoint after which one more instance may send to it.
 */
const SUBSTITUTE_AFTER_MILLISECONDS: Milliseconds = 4_000
/** Quota of a substitute. */
const SUBSTITUTE_QUOTA: RateQuota = {
  requests: 1,
  windowMilliseconds: SUBSTITUTE_AFTER_MILLISECONDS,
}

/**
 * Quota of each instance for an endpoint after its rest, until the endpoint has accepted a request:
 * requests that waited for the end of the rest are sent all at once.
 */
export const RECOVERY_QUOTA: RateQuota = { requests: 1, windowMilliseconds: 500 }

/** Divides a rate among recorded instances; there is at least one holder. */
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
  /** Whether the instance has callers, by its own row. */
  readonly isWorking: boolean
}

/**
 * Returns the rank of an instance among all recorded ones, in the order that belongs to one start
 * of an endpoint; 0 is first. Undefined where the instance is not recorded.
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
 * Returns the quota of an instance at this rank while no answer or gossip about the endpoint
 * arrived for `silenceMilliseconds`; undefined where it may send nothing.
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
