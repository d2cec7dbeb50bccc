/**
 * The exchanges with the endpoints of the OpenAI-style kind that have not ended. Owns which they are, so that those at an
 * endpoint can be given up when it is known to have ended; the rule is in decisions/retrying/withdrawal.
 */

import { judgeWithdrawal } from '@rackwalk/decisions'
import type { KnownTermination, InFlightAttempt } from '@rackwalk/decisions'
import type { EndpointId, Milliseconds } from '@rackwalk/shared'

/** An exchange that can be given up. */
export interface InFlightExchange extends InFlightAttempt {
  readonly endpointId: EndpointId
  firstDoubtedAt: Milliseconds | undefined
  /** Its endpoint has ended; says whether the exchange was there then. */
  failByTermination(wasThere: boolean): void
}

/** What is open now, by endpoint. */
export class InFlightExchanges {
  private readonly open = new Map<EndpointId, Set<InFlightExchange>>()

  add(exchange: InFlightExchange): void {
    const there = this.open.get(exchange.endpointId) ?? new Set()
    this.open.set(exchange.endpointId, there.add(exchange))
  }

  remove(exchange: InFlightExchange): void {
    const there = this.open.get(exchange.endpointId)
    there?.delete(exchange)
    if (there?.size === 0) this.open.delete(exchange.endpointId)
  }

  /** An endpoint has ended that last told its state at a time: gives up what is there and will not be answered. */
  noteTermination(
    endpointId: EndpointId,
    end: KnownTermination,
    endpointHeardAt: Milliseconds,
  ): void {
    for (const exchange of [...(this.open.get(endpointId) ?? [])]) {
      const fate = judgeWithdrawal(exchange, end, endpointHeardAt)
      if (fate === 'doubted') noteDoubt(exchange, end, endpointHeardAt)
      else if (fate !== 'none') exchange.failByTermination(fate === 'was-there')
    }
  }
}

/** A state that was told since an earlier doubt took it away. */
function noteDoubt(
  exchange: InFlightExchange,
  end: KnownTermination,
  endpointHeardAt: Milliseconds,
): void {
  const { firstDoubtedAt } = exchange
  if (firstDoubtedAt !== undefined && endpointHeardAt < firstDoubtedAt) return
  exchange.firstDoubtedAt = end.source === 'look' ? end.lookedAt : end.toldAt
}
