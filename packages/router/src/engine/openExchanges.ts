/**
 * The exchanges with the endpoints of the OpenAI-style kind that have not ended. Owns which they are, so that those at an
 * endpoint can be given up when it is known to have ended; the rule is in decisions/retrying/withdrawal.
 */

import { withdrawal } from '@rackwalk/decisions'
import type { KnownEnd, OpenAttempt } from '@rackwalk/decisions'
import type { EndpointId, Milliseconds } from '@rackwalk/shared'

/** An exchange that can be given up. */
export interface OpenExchange extends OpenAttempt {
  readonly endpointId: EndpointId
  doubtedAt: Milliseconds | undefined
  /** Its endpoint has ended; says whether the exchange was there then. */
  withdraw(wasThere: boolean): void
}

/** What is open now, by endpoint. */
export class OpenExchanges {
  private readonly open = new Map<EndpointId, Set<OpenExchange>>()

  add(exchange: OpenExchange): void {
    const there = this.open.get(exchange.endpointId) ?? new Set()
    this.open.set(exchange.endpointId, there.add(exchange))
  }

  remove(exchange: OpenExchange): void {
    const there = this.open.get(exchange.endpointId)
    there?.delete(exchange)
    if (there?.size === 0) this.open.delete(exchange.endpointId)
  }

  /** An endpoint has ended that last told its state at a time: gives up what is there and will not be answered. */
  noteEnd(endpointId: EndpointId, end: KnownEnd, endpointHeardAt: Milliseconds): void {
    for (const exchange of [...(this.open.get(endpointId) ?? [])]) {
      const fate = withdrawal(exchange, end, endpointHeardAt)
      if (fate === 'doubted') noteDoubt(exchange, end, endpointHeardAt)
      else if (fate !== 'none') exchange.withdraw(fate === 'was-there')
    }
  }
}

/** A state that was told since an earlier doubt took it away. */
function noteDoubt(exchange: OpenExchange, end: KnownEnd, endpointHeardAt: Milliseconds): void {
  const { doubtedAt } = exchange
  if (doubtedAt !== undefined && endpointHeardAt < doubtedAt) return
  exchange.doubtedAt = end.source === 'look' ? end.lookedAt : end.toldAt
}
