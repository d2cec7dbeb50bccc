/**
 * Connects the advice that endpoints of the OpenAI-style kind give about themselves with its consumers: the choice of
 * an endpoint here, the peers, and the log. Owns the advice store and the send permits; a peer that misses a
 * broadcast gets the advice from the endpoint itself.
 */

import type { AdviceGossip, RecordedInstance } from '@rackwalk/decisions'
import { EndpointAdviceStore, SendAdmission } from '@rackwalk/router'
import type { EndpointTable } from '@rackwalk/router'
import { asId } from '@rackwalk/shared'
import type { Clock, EndpointId } from '@rackwalk/shared'
import type { Logger } from '../observe/logger.js'
import type { Metrics } from '../observe/metrics.js'
import { broadcastToPeers } from './broadcastToPeers.js'
import type { BroadcastParts } from './broadcastToPeers.js'

/** What the task needs. */
export interface AdviceTaskParts extends BroadcastParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly endpoints: () => EndpointTable
}

/** Applies and shares the advice of endpoints in an instance of the OpenAI-style kind. */
export class AdviceTask {
  readonly advices: EndpointAdviceStore
  readonly permits: SendAdmission

  constructor(private readonly parts: AdviceTaskParts) {
    this.advices = new EndpointAdviceStore({
      clock: parts.clock,
      onChange: (endpoint, said) => {
        parts.metrics.increment('endpoint_advice')
        parts.logger.info('endpoint_advice', { endpoint, said: said ?? 'nothing' })
      },
      broadcast: gossip => this.broadcast(gossip),
    })
    const { advices } = this
    this.permits = new SendAdmission({
      clock: parts.clock,
      instance: () => parts.membership().self.instanceId,
      recordedInstances: () => this.recordedInstances,
      // This kind has no warm-up.
      boundsOf: () => undefined,
      advices,
    })
  }

  /** A peer reported the advice of endpoints. */
  observe(gossip: readonly AdviceGossip[]): void {
    for (const message of gossip) {
      this.advices.observe(message)
      if (message.isLeaving !== true) continue
      // In this kind, a start (one run of an endpoint) is named after its endpoint. The source is 'answer', since the
      // peer learned from an answer that the endpoint is leaving: no older load report may reset that state here
      // either.
      this.parts.endpoints().noteLeaving(asId<EndpointId>(message.start), 'answer')
    }
  }

  private get recordedInstances(): readonly RecordedInstance[] {
    const instances = this.parts.membership().recentInstances
    // Callers are spread over all instances, so each instance counts as working.
    return instances.map(instance => ({ instance, isWorking: true }))
  }

  private broadcast(gossip: AdviceGossip): void {
    const onFailed = () => this.parts.metrics.increment('advice_news_failed')
    broadcastToPeers(this.parts, 'adviceNews', { news: [gossip] }, onFailed)
  }
}
