/**
 * The gateway's configuration: one version of routes, services, teams and limits, with the indexes that
 * serving a request needs.
 */

import type { WarmUpBounds } from '@rackwalk/decisions'
import type { Bytes, Milliseconds, TokenCount } from '@rackwalk/shared'

interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** The targets of requests with a host and path prefix, and their limits. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean
  readonly isStreaming: boolean
  /** Whether an interrupted stream may be continued at another endpoint. */
  readonly isResumable: boolean
  /** Whether requests need no key. */
  readonly isAnonymous: boolean
  readonly targets: readonly RouteTarget[]
  /** Maximum number of endpoints to which one request is sent. */
  readonly maximumAttempts: number
  readonly timeoutMilliseconds: Milliseconds
  /** Time to the first byte after which an answer counts as late. */
  readonly goalMilliseconds: Milliseconds
  /** The longest pause between events that callers accept; undefined if they accept any. */
  readonly pauseGoalMilliseconds: Milliseconds | undefined
  /** 0 is the most urgent. */
  readonly priority: number
}

/** A service that endpoints provide. */
export interface GatewayService {
  readonly name: string
  /** Connections that one endpoint accepts from all instances together. */
  readonly maximumConnections: number
  /** Set if the endpoints run a model. */
  readonly engine: GatewayEngine | undefined
  /** Set if endpoints that have just started accept fewer requests. */
  readonly warmUp: WarmUpBounds | undefined
}

/** Properties of the endpoints of a model. */
interface GatewayEngine {
  /** Path that reports an endpoint's state without using a slot. */
  readonly statePath: string
  readonly tokensPerEvent: TokenCount
  /** Tokens that an endpoint's memory holds; undefined if not configured. */
  readonly capacity: TokenCount | undefined
}

/** A team with its keys and prepaid tokens. */
export interface GatewayTeam {
  readonly name: string
  readonly keys: readonly string[]
  readonly priority: number | undefined
  /** Undefined if the team has no limit. */
  readonly prepaid: TokenCount | undefined
}

/** Limits on connections and requests of callers. */
export interface GatewayLimits {
  readonly headerBytes: Bytes
  readonly bodyBytes: Bytes
  readonly headerMilliseconds: Milliseconds
  readonly idleMilliseconds: Milliseconds
}

/** One version of the configuration. */
export interface GatewayConfiguration {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly GatewayService[]
  readonly teams: readonly GatewayTeam[]
  readonly limits: GatewayLimits
}

/** A configuration with the indexes that serving a request needs. */
export class RouteTable {
  private readonly routesByHost = new Map<string, readonly GatewayRoute[]>()
  private readonly teamsByKey = new Map<string, GatewayTeam>()
  private readonly servicesByName = new Map<string, GatewayService>()

  constructor(readonly configuration: GatewayConfiguration) {
    for (const route of configuration.routes) {
      const list = this.routesByHost.get(route.host) ?? []
      this.routesByHost.set(route.host, [...list, route])
    }
    for (const [host, routes] of this.routesByHost) {
      this.routesByHost.set(host, [...routes].sort(byLongestPrefix))
    }
    for (const team of configuration.teams) {
      for (const key of team.keys) this.teamsByKey.set(key, team)
    }
    for (const service of configuration.services) this.servicesByName.set(service.name, service)
  }

  get version(): number {
    return this.configuration.version
  }

  /** Returns the host's route with the longest prefix of the path; `host` may contain a port and end in a dot. */
  match(host: string, path: string): GatewayRoute | undefined {
    const name = hostName(host)
    return this.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix))
  }

  teamOf(key: string): GatewayTeam | undefined {
    return this.teamsByKey.get(key)
  }

  service(name: string): GatewayService | undefined {
    return this.servicesByName.get(name)
  }
}

/** Picks a service by the weights of a route's targets; `chance` is uniform in [0, 1). */
export function chooseService(route: GatewayRoute, chance: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let position = chance * total
  for (const target of route.targets) {
    position -= target.weight
    if (position < 0) return target.service
  }
  return route.targets.at(-1)?.service
}

/** Returns the name without a port; one with a final dot, which marks it as complete, is the same host. */
function hostName(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '').replace(/\.$/, '')
}

function byLongestPrefix(left: GatewayRoute, right: GatewayRoute): number {
  return right.pathPrefix.length - left.pathPrefix.length
}
