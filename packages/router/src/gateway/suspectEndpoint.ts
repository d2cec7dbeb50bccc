/** Describes an endpoint that reset a request for the crash detector. Owns nothing. */

import type { SuspectEndpoint } from '../crashes/endpointCrashDetector.js'
import type { EndpointState } from './endpointState.js'
import type { GatewayService } from './gatewayConfiguration.js'

/** Returns the endpoint as known now; `heard` stays live, and no state reports are read by the gateway. */
export function suspectEndpointOf(
  endpoint: EndpointState,
  { engine }: GatewayService,
): SuspectEndpoint {
  const { record, isPlannedShutdown, hasEnded } = endpoint
  const heard = () => ({ askedAt: Number.NEGATIVE_INFINITY, readAt: endpoint.heardAt })
  const known = { isPlannedShutdown, hasEnded, statePath: engine?.statePath, heard }
  return { ...record, ...known, isStartReported: true }
}
