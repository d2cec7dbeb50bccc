/** Looks whether an endpoint is still there, unless this instance has lost the way to it. Owns nothing. */

import type { EndSign } from '@rackwalk/decisions'
import type { LinkWatch, WatchedEndpoint } from '../routing/linkWatch.js'
import type { BreakingEndpoint } from './endpointEnds.js'
import { probeEndpoint } from './endpointProbe.js'

/** That nobody listens proves an end only where others are reached: a link that is cut may refuse as well. */
export async function probeReached<Endpoint extends WatchedEndpoint>(
  endpoint: BreakingEndpoint,
  links: LinkWatch<Endpoint>,
): Promise<EndSign> {
  const sign = await probeEndpoint(endpoint)
  if (sign !== 'nobody-listens') return sign
  const isReaching = await links.reachesOthers(endpoint.address, endpoint.service)
  return isReaching ? sign : 'no-connection'
}
