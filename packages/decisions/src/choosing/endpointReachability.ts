/**
 * Decides whether this instance can reach the endpoints of a failure domain, or of a whole service,
 * and which endpoints are probed after a failed connection. A probe opens a new connection.
 *
 * Load pattern: an instance loses its links to endpoints while callers, peers and the store still
 * reach it. Each of its requests tries one endpoint after the other and is then refused, although
 * other instances serve the same requests at that moment. Connections that were open before may
 * stay usable, so answers on them do not show that a link works; only a new connection does. A new
 * connection in turn may come up at an accept queue or a proxy while nothing sent on it is answered.
 * So an endpoint that reports its state has to answer on the new connection, and links are probed
 * as well once requests have been silent for `silenceMilliseconds`.
 *
 * | newest connections to                                       | unreachable                    |
 * | ----------------------------------------------------------- | ------------------------------ |
 * | one endpoint failed                                         | none: the endpoint may be down |
 * | two of a failure domain failed, none succeeded there since  | the failure domain             |
 * | three of a service failed, none succeeded there since       | the service                    |
 *
 * A service with fewer than three endpoints is unreachable if all of them failed. A failure domain
 * with one endpoint is never unreachable by itself. An instance that reaches no endpoint of a
 * service is cut off from the service.
 *
 * Inputs: for each endpoint its failure domain and the monotonic times, in milliseconds, at which a
 * new connection last succeeded and last failed; for the choice of probes a random number; for the
 * silence the time that a request has left.
 *
 * Limits: endpoints that are all down look the same to this instance as a lost link. So the result
 * only leads to another instance that may reach the endpoints, and never counts as a sign that an
 * endpoint has ended. A failure counts for `FAILURE_TTL_MILLISECONDS`, so links have to be probed
 * again for a result to last.
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

/**
 * Time for which a failure counts: longer than four intervals between probes, so that a result
 * lasts although up to three probes in a row are missing.
 */
const FAILURE_TTL_MILLISECONDS: Milliseconds = 2_000
/** Number of endpoints of a failure domain that have to fail for the domain to be unreachable. */
const DOMAIN_FAILURE_THRESHOLD = 2
/**
 * Number of endpoints of a service that have to fail for the service to be unreachable: in a large
 * service several endpoints may end at the same time.
 */
const SERVICE_FAILURE_THRESHOLD = 3
/** Number of links that are probed at once: enough to show that a service is unreachable. */
const PROBED_LINKS = 4

/** Longest silence of a request, with no answer from any endpoint of its service, before links are probed. */
const LONGEST_SILENCE_MILLISECONDS: Milliseconds = 1_000
/** Share of the time to a request's deadline after which its silence leads to probes. */
const SILENCE_SHARE = 0.5

/** Returns how long a request may be silent before links are probed, from the time until its deadline. */
export function silenceMilliseconds(remaining: Milliseconds): Milliseconds {
  return Math.min(LONGEST_SILENCE_MILLISECONDS, SILENCE_SHARE * remaining)
}

/** Whether the newest connection to an endpoint failed, and that failure still counts. */
function hasFailed({ connectedAt, failedAt }: EndpointLink, now: Milliseconds): boolean {
  return failedAt > connectedAt && now - failedAt < FAILURE_TTL_MILLISECONDS
}

/**
 * Whether this instance reaches no endpoint of a service. `links` are the links to all endpoints of
 * the service that may take requests.
 */
export function isServiceUnreachable(links: readonly EndpointLink[], now: Milliseconds): boolean {
  return areUnreachable(links, SERVICE_FAILURE_THRESHOLD, now)
}

/**
 * Returns all links of a service that is unreachable, or else those of its unreachable failure
 * domains, in both cases including links that were not tried.
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
 * Returns the links to probe after a failure: one of each failure domain before a second one of
 * any, and among these first the links that did not fail, since a connection that succeeds shows
 * that an endpoint has ended and not a link. `randomFraction`, a random number in [0, 1), makes
 * instances probe different endpoints.
 */
export function linksToProbe<Link extends EndpointLink>(
  links: readonly Link[],
  now: Milliseconds,
  randomFraction: number,
): readonly Link[] {
  const offset = Math.floor(randomFraction * links.length)
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
