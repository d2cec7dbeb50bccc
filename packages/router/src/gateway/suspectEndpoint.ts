/** Describes an endpoint that reset a request for the crash detector. Owns nothing. */

import type { SuspectEndpoint } from '../crashes/endpointCrashDetector.js'
import type { EndpointState } from './endpointState.js'
import type { GatewayService } from './gatewayConfiguration.js'

/** The endpoint as known at this moment. */
export function suspectEndpointOf(
  endpoint: EndpointState,
  { engine }: GatewayService,
): SuspectEndpoint {
  const { record, isPlannedShutdown, hasEnded } = endpoint
  const heard = () => ({ askedAt: Number.NEGATIVE_INFINITY, readAt: endpoint.heardAt })
  const known = { isPlannedShutdown, hasEnded, statePath: engine?.statePath, heard }
  return { ...record, ...known, isStartReported: true }
}
