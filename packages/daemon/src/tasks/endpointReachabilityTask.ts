/** Knows which endpoints of the OpenAI-style kind this instance reaches. Owns the watch over its links. */

import { EndpointLinks, LinkMonitor } from '@rackwalk/router'
import type { Catalogue, MonitoredEndpoint } from '@rackwalk/router'
import type { Clock, EndpointId, RandomSource, Task } from '@rackwalk/shared'
import type { Logger } from '../observe/logger.js'

/** What the task works with. */
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
      onCutOff: (target, isCutOff) => logger.warn('links_state', { target, isCutOff }),
    })
  }

  async start(): Promise<void> {
    // Links are looked at once something does not come up.
  }

  async drain(): Promise<void> {
    // Requests in progress still need to know.
  }

  async stop(): Promise<void> {
    this.links.stop()
  }

  /** No connection to an endpoint came up for a request. */
  noteUnconnected(target: string, endpointId: EndpointId): void {
    const endpoint = this.endpoints.find(target, endpointId)
    if (endpoint !== undefined) this.links.noteConnectFailed(endpoint)
  }

  /** The reports of an endpoint can't be fetched: it, or the way to it, may be gone. */
  noteSilent(endpointId: EndpointId): void {
    const spec = this.parts.catalogue.findEndpoint(endpointId)?.spec
    if (spec?.kind === 'model') for (const model of spec.models) this.links.startChecking(model)
  }
}
