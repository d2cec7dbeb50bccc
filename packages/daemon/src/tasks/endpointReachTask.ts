/** Knows which endpoints of the OpenAI-style kind this instance reaches. Owns the watch over its links. */

import { EndpointLinks, LinkWatch } from '@rackwalk/router'
import type { Catalogue, WatchedEndpoint } from '@rackwalk/router'
import type { Clock, EndpointId, RandomSource, Task } from '@rackwalk/shared'
import type { Logger } from '../observe/logger.js'

/** What the task works with. */
export interface EndpointReachTaskParts {
  readonly catalogue: Catalogue
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

/** The links from an instance of the OpenAI-style kind to its endpoints. */
export class EndpointReachTask implements Task {
  readonly links: LinkWatch<WatchedEndpoint>
  private readonly endpoints: EndpointLinks

  constructor(private readonly parts: EndpointReachTaskParts) {
    const { catalogue, clock, random, logger } = parts
    this.endpoints = new EndpointLinks(catalogue, clock)
    this.links = new LinkWatch({
      clock,
      random,
      listed: target => this.endpoints.listed(target),
      listedElsewhere: target => this.endpoints.listedElsewhere(target),
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
    if (endpoint !== undefined) this.links.noteUnconnected(endpoint)
  }

  /** The reports of an endpoint can't be fetched: it, or the way to it, may be gone. */
  noteSilent(endpointId: EndpointId): void {
    const spec = this.parts.catalogue.findEndpoint(endpointId)?.spec
    if (spec?.kind === 'model') for (const model of spec.models) this.links.lookAt(model)
  }
}
