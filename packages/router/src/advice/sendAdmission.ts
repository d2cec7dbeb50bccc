/**
 * The one place that says whether an endpoint may be sent something from here now: first tries, tries elsewhere, streams
 * that are resumed, requests that waited. Owns the places of this instance among those that share a rate; the rules are
 * in decisions/choosing (rateLicence, sendRefusal).
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

/** An endpoint that may be sent something. */
export interface SendTarget {
  readonly start: EndpointStart
  readonly service: string
  /** Time until it is warm; 0 where it is. */
  readonly coldMilliseconds: Milliseconds
  /** Time until fewer than so many requests were sent there from here within a window; 0 where that is so now. */
  waitFor(licence: RateQuota): Milliseconds
}

/** What permits rest on. */
export interface SendPermitsParts {
  readonly clock: Clock
  /** The name under which this instance is recorded. */
  readonly instance: () => string
  /** All instances that are recorded, this one included; undefined while this one may not be known to them. */
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
  /** Undefined where the endpoints of a service need no warm-up. */
  readonly boundsOf: (service: string) => WarmUpBounds | undefined
  readonly advices: EndpointAdviceStore
}

const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Places are reckoned anew after this time: rows of instances are read about once a second. */
const PLACE_MILLISECONDS: Milliseconds = 1_000
/** Places that are remembered at the most: more than there are endpoints under a rate at once. */
const REMEMBERED_PLACES = 1_000

/** Where this instance stands among all that share the rate of a start. */
interface RankEntry {
  readonly rank: number
  readonly instances: number
  readonly at: Milliseconds
}

/** The permits of one instance. */
export class SendAdmission {
  private readonly ranks = new Map<EndpointStart, RankEntry>()

  constructor(private readonly parts: SendPermitsParts) {}

  /** Whether an endpoint may be sent something now. */
  allows(subject: SendTarget): boolean {
    return this.refusalOf(subject) === undefined
  }

  /** Why an endpoint may be sent nothing now; undefined where it may. */
  refusalOf(subject: SendTarget): SendRefusal | undefined {
    return this.restRefusal(subject) ?? this.coldRefusal(subject) ?? this.rateRefusal(subject)
  }

  private restRefusal(subject: SendTarget): SendRefusal | undefined {
    const advice = this.parts.advices.of(subject.start)
    if (advice === undefined) return undefined
    const { retryAfterMilliseconds, isOnTrial } = advice
    const trial = isOnTrial ? subject.waitFor(RECOVERY_QUOTA) : 0
    const waitMilliseconds = Math.max(retryAfterMilliseconds, trial)
    return waitMilliseconds === 0 ? undefined : { kind: 'rest', waitMilliseconds }
  }

  private coldRefusal(subject: SendTarget): SendRefusal | undefined {
    const { coldMilliseconds, service, start } = subject
    const bounds = coldMilliseconds > 0 ? this.parts.boundsOf(service) : undefined
    if (bounds === undefined) return undefined
    const licence = this.licenceFor(start, bounds.requestsPerSecond, 0)
    const isOpen = licence !== undefined && subject.waitFor(licence) === 0
    return isOpen ? undefined : { kind: 'cold', waitMilliseconds: coldMilliseconds }
  }

  private rateRefusal(subject: SendTarget): SendRefusal | undefined {
    const advice = this.parts.advices.of(subject.start)
    const rate = advice?.requestsPerSecond
    if (advice === undefined || rate === undefined) return undefined
    const licence = this.licenceFor(subject.start, rate, advice.silenceMilliseconds)
    // Who has no part of it can't tell when others have used theirs up.
    const waitMilliseconds =
      licence === undefined ? SECOND_MILLISECONDS / rate : subject.waitFor(licence)
    return waitMilliseconds === 0 ? undefined : { kind: 'rate', waitMilliseconds }
  }

  private licenceFor(
    start: EndpointStart,
    requestsPerSecond: number,
    silence: Milliseconds,
  ): RateQuota | undefined {
    const place = this.placeAt(start)
    if (place === undefined) return undefined
    const shares: RateShares = divideRate(requestsPerSecond, place.instances)
    return quotaAtRank(place.rank, shares, silence)
  }

  private placeAt(start: EndpointStart): RankEntry | undefined {
    const now = this.parts.clock.sinceStart()
    const known = this.ranks.get(start)
    if (known !== undefined && now - known.at < PLACE_MILLISECONDS) return known
    const recorded = this.parts.recordedInstances()
    if (recorded === undefined) return undefined
    const rank = quotaRank(this.parts.instance(), recorded, start)
    if (rank === undefined) return undefined
    const place = { rank, instances: recorded.length, at: now }
    if (this.ranks.size >= REMEMBERED_PLACES) this.ranks.clear()
    this.ranks.set(start, place)
    return place
  }
}
