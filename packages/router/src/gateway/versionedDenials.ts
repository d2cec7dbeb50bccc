/**
 * Compares each refusal for an unknown route or key with the versions of the configuration before and after the one
 * that refused it. Without the comparison, a refusal by a configuration that was not the newest looks like that of a
 * request that no configuration allows. Owns the version before the current one, for a short time, and the newest
 * refusals.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { GatewayRoute, GatewayTeam, RouteTable } from './gatewayConfiguration.js'

/** What of a request the configuration allows or not. */
export interface RequestedRoute {
  readonly requestId: string
  readonly host: string
  readonly path: string
  readonly key: string | undefined
}

/** A refusal that another version would not have given. */
export interface ContradictedDenial {
  readonly request: string
  /** Version of the configuration that refused the request. */
  readonly refusedBy: number
  /** Version of the configuration that allows it. */
  readonly allowedBy: number
  /** Time from the change between the two versions at this instance to the refusal; negative if the change came later. */
  readonly sinceChangeMilliseconds: Milliseconds
}

interface Denial {
  readonly requested: RequestedRoute
  readonly version: number
  readonly at: Milliseconds
}

/** Time around a change for which refusals are compared with the version on its other side. */
const COMPARED_MILLISECONDS: Milliseconds = 10_000
/** Maximum number of refusals that are kept for the next version. */
const REMEMBERED_DENIALS = 64

/** Finds refusals that a neighbouring version of the configuration contradicts. */
export class VersionedDenials {
  private current: RouteTable | undefined
  private previous: RouteTable | undefined
  private changedAt: Milliseconds = 0
  private denials: Denial[] = []

  constructor(
    private readonly clock: Clock,
    private readonly onContradicted: (denial: ContradictedDenial) => void,
  ) {}

  /** Time for which the current version has been known; undefined before the first one. */
  get versionAge(): Milliseconds | undefined {
    return this.current === undefined ? undefined : this.clock.monotonic() - this.changedAt
  }

  /** Notes the version in force, and compares it with earlier refusals if it is new. */
  observe(routes: RouteTable): void {
    if (routes === this.current) {
      this.forgetPrevious()
      return
    }
    this.previous = this.current
    this.current = routes
    this.changedAt = this.clock.monotonic()
    const recent = this.denials.filter(({ at }) => this.changedAt - at <= COMPARED_MILLISECONDS)
    this.denials = []
    for (const denial of recent) this.compare(denial, routes)
  }

  /** Notes a refusal by the current version. */
  note(requested: RequestedRoute): void {
    if (this.current === undefined) return
    const denial = { requested, version: this.current.version, at: this.clock.monotonic() }
    this.forgetPrevious()
    if (this.previous !== undefined) this.compare(denial, this.previous)
    this.denials.push(denial)
    if (this.denials.length > REMEMBERED_DENIALS) this.denials.shift()
  }

  private forgetPrevious(): void {
    const isOld = this.clock.monotonic() - this.changedAt > COMPARED_MILLISECONDS
    if (isOld) this.previous = undefined
  }

  private compare({ requested, version, at }: Denial, routes: RouteTable): void {
    if (!isAllowed(requested, routes)) return
    this.onContradicted({
      request: requested.requestId,
      refusedBy: version,
      allowedBy: routes.version,
      sinceChangeMilliseconds: Math.round(at - this.changedAt),
    })
  }
}

function isAllowed({ host, path, key }: RequestedRoute, routes: RouteTable): boolean {
  const route: GatewayRoute | undefined = routes.match(host, path)
  if (route === undefined) return false
  const team: GatewayTeam | undefined = key === undefined ? undefined : routes.teamOf(key)
  return route.isAnonymous || team !== undefined
}
