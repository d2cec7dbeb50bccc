/**
 * Probes whether an endpoint is alive, and treats a refused connection as inconclusive if this instance
 * reaches no other endpoint. Owns nothing.
 */

import type { ProbeResult } from '@rackwalk/decisions'
import type { LinkMonitor, MonitoredEndpoint } from '../routing/linkMonitor.js'
import type { SuspectEndpoint } from './endpointCrashDetector.js'
import { probeEndpoint } from './endpointProbe.js'

/**
 * Returns the result of a probe. A refused connection proves a termination only if other endpoints are
 * reachable, since a broken network path may refuse connections as well.
 */
export async function probeWithLinkCheck<Endpoint extends MonitoredEndpoint>(
  endpoint: SuspectEndpoint,
  links: LinkMonitor<Endpoint>,
): Promise<ProbeResult> {
  const result = await probeEndpoint(endpoint)
  if (result !== 'nobody-listens') return result
  const reachesOthers = await links.reachesOthers(endpoint.address, endpoint.service)
  return reachesOthers ? result : 'no-connection'
}
