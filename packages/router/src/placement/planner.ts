/**
 * Plans which endpoints load or unload which models, so that each placement has its number of
 * replicas. Pure, so that successive holders of the planner's lease arrive at the same orders from
 * the same configuration and reports.
 */

import type { EndpointId, ModelId } from '@rackwalk/shared'
import type { ModelEndpointSpec, PlacementSpec } from '../resources/kinds.js'

/** A model endpoint as the planner sees it. */
export interface PlannerEndpoint {
  readonly endpointId: EndpointId
  readonly spec: ModelEndpointSpec
  /** Loaded versions by model; undefined until the endpoint has reported. */
  readonly loaded: ReadonlyMap<ModelId, string> | undefined
  /** Whether the endpoint accepts no new requests because it is about to terminate. */
  readonly leaving: boolean
}

/**
 * An order to an engine. The order is sent with the epoch of the planner's lease. An engine that
 * checks orders obeys only if the epoch is not older than that of the latest order.
 */
export interface PlacementOrder {
  readonly endpointId: EndpointId
  readonly action: 'load' | 'unload'
  readonly model: ModelId
  readonly version: string
  readonly adapters: readonly string[]
  readonly reason: string
}

/** Limits of one planning round. */
export interface PlanLimits {
  /** Maximum number of loads ordered: as many as the weight store can serve at the same time. */
  readonly maximumLoads: number
}

/**
 * Returns the orders that bring the endpoints closer to the placements, loads first. Depends only
 * on configuration and reports, so that every planner arrives at the same plan. Leaving endpoints
 * and those without a report get no orders. Only endpoints that check epochs are ordered to unload:
 * any other endpoint could obey an old order of a planner that was replaced since.
 */
export function planPlacements(
  placements: readonly PlacementSpec[],
  endpoints: readonly PlannerEndpoint[],
  limits: PlanLimits,
): readonly PlacementOrder[] {
  const orders = placements.flatMap(placement => ordersFor(placement, endpoints))
  const loads = orders.filter(order => order.action === 'load').slice(0, limits.maximumLoads)
  return [...loads, ...orders.filter(order => order.action === 'unload')]
}

function ordersFor(
  placement: PlacementSpec,
  endpoints: readonly PlannerEndpoint[],
): readonly PlacementOrder[] {
  const model = placement.model as ModelId
  const candidates = endpoints.filter(
    endpoint =>
      endpoint.spec.models.includes(model) && !endpoint.leaving && endpoint.loaded !== undefined,
  )
  const current = candidates.filter(endpoint => endpoint.loaded?.get(model) === placement.version)
  const missing = placement.replicas - current.length
  if (missing > 0) {
    const others = candidates.filter(endpoint => !current.includes(endpoint))
    return byLoad(others)
      .slice(0, missing)
      .map(endpoint => orderFor(endpoint, placement, 'load', `${missing} replicas missing`))
  }
  const surplus = current.filter(endpoint => endpoint.spec.checksOrders)
  return byLoad(surplus)
    .reverse()
    .slice(0, -missing)
    .map(endpoint => orderFor(endpoint, placement, 'unload', `${-missing} replicas too many`))
}

/** Returns the endpoints by the number of loaded models, fewest first, and then by id. */
function byLoad(endpoints: readonly PlannerEndpoint[]): PlannerEndpoint[] {
  const size = (endpoint: PlannerEndpoint) => endpoint.loaded?.size ?? 0
  return [...endpoints].sort(
    (left, right) => size(left) - size(right) || (left.endpointId < right.endpointId ? -1 : 1),
  )
}

function orderFor(
  { endpointId }: PlannerEndpoint,
  { model, version, adapters }: PlacementSpec,
  action: PlacementOrder['action'],
  reason: string,
): PlacementOrder {
  return { endpointId, action, model: model as ModelId, version, adapters, reason }
}
