/**
 * Which endpoints are left out because they keep failing? Owns the failures in a row and the times of
 * return.
 */

import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'

interface Health {
  consecutiveFailures: number
  ejections: number
  ejectedUntil: Milliseconds
}

const FAILURES_BEFORE_EJECTION = 3
const FIRST_EJECTION_MILLISECONDS = 5_000
const LONGEST_EJECTION_MILLISECONDS = 60_000
/** Greatest share of a pool that may be ejected, so that a bad reading cannot empty it. */
const MAXIMUM_EJECTED_SHARE = 0.34

/** Leaves out endpoints that keep failing, for a while and never too many of them. */
export class OutlierEjection {
  private readonly health = new Map<EndpointId, Health>()

  constructor(private readonly clock: Clock) {}

  noteSuccess(endpointId: EndpointId): void {
    const health = this.health.get(endpointId)
    if (health === undefined) return
    health.consecutiveFailures = 0
    if (health.ejectedUntil <= this.clock.monotonic()) health.ejections = 0
  }

  /** True when this failure ejected the endpoint. */
  noteFailure(endpointId: EndpointId): boolean {
    const health = this.healthOf(endpointId)
    health.consecutiveFailures += 1
    if (health.consecutiveFailures < FAILURES_BEFORE_EJECTION) return false
    health.consecutiveFailures = 0
    health.ejections += 1
    const duration = FIRST_EJECTION_MILLISECONDS * 2 ** (health.ejections - 1)
    const bounded = Math.min(LONGEST_EJECTION_MILLISECONDS, duration)
    health.ejectedUntil = this.clock.monotonic() + bounded
    return true
  }

  /** The endpoints that may be used; over the ceiling, those whose time ends first come back. */
  usableEndpoints<Endpoint extends { readonly endpointId: EndpointId }>(
    pool: readonly Endpoint[],
  ): readonly Endpoint[] {
    const ejected = pool.filter(({ endpointId }) => this.isEjected(endpointId))
    if (ejected.length === 0) return pool
    const ceiling = Math.floor(pool.length * MAXIMUM_EJECTED_SHARE)
    const keptOut = ejected
      .sort((left, right) => this.until(right.endpointId) - this.until(left.endpointId))
      .slice(0, ceiling)
    const out = new Set(keptOut)
    return pool.filter(endpoint => !out.has(endpoint))
  }

  isEjected(endpointId: EndpointId): boolean {
    return this.until(endpointId) > this.clock.monotonic()
  }

  forget(endpointId: EndpointId): void {
    this.health.delete(endpointId)
  }

  private until(endpointId: EndpointId): Milliseconds {
    return this.health.get(endpointId)?.ejectedUntil ?? Number.NEGATIVE_INFINITY
  }

  private healthOf(endpointId: EndpointId): Health {
    const known = this.health.get(endpointId)
    if (known !== undefined) return known
    const created = { consecutiveFailures: 0, ejections: 0, ejectedUntil: 0 }
    this.health.set(endpointId, created)
    return created
  }
}
