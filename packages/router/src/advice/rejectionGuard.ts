/**
 * Keeps requests from endpoints that would turn them away and that bear only few of these. Owns what services said of it in
 * their answers, and what was sent at the risk of being turned away; the rule is in decisions/choosing/turnAwayRisk.
 */

import { isNearlyFull, rejectionQuota } from '@rackwalk/decisions'
import type { RecordedInstance } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import { SendHistory } from './sendHistory.js'

/** What the guard works with. */
export interface TurnAwayGuardParts {
  readonly clock: Clock
  /** The name under which this instance is recorded. */
  readonly instance: string
  /** All instances that are recorded, this one included; undefined while this one may not be known to them. */
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
}

/** An endpoint, and what is in progress there from all instances. */
export interface EndpointOccupancy {
  readonly start: EndpointStart
  readonly service: string
  readonly slots: number
  readonly running: number
}

interface RejectionBound {
  readonly turnAwaysPerSecond: number
  /** Monotonic time of the newest answer that named it. */
  readonly saidAt: Milliseconds
}

/** Answers that were begun before a service said it may come for so long. */
const SAID_MILLISECONDS: Milliseconds = 1_000
/** Endpoints whose sends are remembered at the most. */
const REMEMBERED_STARTS = 1_024

/** What one instance knows of endpoints that bear few turned away requests. */
export class RejectionGuard {
  /** By service: all endpoints of one say the same. */
  private readonly bounds = new Map<string, RejectionBound>()
  /** Sends at the risk of being turned away. */
  private readonly sends = new Map<EndpointStart, SendHistory>()

  constructor(private readonly parts: TurnAwayGuardParts) {}

  /** Services that named such a bound. */
  get boundedServices(): number {
    return this.bounds.size
  }

  /** An endpoint of a service named this bound in an answer, or none. */
  note(service: string, turnAwaysPerSecond: number | undefined): void {
    const saidAt = this.parts.clock.monotonic()
    if (turnAwaysPerSecond !== undefined) {
      this.bounds.set(service, { turnAwaysPerSecond, saidAt })
      return
    }
    const known = this.bounds.get(service)
    if (known !== undefined && saidAt - known.saidAt > SAID_MILLISECONDS) {
      this.bounds.delete(service)
    }
  }

  /** Whether an endpoint may be sent something now. */
  allows(endpoint: EndpointOccupancy): boolean {
    const bound = this.boundAtRisk(endpoint)
    if (bound === undefined) return true
    const recorded = this.parts.recordedInstances()
    if (recorded === undefined) return false
    const { instance } = this.parts
    const licence = rejectionQuota(bound.turnAwaysPerSecond, instance, recorded, endpoint.start)
    return licence !== undefined && this.sendsTo(endpoint.start).waitFor(licence) === 0
  }

  /** It is sent something now. */
  noteSent(endpoint: EndpointOccupancy): void {
    if (this.boundAtRisk(endpoint) !== undefined) this.sendsTo(endpoint.start).note()
  }

  private boundAtRisk({ service, running, slots }: EndpointOccupancy): RejectionBound | undefined {
    const bound = this.bounds.get(service)
    return bound !== undefined && isNearlyFull(running, slots) ? bound : undefined
  }

  private sendsTo(start: EndpointStart): SendHistory {
    const known = this.sends.get(start)
    if (known !== undefined) return known
    if (this.sends.size >= REMEMBERED_STARTS) this.sends.clear()
    const created = new SendHistory(this.parts.clock)
    this.sends.set(start, created)
    return created
  }
}
