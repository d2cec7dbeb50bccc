/**
 * Limits requests to nearly full endpoints that tolerate only a number of rejections per second and fail if
 * they have to reject more. Owns the bounds that endpoints named in their answers, by service, and the times
 * of sends that risked a rejection; the rule is in decisions/choosing/rejectionQuota.
 */

import { isNearlyFull, rejectionQuota } from '@rackwalk/decisions'
import type { RecordedInstance } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import { SendHistory } from './sendHistory.js'

/** Dependencies of a guard. */
export interface RejectionGuardParts {
  readonly clock: Clock
  /** Name under which this instance is recorded. */
  readonly instance: string
  /** All recorded instances including this one; undefined while the others may not know of this one. */
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
}

/** An endpoint, with the number of its requests in progress from all instances. */
export interface EndpointOccupancy {
  readonly start: EndpointStart
  readonly service: string
  readonly slots: number
  readonly running: number
}

interface RejectionBound {
  readonly rejectionsPerSecond: number
  /** Monotonic time of the newest answer that named the bound. */
  readonly reportedAt: Milliseconds
}

/**
 * An answer that names no bound removes a bound only if no answer has named the bound for this long: answers
 * that began before the service named its bound may still arrive.
 */
const BOUND_RETENTION_MILLISECONDS: Milliseconds = 1_000
/** Maximum number of endpoints whose sends are remembered. */
const MAXIMUM_STARTS = 1_024

/** Rejection bounds as known to one instance. */
export class RejectionGuard {
  /** Bounds by service, since all endpoints of a service name the same one. */
  private readonly bounds = new Map<string, RejectionBound>()
  /** Times of this instance's sends that risked a rejection. */
  private readonly sends = new Map<EndpointStart, SendHistory>()

  constructor(private readonly parts: RejectionGuardParts) {}

  /** Number of services that named a bound. */
  get boundedServices(): number {
    return this.bounds.size
  }

  /** An endpoint of a service named this bound in an answer; undefined if the answer named none. */
  note(service: string, rejectionsPerSecond: number | undefined): void {
    const reportedAt = this.parts.clock.monotonic()
    if (rejectionsPerSecond !== undefined) {
      this.bounds.set(service, { rejectionsPerSecond, reportedAt })
      return
    }
    const known = this.bounds.get(service)
    if (known !== undefined && reportedAt - known.reportedAt > BOUND_RETENTION_MILLISECONDS) {
      this.bounds.delete(service)
    }
  }

  /**
   * Whether a request may be sent to an endpoint now: the endpoint is not nearly full, its service named no
   * bound, or this instance has a quota of the bound that is not used up.
   */
  allows(endpoint: EndpointOccupancy): boolean {
    const bound = this.boundAtRisk(endpoint)
    if (bound === undefined) return true
    const recorded = this.parts.recordedInstances()
    if (recorded === undefined) return false
    const { instance } = this.parts
    const quota = rejectionQuota(bound.rejectionsPerSecond, instance, recorded, endpoint.start)
    return quota !== undefined && this.sendsTo(endpoint.start).waitFor(quota) === 0
  }

  /** A request is sent to the endpoint now. */
  noteSent(endpoint: EndpointOccupancy): void {
    if (this.boundAtRisk(endpoint) !== undefined) this.sendsTo(endpoint.start).note()
  }

  /** The service's bound if the endpoint is nearly full, so that it may reject the next request. */
  private boundAtRisk({ service, running, slots }: EndpointOccupancy): RejectionBound | undefined {
    const bound = this.bounds.get(service)
    return bound !== undefined && isNearlyFull(running, slots) ? bound : undefined
  }

  private sendsTo(start: EndpointStart): SendHistory {
    const known = this.sends.get(start)
    if (known !== undefined) return known
    if (this.sends.size >= MAXIMUM_STARTS) this.sends.clear()
    const created = new SendHistory(this.parts.clock)
    this.sends.set(start, created)
    return created
  }
}
