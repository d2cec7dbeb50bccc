/**
 * Does this instance reach an endpoint, a failure domain, a service at all?
 *
 * Load pattern: an instance loses its links to endpoints while callers, peers and the store go on reaching it. Each of its
 * requests tries one endpoint after the other and is refused, though other instances serve the same requests at that moment. Connections that were
 * open may live on, so that answers prove nothing; only a new connection that comes up or does not says something of a link.
 *
 * | new connections                                                       | unreached                  |
 * | --------------------------------------------------------------------- | -------------------------- |
 * | the newest to one endpoint did not come up                            | nothing: it may have ended |
 * | the newest to two of a failure domain, and none came up there since   | the failure domain         |
 * | the newest to three of a service, and none came up anywhere since     | the service: it is cut off |
 *
 * Where there are fewer endpoints than that, all have to fail.
 *
 * Limits: endpoints that are all gone look alike from here, so the belief leads to another instance that reaches them, and
 * never says of an endpoint that it has ended. It is forgotten unless new failures renew it: somebody has to check.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What new connections to one endpoint have shown; times are monotonic. */
export interface EndpointLink {
  readonly failureDomain: string
  /** When one came up last; long ago where none did. */
  readonly connectedAt: Milliseconds
  /** When one last did not come up. */
  readonly failedAt: Milliseconds
}

/** A failure says something of a link for so long: three checks may be lost. */
const FAILURE_TTL_MILLISECONDS: Milliseconds = 2_000
/** Endpoints of a failure domain that fail with it, */
const FAILURES_IN_DOMAIN = 2
/** and of a service: in a large one several may end at the same time. */
const FAILURES_IN_SERVICE = 3
/** Links that one check looks at: enough to show that a service is cut off. */
const PROBED_LINKS = 4

/** Whether the newest connection to an endpoint did not come up a moment ago. */
function hasFailed({ connectedAt, failedAt }: EndpointLink, now: Milliseconds): boolean {
  return failedAt > connectedAt && now - failedAt < FAILURE_TTL_MILLISECONDS
}

/** Whether an instance reaches no endpoint of a service, given the links to all that may take requests. */
export function isServiceUnreachable(links: readonly EndpointLink[], now: Milliseconds): boolean {
  return areUnreachable(links, FAILURES_IN_SERVICE, now)
}

/** The links of a service that are lost with their failure domain or all together, those that were not tried included. */
export function unreachableLinks<Link extends EndpointLink>(
  links: readonly Link[],
  now: Milliseconds,
): ReadonlySet<Link> {
  if (isServiceUnreachable(links, now)) return new Set(links)
  const failed = links.filter(link => hasFailed(link, now))
  const domains = new Set(failed.map(({ failureDomain }) => failureDomain))
  const lost = [...domains].flatMap(domain => {
    const inDomain = links.filter(({ failureDomain }) => failureDomain === domain)
    const isDomain = inDomain.length >= FAILURES_IN_DOMAIN
    return isDomain && areUnreachable(inDomain, FAILURES_IN_DOMAIN, now) ? inDomain : []
  })
  return new Set(lost)
}

function areUnreachable(
  links: readonly EndpointLink[],
  needed: number,
  now: Milliseconds,
): boolean {
  if (links.length === 0) return false
  const newest = Math.max(...links.map(({ connectedAt }) => connectedAt))
  const failures = links.filter(link => hasFailed(link, now) && link.failedAt > newest)
  return failures.length >= Math.min(needed, links.length)
}

/**
 * The links to check after a failure, spread over failure domains: first those that were not seen to fail, since one that
 * comes up tells the end of an endpoint from a cut. `chance` in [0, 1) spreads instances over the endpoints.
 */
export function linksToProbe<Link extends EndpointLink>(
  links: readonly Link[],
  now: Milliseconds,
  chance: number,
): readonly Link[] {
  const offset = Math.floor(chance * links.length)
  const turned = [...links.slice(offset), ...links.slice(0, offset)]
  const sound = turned.filter(link => !hasFailed(link, now))
  const failed = turned.filter(link => hasFailed(link, now))
  const seen = new Map<string, number>()
  const placed = [...sound, ...failed].map(link => {
    const place = seen.get(link.failureDomain) ?? 0
    seen.set(link.failureDomain, place + 1)
    return { link, place }
  })
  placed.sort((left, right) => left.place - right.place)
  return placed.slice(0, PROBED_LINKS).map(({ link }) => link)
}
