/**
 * Chooses the endpoint of the first attempt, before dispatch, so that a request without a usable
 * endpoint is never sent.
 */

import type { EndpointRouter } from '../routing/endpointRouter.js'
import type { ClaimedRequest, Filter, RoutedRequest } from './stages.js'

/** Chooses the endpoint of the first attempt. */
export class RouteFilter implements Filter<ClaimedRequest, RoutedRequest> {
  constructor(private readonly router: EndpointRouter) {}

  async apply(request: ClaimedRequest): Promise<RoutedRequest> {
    const { endpointId } = this.router.choose(request)
    return { ...request, endpointId }
  }
}
