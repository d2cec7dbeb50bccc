/**
 * Decides in one place whether this instance may send a request to an endpoint now, be it a first attempt, a
 * retry, a resumed stream or a queued request. A send is refused
 *
 * - during a backoff that the endpoint asked for (Retry-After), and then, until the endpoint has accepted a
 *   request, too soon after the previous send;
 * - while the endpoint is cold, which means that it has just started, and this instance has no quota of its
 *   warm-up rate or has used the quota up;
 * - while this instance has no quota of the rate that the endpoint advertises or has used the quota up.
 *
 * Owns the ranks of this instance among the instances that share a rate; the rules are in decisions/choosing
 * (rateQuota, sendRefusal).
 */

import { RECOVERY_QUOTA, quotaAtRank, quotaRank, divideRate } from '@rackwalk/decisions'
import type {
  RateQuota,
  RateShares,
  RecordedInstance,
  SendRefusal,
  WarmUpBounds,
} from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import type { EndpointAdviceStore } from './endpointAdviceStore.js'

/** An endpoint to which a request may be sent. */
export interface SendTarget {
  readonly start: EndpointStart
  readonly service: string
  /** Time until the endpoint is warm; 0 if it is warm. */
  readonly coldMilliseconds: Milliseconds
  /**
   * Time until this instance's sends to the endpoint are below the quota's limit for its window; 0 if they
   * are now.
   */
  waitFor(quota: RateQuota): Milliseconds
}

/** Dependencies of a send admission. */
export interface SendAdmissionParts {
  readonly clock: Clock
  /** Name under which this instance is recorded. */
  readonly instance: () => string
  /** All recorded instances including this one; undefined while the others may not know of this one. */
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
  /** Bounds while warming up; undefined if the endpoints of the service need no warm-up. */
  readonly boundsOf: (service: string) => WarmUpBounds | undefined
  readonly advices: EndpointAdviceStore
}

const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Time for which a rank is reused. Rows of instances are read about once a second. */
const RANK_MILLISECONDS: Milliseconds = 1_000
/** Maximum number of remembered ranks: more than there are cold or rate-limited endpoints at once. */
const MAXIMUM_RANKS = 1_000

/** Rank of this instance among the instances that share the rate of a start. */
interface RankEntry {
  readonly rank: number
  readonly instances: number
  readonly at: Milliseconds
}

/** Send admission of one instance. */
export class SendAdmission {
  private readonly ranks = new Map<EndpointStart, RankEntry>()

  constructor(private readonly parts: SendAdmissionParts) {}

  /** Whether a request may be sent to an endpoint now. */
  allows(target: SendTarget): boolean {
    return this.refusalOf(target) === undefined
  }

  /** Why no request may be sent to an endpoint now, with the wait until one may; undefined if one may now. */
  refusalOf(target: SendTarget): SendRefusal | undefined {
    return this.backoffRefusal(target) ?? this.coldRefusal(target) ?? this.rateRefusal(target)
  }

  private backoffRefusal(target: SendTarget): SendRefusal | undefined {
    const advice = this.parts.advices.of(target.start)
    if (advice === undefined) return undefined
    const { retryAfterMilliseconds, isOnTrial } = advice
    const trial = isOnTrial ? target.waitFor(RECOVERY_QUOTA) : 0
    const waitMilliseconds = Math.max(retryAfterMilliseconds, trial)
    return waitMilliseconds === 0 ? undefined : { kind: 'rest', waitMilliseconds }
  }

  private coldRefusal(target: SendTarget): SendRefusal | undefined {
    const { coldMilliseconds, service, start } = target
    const bounds = coldMilliseconds > 0 ? this.parts.boundsOf(service) : undefined
    if (bounds === undefined) return undefined
    const quota = this.quotaFor(start, bounds.requestsPerSecond, 0)
    const isOpen = quota !== undefined && target.waitFor(quota) === 0
    return isOpen ? undefined : { kind: 'cold', waitMilliseconds: coldMilliseconds }
  }

  private rateRefusal(target: SendTarget): SendRefusal | undefined {
    const advice = this.parts.advices.of(target.start)
    const rate = advice?.requestsPerSecond
    if (advice === undefined || rate === undefined) return undefined
    const quota = this.quotaFor(target.start, rate, advice.silenceMilliseconds)
    // An instance without a quota sends nothing and can't tell when the others have used up theirs. The wait
    // is the time in which the whole fleet may send one request.
    const waitMilliseconds =
      quota === undefined ? SECOND_MILLISECONDS / rate : target.waitFor(quota)
    return waitMilliseconds === 0 ? undefined : { kind: 'rate', waitMilliseconds }
  }

  private quotaFor(
    start: EndpointStart,
    requestsPerSecond: number,
    silence: Milliseconds,
  ): RateQuota | undefined {
    const entry = this.rankAt(start)
    if (entry === undefined) return undefined
    const shares: RateShares = divideRate(requestsPerSecond, entry.instances)
    return quotaAtRank(entry.rank, shares, silence)
  }

  private rankAt(start: EndpointStart): RankEntry | undefined {
    const now = this.parts.clock.sinceStart()
    const known = this.ranks.get(start)
    if (known !== undefined && now - known.at < RANK_MILLISECONDS) return known
    const recorded = this.parts.recordedInstances()
    if (recorded === undefined) return undefined
    const rank = quotaRank(this.parts.instance(), recorded, start)
    if (rank === undefined) return undefined
    const entry = { rank, instances: recorded.length, at: now }
    if (this.ranks.size >= MAXIMUM_RANKS) this.ranks.clear()
    this.ranks.set(start, entry)
    return entry
  }
}
