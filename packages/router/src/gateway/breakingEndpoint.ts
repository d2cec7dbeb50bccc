/** An endpoint that broke a request off, as the search for ends looks at it. Owns nothing. */

import type { BreakingEndpoint } from '../crashes/endpointEnds.js'
import type { EndpointState } from './endpointState.js'
import type { GatewayService } from './gatewayConfiguration.js'

/** The endpoint as it is known at this moment. */
export function breakingEndpointOf(
  endpoint: EndpointState,
  { engine }: GatewayService,
): BreakingEndpoint {
  const { record, leavesAsPlanned, hasEnded } = endpoint
  const heard = () => ({ askedAt: Number.NEGATIVE_INFINITY, readAt: endpoint.heardAt })
  const known = { leavesAsPlanned, hasEnded, statePath: engine?.statePath, heard }
  return { ...record, ...known, isStartTold: true }
}
