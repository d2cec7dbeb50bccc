/** An endpoint that broke a request off, as the search for ends looks at it. Owns nothing. */

import type { SuspectEndpoint } from '../crashes/endpointCrashDetector.js'
import type { EndpointState } from './endpointState.js'
import type { GatewayService } from './gatewayConfiguration.js'

/** The endpoint as it is known at this moment. */
export function suspectEndpointOf(
  endpoint: EndpointState,
  { engine }: GatewayService,
): SuspectEndpoint {
  const { record, isPlannedShutdown, hasEnded } = endpoint
  const heard = () => ({ askedAt: Number.NEGATIVE_INFINITY, readAt: endpoint.heardAt })
  const known = { isPlannedShutdown, hasEnded, statePath: engine?.statePath, heard }
  return { ...record, ...known, isStartReported: true }
}
