/**
 * Turns placements, which are resources of the configuration, into orders to engines to load or unload a model, while
 * this instance is the planner. Owns the orders that are not yet fulfilled; the holder of the lease is the planner.
 */

import type { Clock, EndpointId, Milliseconds, ModelId, Task, Timer } from '@rackwalk/shared'
import type { Lease } from '@rackwalk/coordination'
import { planPlacements } from '@rackwalk/router'
import type {
  Catalogue,
  EndpointClient,
  EndpointTable,
  PlannerEndpoint,
  PlacementOrder,
} from '@rackwalk/router'
import type { Logger } from '../observe/logger.js'

/** What the planner needs. */
export interface PlacementTaskParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly client: EndpointClient
  readonly lease: Lease
  readonly clock: Clock
  readonly logger: Logger
  /** Maximum number of orders that are pending at a time. */
  readonly maximumLoads: number
  readonly loadedModels: (endpointId: EndpointId) => ReadonlyMap<ModelId, string> | undefined
  readonly onFault: (error: unknown) => void
}

/** Time between the end of a planning round and the next. */
const ROUND_MILLISECONDS = 2_000
const ORDER_TIMEOUT_MILLISECONDS = 2_000
/** Time after which an order that was accepted but not fulfilled may be sent again. */
const ORDER_RETRY_MILLISECONDS = 60_000

/**
 * Turns placements into orders while this instance holds the planner's lease. Each order carries the lease's epoch:
 * an engine refuses an order whose epoch is older than that of the last order it obeyed, so a planner that was paused
 * and replaced does no harm.
 */
export class PlacementTask implements Task {
  private timer: Timer | undefined
  private stopped = false
  /** Monotonic times of the orders that are pending, by endpoint, model and version (`orderKey`). */
  private readonly pendingLoads = new Map<string, Milliseconds>()

  constructor(private readonly parts: PlacementTaskParts) {}

  async start(): Promise<void> {
    this.schedule()
  }

  async drain(): Promise<void> {
    await this.stop()
  }

  async stop(): Promise<void> {
    this.stopped = true
    this.timer?.cancel()
  }

  /** Renews the lease and, if this instance holds it, sends the orders that are due. */
  async round(): Promise<void> {
    const epoch = await this.parts.lease.acquireOrRenew()
    if (epoch === undefined) return
    this.forgetSettledLoads()
    const maximumLoads = Math.max(0, this.parts.maximumLoads - this.pendingLoads.size)
    const orders = planPlacements(this.parts.catalogue.placements, this.plannerEndpoints(), {
      maximumLoads,
    })
    const due = orders.filter(order => !this.pendingLoads.has(orderKey(order)))
    await Promise.all(due.map(order => this.sendOrder(order)))
  }

  private schedule(): void {
    this.timer = this.parts.clock.after(ROUND_MILLISECONDS, () => {
      this.round()
        .catch(error => this.parts.onFault(error))
        .finally(() => {
          if (!this.stopped) this.schedule()
        })
    })
  }

  private plannerEndpoints(): readonly PlannerEndpoint[] {
    const leaving = new Set(this.parts.endpoints.leaving)
    return this.parts.catalogue.endpoints.flatMap(({ endpointId, spec }) => {
      if (spec.kind !== 'model') return []
      const loaded = this.parts.loadedModels(endpointId)
      return [{ endpointId, spec, loaded, leaving: leaving.has(endpointId) }]
    })
  }

  private async sendOrder(order: PlacementOrder): Promise<void> {
    const endpoint = this.parts.catalogue.findEndpoint(order.endpointId)
    // Read again for each order: the lease may have expired while other orders were sent.
    const epoch = this.parts.lease.epoch
    if (endpoint === undefined || epoch === undefined) return
    this.pendingLoads.set(orderKey(order), this.parts.clock.monotonic())
    const outcome = await this.send(endpoint.spec.address, order, epoch)
    if (outcome !== 'accepted') this.pendingLoads.delete(orderKey(order))
    this.parts.logger.info('placement_decision', { ...order, epoch, outcome })
  }

  private async send(address: string, order: PlacementOrder, epoch: number): Promise<string> {
    const { action, model, version, adapters } = order
    const body = { epoch, action, model, version, adapters }
    try {
      const timeout = ORDER_TIMEOUT_MILLISECONDS
      const status = await this.parts.client.postJson(address, '/orders', body, timeout)
      return status < 300 ? 'accepted' : `refused with ${status}`
    } catch {
      return 'no answer'
    }
  }

  /**
   * Forgets orders that are too old, and those whose version the endpoint's last report lists as loaded. The latter
   * holds for orders to unload as well: such an order is forgotten while the version is still loaded.
   */
  private forgetSettledLoads(): void {
    const oldest = this.parts.clock.monotonic() - ORDER_RETRY_MILLISECONDS
    for (const [name, at] of this.pendingLoads) {
      if (at < oldest || this.isFulfilled(name)) this.pendingLoads.delete(name)
    }
  }

  private isFulfilled(name: string): boolean {
    const [endpointId, model, version] = name.split(' ')
    const loaded = this.parts.loadedModels(endpointId as EndpointId)
    return loaded?.get(model as ModelId) === version
  }
}

function orderKey(order: PlacementOrder): string {
  return `${order.endpointId} ${order.model} ${order.version}`
}
