/**
 * Decides which endpoints get no requests for a time because several requests in a row failed there
 * (ejection). Without ejection, an endpoint that fails fast looks idle and attracts requests. Each
 * further ejection of an endpoint lasts twice as long, up to a limit. Owns the number of
 * consecutive failures of each endpoint and the times at which ejections end.
 */

import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'

interface Health {
  consecutiveFailures: number
  /** Number of ejections since the latest success outside of an ejection. */
  ejections: number
  /** Monotonic time at which the latest ejection ends. */
  ejectedUntil: Milliseconds
}

const FAILURES_BEFORE_EJECTION = 3
const FIRST_EJECTION_MILLISECONDS = 5_000
const LONGEST_EJECTION_MILLISECONDS = 60_000
/**
 * Greatest share of a pool that is left out because of ejections, so that a fault of this instance,
 * which looks like failures of all endpoints, does not leave it without endpoints.
 */
const MAXIMUM_EJECTED_SHARE = 0.34

/**
 * Ejects endpoints that keep failing, for a limited time and up to a share of each pool. In a pool
 * of fewer than three endpoints, all stay in use.
 */
export class OutlierEjection {
  private readonly health = new Map<EndpointId, Health>()

  constructor(private readonly clock: Clock) {}

  /**
   * Records a success, which ends a series of failures. Outside of an ejection it also makes the
   * next ejection as short as the first.
   */
  noteSuccess(endpointId: EndpointId): void {
    const health = this.health.get(endpointId)
    if (health === undefined) return
    health.consecutiveFailures = 0
    if (health.ejectedUntil <= this.clock.monotonic()) health.ejections = 0
  }

  /** Records a failure. Returns true if it ejected the endpoint. */
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

  /**
   * Returns the endpoints of a pool that may be used. If more than the permitted share is ejected,
   * the ejected endpoints whose ejection ends first are included.
   */
  usableEndpoints<Endpoint extends { readonly endpointId: EndpointId }>(
    pool: readonly Endpoint[],
  ): readonly Endpoint[] {
    const ejected = pool.filter(({ endpointId }) => this.isEjected(endpointId))
    if (ejected.length === 0) return pool
    const ceiling = Math.floor(pool.length * MAXIMUM_EJECTED_SHARE)
    const stillEjected = ejected
      .sort((left, right) => this.ejectionEnd(right.endpointId) - this.ejectionEnd(left.endpointId))
      .slice(0, ceiling)
    const excluded = new Set(stillEjected)
    return pool.filter(endpoint => !excluded.has(endpoint))
  }

  isEjected(endpointId: EndpointId): boolean {
    return this.ejectionEnd(endpointId) > this.clock.monotonic()
  }

  forget(endpointId: EndpointId): void {
    this.health.delete(endpointId)
  }

  private ejectionEnd(endpointId: EndpointId): Milliseconds {
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
