/**
 * The links to configured endpoints. Owns the times of the latest successful and the latest failed
 * connection to each endpoint.
 */

import type { EndpointLink } from '@rackwalk/decisions'
import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'
import type { Catalogue, ConfiguredEndpoint } from '../resources/catalogue.js'
import type { MonitoredEndpoint } from './linkMonitor.js'

/** Path at which engines report their load without using a slot. */
export const LOAD_PATH = '/load'

/** Monotonic times of connection outcomes; negative infinity if there was none. */
interface LinkRecord {
  connectedAt: Milliseconds
  failedAt: Milliseconds
}

/** The links of one instance to its endpoints of the OpenAI-style kind. */
export class EndpointLinks {
  private readonly records = new Map<EndpointId, LinkRecord>()

  constructor(
    private readonly catalogue: Pick<Catalogue, 'endpoints' | 'isEvacuated'>,
    private readonly clock: Clock,
  ) {}

  /** Returns the endpoints that serve a model or service, except evacuated ones. */
  endpointsOf(target: string): readonly MonitoredEndpoint[] {
    const { catalogue } = this
    const serving = catalogue.endpoints.filter(
      endpoint => serves(endpoint, target) && !catalogue.isEvacuated(endpoint),
    )
    return serving.map(endpoint => this.monitored(endpoint, target))
  }

  /** Returns the endpoints, also evacuated ones, that do not serve the model or service. */
  endpointsOfOthers(target: string): readonly MonitoredEndpoint[] {
    const others = this.catalogue.endpoints.filter(endpoint => !serves(endpoint, target))
    return others.map(endpoint => this.monitored(endpoint, target))
  }

  /** Path at which the endpoints of a model report their load; undefined for a service. */
  statePathOf(target: string): string | undefined {
    const isModel = this.catalogue.endpoints.some(
      endpoint => endpoint.spec.kind === 'model' && serves(endpoint, target),
    )
    return isModel ? LOAD_PATH : undefined
  }

  /**
   * Returns an endpoint with the name of the model or service that it is used for; undefined if the
   * catalogue does not list the endpoint. Whether the endpoint serves the target is not checked.
   */
  find(target: string, endpointId: EndpointId): MonitoredEndpoint | undefined {
    const endpoint = this.catalogue.endpoints.find(other => other.endpointId === endpointId)
    return endpoint && this.monitored(endpoint, target)
  }

  private monitored({ endpointId, spec }: ConfiguredEndpoint, service: string): MonitoredEndpoint {
    const record = this.recordOf(endpointId)
    const { clock } = this
    const link: EndpointLink = { ...record, failureDomain: spec.failureDomain ?? '' }
    return {
      service,
      address: new URL(spec.address).host,
      link,
      noteConnected: () => (record.connectedAt = clock.monotonic()),
      noteConnectFailed: () => (record.failedAt = clock.monotonic()),
    }
  }

  private recordOf(endpointId: EndpointId): LinkRecord {
    const known = this.records.get(endpointId)
    if (known !== undefined) return known
    const never = Number.NEGATIVE_INFINITY
    const created = { connectedAt: never, failedAt: never }
    this.records.set(endpointId, created)
    return created
  }
}

function serves({ spec }: ConfiguredEndpoint, target: string): boolean {
  if (spec.kind === 'service') return spec.service === target
  return (spec.models as readonly string[]).includes(target)
}
