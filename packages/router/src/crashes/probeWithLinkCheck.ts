/** Looks whether an endpoint is still there, unless this instance has lost the way to it. Owns nothing. */

import type { ProbeResult } from '@rackwalk/decisions'
import type { LinkMonitor, MonitoredEndpoint } from '../routing/linkMonitor.js'
import type { SuspectEndpoint } from './endpointCrashDetector.js'
import { probeEndpoint } from './endpointProbe.js'

/** That nobody listens proves an end only where others are reached: a link that is cut may refuse as well. */
export async function probeWithLinkCheck<Endpoint extends MonitoredEndpoint>(
  endpoint: SuspectEndpoint,
  links: LinkMonitor<Endpoint>,
): Promise<ProbeResult> {
  const sign = await probeEndpoint(endpoint)
  if (sign !== 'nobody-listens') return sign
  const isReaching = await links.reachesOthers(endpoint.address, endpoint.service)
  return isReaching ? sign : 'no-connection'
}
