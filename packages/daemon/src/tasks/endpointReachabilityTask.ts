/**
 * Tracks which endpoints of the OpenAI-style kind this instance reaches. Owns the monitor of its links, that is, its
 * network paths to the endpoints.
 */

import { EndpointLinks, LinkMonitor } from '@rackwalk/router'
import type { Catalogue, MonitoredEndpoint } from '@rackwalk/router'
import type { Clock, EndpointId, RandomSource, Task } from '@rackwalk/shared'
import type { Logger } from '../observe/logger.js'

/** What the task needs. */
export interface EndpointReachabilityTaskParts {
  readonly catalogue: Catalogue
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

/** The links from an instance of the OpenAI-style kind to its endpoints. */
export class EndpointReachabilityTask implements Task {
  readonly links: LinkMonitor<MonitoredEndpoint>
  private readonly endpoints: EndpointLinks

  constructor(private readonly parts: EndpointReachabilityTaskParts) {
    const { catalogue, clock, random, logger } = parts
    this.endpoints = new EndpointLinks(catalogue, clock)
    this.links = new LinkMonitor({
      clock,
      random,
      endpointsOf: target => this.endpoints.endpointsOf(target),
      endpointsOfOthers: target => this.endpoints.endpointsOfOthers(target),
      statePathOf: target => this.endpoints.statePathOf(target),
      onCutOff: (target, isCutOff) => logger.warn('links_state', { target, isCutOff }),
    })
  }

  async start(): Promise<void> {
    // Links are probed only after a connection attempt or the fetch of a report has failed.
  }

  async drain(): Promise<void> {
    // Requests in progress still need the reachability of endpoints.
  }

  async stop(): Promise<void> {
    this.links.stop()
  }

  /** A request could not connect to an endpoint. */
  noteConnectFailed(target: string, endpointId: EndpointId): void {
    const endpoint = this.endpoints.find(target, endpointId)
    if (endpoint !== undefined) this.links.noteConnectFailed(endpoint)
  }

  /**
   * The reports of an endpoint cannot be fetched: the endpoint or the link to it may be down, so the links to the
   * endpoints of its models are checked.
   */
  noteReportFailed(endpointId: EndpointId): void {
    const spec = this.parts.catalogue.findEndpoint(endpointId)?.spec
    if (spec?.kind === 'model') for (const model of spec.models) this.links.startChecking(model)
  }
}
