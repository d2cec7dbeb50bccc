/**
 * Which models should which endpoints load or unload? Pure, so that whoever holds the planner's lease
 * comes to the same orders.
 */

import type { EndpointId, ModelId } from '@rackwalk/shared'
import type { ModelEndpointSpec, PlacementSpec } from '../resources/kinds.js'

/** A model endpoint as the planner sees it. */
export interface PlannerEndpoint {
  readonly endpointId: EndpointId
  readonly spec: ModelEndpointSpec
  /** Versions in memory, by model; undefined while it has not reported. */
  readonly loaded: ReadonlyMap<ModelId, string> | undefined
  readonly leaving: boolean
}

/** What an engine is told to do; it obeys only when the epoch is not older than the last. */
export interface PlacementOrder {
  readonly endpointId: EndpointId
  readonly action: 'load' | 'unload'
  readonly model: ModelId
  readonly version: string
  readonly adapters: readonly string[]
  readonly reason: string
}

/** Bounds of one round of planning. */
export interface PlanLimits {
  /** Loads that the weight store serves at the same time. */
  readonly maximumLoads: number
}

/**
 * The orders that bring endpoints closer to the placements. A function of what is
 * configured and reported, so that any planner comes to the same plan. Only endpoints that
 * check epochs are told to unload: one that does not could obey an order of a planner that
 * was replaced long ago.
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
  const able = endpoints.filter(
    endpoint =>
      endpoint.spec.models.includes(model) && !endpoint.leaving && endpoint.loaded !== undefined,
  )
  const current = able.filter(endpoint => endpoint.loaded?.get(model) === placement.version)
  const missing = placement.replicas - current.length
  if (missing > 0) {
    const rest = able.filter(endpoint => !current.includes(endpoint))
    return byLoad(rest)
      .slice(0, missing)
      .map(endpoint => orderFor(endpoint, placement, 'load', `${missing} replicas missing`))
  }
  const surplus = current.filter(endpoint => endpoint.spec.checksOrders)
  return byLoad(surplus)
    .reverse()
    .slice(0, -missing)
    .map(endpoint => orderFor(endpoint, placement, 'unload', `${-missing} replicas too many`))
}

/** Endpoints with the fewest models first, in a stable order. */
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
