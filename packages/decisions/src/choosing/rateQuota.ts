/**
 * How much of a rate that the whole fleet has to keep may this instance use at one endpoint?
 *
 * Load pattern: an endpoint that has just started, or returned, is empty and so looks best to every instance at once,
 * and bears only a few requests a second; one in need names what it bears in its answers. The instances that choose may
 * be cut from each other and from the store at that moment. A weight, as proxies use for slow start, bounds nothing
 * then, and a rate that each instance keeps to by itself is exceeded as many times as there are instances.
 *
 * So the rate is given out beforehand: a few instances hold a licence for each start of the endpoint, the first ones in
 * an order by hash over all instances that are recorded, whether or not they are heard at present, those to which callers
 * come before the others. Each licence is a whole request a second or more. Nothing is asked and nothing told, so the sum holds while all are cut off from each
 * other.
 *
 * Somebody has to go on asking an endpoint that named a rate, or nobody learns that it takes more again. Those that hold
 * a licence may be dead, or get no callers. So where nothing is heard of the endpoint, the next in the order may ask,
 * each a while after the one before it.
 *
 * Limits: licences add up to what the endpoint bears, and the bound that callers' operators set lies above that; the
 * difference covers instances that know of others a moment earlier or later, and those that stand in. Who is not yet
 * recorded, or does not know the others yet, has no licence. What is not licensed goes to other endpoints.
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

/** What one instance may send to one endpoint: so many requests in any window of this length. */
export interface RateQuota {
  readonly requests: number
  readonly windowMilliseconds: Milliseconds
}

/** What each of the instances that hold a licence may send, and how many hold one. */
export interface RateShares {
  readonly holders: number
  readonly quota: RateQuota
}

/** Bounds are reckoned by the second. */
const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Requests that one licence allows in its window at the most: the sends to an endpoint are remembered one by one. */
const MAXIMUM_QUOTA_REQUESTS = 32
/** Time without a word of an endpoint after which one more instance may ask it. */
const SUBSTITUTE_AFTER_MILLISECONDS: Milliseconds = 4_000
/** What an instance that stands in may send. */
const SUBSTITUTE_QUOTA: RateQuota = {
  requests: 1,
  windowMilliseconds: SUBSTITUTE_AFTER_MILLISECONDS,
}

/** What an endpoint that rested is sent from each instance until it has taken something: requests that waited come all at once. */
export const RECOVERY_QUOTA: RateQuota = { requests: 1, windowMilliseconds: 500 }

/** How a rate is given out among so many recorded instances; at least one. */
export function divideRate(requestsPerSecond: number, instances: number): RateShares {
  const holders = Math.max(1, Math.min(instances, Math.floor(requestsPerSecond)))
  const whole = Math.max(1, Math.floor(requestsPerSecond / holders))
  const requests = Math.min(MAXIMUM_QUOTA_REQUESTS, whole)
  const shortest = (SECOND_MILLISECONDS * requests) / whole
  const windowMilliseconds = Math.max(
    shortest,
    (SECOND_MILLISECONDS * requests * holders) / requestsPerSecond,
  )
  return { holders, quota: { requests, windowMilliseconds } }
}

/** An instance, as the store has it. */
export interface RecordedInstance {
  readonly instance: string
  /** Whether callers come to it, by its own row. */
  readonly isWorking: boolean
}

/**
 * Place of an instance among all that are recorded, in the order that belongs to one start of an endpoint; 0 is first.
 * Undefined where it is not among them.
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
 * What an instance at this place may send where nothing was heard of the endpoint for so long; undefined where it may
 * send nothing.
 */
export function quotaAtRank(
  rank: number,
  { holders, quota }: RateShares,
  silenceMilliseconds: Milliseconds,
): RateQuota | undefined {
  if (rank < holders) return quota
  const standIns = Math.floor(silenceMilliseconds / SUBSTITUTE_AFTER_MILLISECONDS)
  return rank < holders + standIns ? SUBSTITUTE_QUOTA : undefined
}
