/**
 * What this instance may send to endpoints that are warming up. Owns the licences that it has reckoned; the rule is
 * in decisions/choosing/warmUp.
 */

import { holdsLicence, warmUpShares } from '@rackwalk/decisions'
import type { WarmUpBounds, WarmUpLicence } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import type { EndpointState } from './endpointState.js'

/** What the licences rest on. */
export interface WarmUpsParts {
  readonly clock: Clock
  readonly instance: string
  /** All instances that are recorded, this one included; undefined while this one may not be known to them. */
  readonly recordedInstances: () => readonly string[] | undefined
  /** Undefined where the endpoints of a service need no warm-up. */
  readonly boundsOf: (service: string) => WarmUpBounds | undefined
}

/** A licence is reckoned anew after this time. Chosen: rows of instances are read about once a second. */
const LICENCE_MILLISECONDS = 1_000
/** Licences that are remembered at the most: more than there are cold endpoints at once. Chosen. */
const REMEMBERED_LICENCES = 1_000

interface KnownLicence {
  /** Undefined where this instance has none. */
  readonly licence: WarmUpLicence | undefined
  readonly at: Milliseconds
}

/** The licences of one instance. */
export class WarmUps {
  private readonly licences = new Map<EndpointStart, KnownLicence>()

  constructor(private readonly parts: WarmUpsParts) {}

  /** Whether a request may be sent to an endpoint now: it is warm, or this instance holds a licence that is not used up. */
  takes(endpoint: EndpointState): boolean {
    if (!endpoint.isCold) return true
    const bounds = this.parts.boundsOf(endpoint.record.service)
    if (bounds === undefined) return true
    const licence = this.licenceFor(endpoint.record.start, bounds)
    if (licence === undefined) return false
    return endpoint.sentWithin(licence.windowMilliseconds) < licence.requests
  }

  private licenceFor(start: EndpointStart, bounds: WarmUpBounds): WarmUpLicence | undefined {
    const now = this.parts.clock.sinceStart()
    const known = this.licences.get(start)
    if (known !== undefined && now - known.at < LICENCE_MILLISECONDS) return known.licence
    if (this.licences.size >= REMEMBERED_LICENCES) this.licences.clear()
    const licence = this.reckon(start, bounds)
    this.licences.set(start, { licence, at: now })
    return licence
  }

  private reckon(start: EndpointStart, bounds: WarmUpBounds): WarmUpLicence | undefined {
    const { instance, recordedInstances } = this.parts
    const recorded = recordedInstances()
    if (recorded === undefined) return undefined
    const { holders, licence } = warmUpShares(bounds.requestsPerSecond, recorded.length)
    return holdsLicence(instance, recorded, start, holders) ? licence : undefined
  }
}
