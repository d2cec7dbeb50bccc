/**
 * Joins what endpoints of the OpenAI-style kind say of themselves with those who must know: the choice of an endpoint
 * here, the peers, the log. Owns the memory; a peer that does not hear it is told by the endpoint itself.
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

/** What the task works with. */
export interface AdviceTaskParts extends BroadcastParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly endpoints: () => EndpointTable
}

/** What an instance of the OpenAI-style kind does about what endpoints say of themselves. */
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
      broadcast: news => this.tell(news),
    })
    const { advices } = this
    this.permits = new SendAdmission({
      clock: parts.clock,
      instance: () => parts.membership().self.instanceId,
      recordedInstances: () => this.recordedInstances,
      // This kind knows no warm-up.
      boundsOf: () => undefined,
      advices,
    })
  }

  /** A peer told what endpoints say. */
  observe(news: readonly AdviceGossip[]): void {
    for (const one of news) {
      this.advices.observe(one)
      // A start has the name of its endpoint in this kind.
      if (one.isLeaving !== true) continue
      // An answer said so to a peer: no report that is older may set it back here either.
      this.parts.endpoints().noteLeaving(asId<EndpointId>(one.start), 'answer')
    }
  }

  private get recordedInstances(): readonly RecordedInstance[] {
    const instances = this.parts.membership().recentInstances
    // Callers are spread over all of them.
    return instances.map(instance => ({ instance, isWorking: true }))
  }

  private tell(news: AdviceGossip): void {
    const onFailed = () => this.parts.metrics.increment('advice_news_failed')
    broadcastToPeers(this.parts, 'adviceNews', { news: [news] }, onFailed)
  }
}
