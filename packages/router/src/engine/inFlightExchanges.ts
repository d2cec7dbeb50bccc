/**
 * Registry of the exchanges in progress with endpoints of the OpenAI-style kind. Fails the
 * exchanges at an endpoint as soon as the endpoint is known to have terminated. Without this, a
 * request at a terminated endpoint whose connection stays open would wait until it stalls or its
 * deadline passes. The rule is in decisions/retrying/withdrawal.
 */

import { judgeWithdrawal } from '@rackwalk/decisions'
import type { KnownTermination, InFlightAttempt } from '@rackwalk/decisions'
import type { EndpointId, Milliseconds } from '@rackwalk/shared'

/** An exchange in progress that can be made to fail. */
export interface InFlightExchange extends InFlightAttempt {
  readonly endpointId: EndpointId
  firstDoubtedAt: Milliseconds | undefined
  /**
   * Fails the exchange because its endpoint terminated. `wasInFlight` says whether the request was
   * in flight at the time of the termination.
   */
  failByTermination(wasInFlight: boolean): void
}

/** The exchanges in progress, by endpoint. */
export class InFlightExchanges {
  private readonly byEndpoint = new Map<EndpointId, Set<InFlightExchange>>()

  add(exchange: InFlightExchange): void {
    const exchanges = this.byEndpoint.get(exchange.endpointId) ?? new Set()
    this.byEndpoint.set(exchange.endpointId, exchanges.add(exchange))
  }

  remove(exchange: InFlightExchange): void {
    const exchanges = this.byEndpoint.get(exchange.endpointId)
    exchanges?.delete(exchange)
    if (exchanges?.size === 0) this.byEndpoint.delete(exchange.endpointId)
  }

  /**
   * Fails the exchanges that a terminated endpoint will not answer. `endpointHeardAt` is the
   * monotonic time of the endpoint's latest state report.
   */
  noteTermination(
    endpointId: EndpointId,
    end: KnownTermination,
    endpointHeardAt: Milliseconds,
  ): void {
    for (const exchange of [...(this.byEndpoint.get(endpointId) ?? [])]) {
      const withdrawal = judgeWithdrawal(exchange, end, endpointHeardAt)
      if (withdrawal === 'doubted') noteDoubt(exchange, end, endpointHeardAt)
      else if (withdrawal !== 'none') exchange.failByTermination(withdrawal === 'was-there')
    }
  }
}

/**
 * Records the time of the first evidence that casts doubt on an exchange. If the endpoint has
 * reported its state since the recorded time, the earlier doubt is resolved and the new time
 * replaces it.
 */
function noteDoubt(
  exchange: InFlightExchange,
  end: KnownTermination,
  endpointHeardAt: Milliseconds,
): void {
  const { firstDoubtedAt } = exchange
  if (firstDoubtedAt !== undefined && endpointHeardAt < firstDoubtedAt) return
  exchange.firstDoubtedAt = end.source === 'look' ? end.lookedAt : end.reportedAt
}
