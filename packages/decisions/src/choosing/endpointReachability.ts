/**
 * Decides whether this instance can reach an endpoint's failure domain, or a service at all.
 *
 * Load pattern: an instance loses its links to endpoints while callers, peers and the store still
 * reach it. Each of its requests tries one endpoint after the other and is then refused, although
 * other instances serve the same requests at that moment. Connections that were open before may
 * live on, so answers prove nothing; only the outcome of a new connection says something about a
 * link.
 *
 * | newest connections to                                      | unreachable                    |
 * | ---------------------------------------------------------- | ------------------------------ |
 * | one endpoint failed                                        | none: the endpoint may be down |
 * | two of a failure domain failed, none succeeded there since | the failure domain             |
 * | three of a service failed, none succeeded since            | the service: it is cut off     |
 *
 * Where there are fewer endpoints than that, all have to fail.
 *
 * Inputs: for each endpoint its failure domain and the monotonic times, in milliseconds, at which a
 * new connection last succeeded and last failed.
 *
 * Limits: endpoints that are all down look the same from here. So the result only leads to another
 * instance that may reach them, and never counts as a sign that an endpoint has ended. It expires
 * unless new failures renew it, so links have to be probed.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Outcomes of new connections to one endpoint; times are monotonic. */
export interface EndpointLink {
  readonly failureDomain: string
  /** When a connection last succeeded; negative infinity if never. */
  readonly connectedAt: Milliseconds
  /** When a connection last failed; negative infinity if never. */
  readonly failedAt: Milliseconds
}

/** Time for which a failure counts; up to three probes may be lost in it. */
const FAILURE_TTL_MILLISECONDS: Milliseconds = 2_000
/** Endpoints of a failure domain that have to fail for the domain to count as unreachable. */
const DOMAIN_FAILURE_THRESHOLD = 2
/**
 * Endpoints of a service that have to fail for the service to count as unreachable: in a large
 * service several endpoints may end at the same time.
 */
const SERVICE_FAILURE_THRESHOLD = 3
/** Links that are probed at once: enough to show that a service is unreachable. */
const PROBED_LINKS = 4

/** Whether the newest connection to an endpoint failed a moment ago. */
function hasFailed({ connectedAt, failedAt }: EndpointLink, now: Milliseconds): boolean {
  return failedAt > connectedAt && now - failedAt < FAILURE_TTL_MILLISECONDS
}

/**
 * Whether this instance reaches no endpoint of a service, given the links to all that may take
 * requests.
 */
export function isServiceUnreachable(links: readonly EndpointLink[], now: Milliseconds): boolean {
  return areUnreachable(links, SERVICE_FAILURE_THRESHOLD, now)
}

/**
 * Returns the links of a service that are unreachable with their failure domain or all together,
 * including links that were not tried.
 */
export function unreachableLinks<Link extends EndpointLink>(
  links: readonly Link[],
  now: Milliseconds,
): ReadonlySet<Link> {
  if (isServiceUnreachable(links, now)) return new Set(links)
  const failed = links.filter(link => hasFailed(link, now))
  const domains = new Set(failed.map(({ failureDomain }) => failureDomain))
  const unreachable = [...domains].flatMap(domain => {
    const inDomain = links.filter(({ failureDomain }) => failureDomain === domain)
    const hasEnoughLinks = inDomain.length >= DOMAIN_FAILURE_THRESHOLD
    return hasEnoughLinks && areUnreachable(inDomain, DOMAIN_FAILURE_THRESHOLD, now) ? inDomain : []
  })
  return new Set(unreachable)
}

function areUnreachable(
  links: readonly EndpointLink[],
  threshold: number,
  now: Milliseconds,
): boolean {
  if (links.length === 0) return false
  const newestConnectedAt = Math.max(...links.map(({ connectedAt }) => connectedAt))
  const failures = links.filter(link => hasFailed(link, now) && link.failedAt > newestConnectedAt)
  return failures.length >= Math.min(threshold, links.length)
}

/**
 * Returns the links to probe after a failure, spread over failure domains. Links that did not fail
 * come first, since a connection that succeeds distinguishes the end of one endpoint from a cut.
 * `chance` in [0, 1) spreads instances over the endpoints.
 */
export function linksToProbe<Link extends EndpointLink>(
  links: readonly Link[],
  now: Milliseconds,
  chance: number,
): readonly Link[] {
  const offset = Math.floor(chance * links.length)
  const rotated = [...links.slice(offset), ...links.slice(0, offset)]
  const notFailed = rotated.filter(link => !hasFailed(link, now))
  const failed = rotated.filter(link => hasFailed(link, now))
  const countByDomain = new Map<string, number>()
  const ranked = [...notFailed, ...failed].map(link => {
    const rankInDomain = countByDomain.get(link.failureDomain) ?? 0
    countByDomain.set(link.failureDomain, rankInDomain + 1)
    return { link, rankInDomain }
  })
  ranked.sort((left, right) => left.rankInDomain - right.rankInDomain)
  return ranked.slice(0, PROBED_LINKS).map(({ link }) => link)
}
