/**
 * Keeps this instance's open exchanges with one run (start) of an endpoint, and ends those that a sign of the
 * endpoint's termination concerns. Without it, exchanges whose connections nobody resets would wait until
 * their deadlines. Owns these exchanges; the rule is in decisions/retrying/terminationSigns.
 */

import { requiresStateProbe, isTerminatedBy, wasInFlightAtCrash } from '@rackwalk/decisions'
import type { InFlightState, SignEvidenceTimes, TerminationSign } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'

/** An exchange that can be ended before its endpoint or its caller ends it. */
export interface TerminableExchange {
  /** Current state. */
  readonly open: InFlightState
  /** Path that reports the endpoint's state without using a request slot; undefined if there is none. */
  readonly statePath: string | undefined
  /**
   * Notes that the exchange was in flight without any part of an answer when its endpoint may have
   * terminated, so that its request may have crashed the endpoint.
   */
  suspect(): void
  /**
   * Ends the exchange because its endpoint has terminated: its request continues elsewhere, or its caller
   * receives an error.
   */
  end(): void
}

/** Open exchanges with one start of an endpoint. */
export class EndpointExchanges {
  private readonly exchanges = new Set<TerminableExchange>()
  /** Monotonic time of the first reset since data was last received from the endpoint. */
  private firstResetAt: Milliseconds | undefined

  /** Adds an exchange. Returns a function that removes it once it is over. */
  add(exchange: TerminableExchange): () => void {
    this.exchanges.add(exchange)
    return () => this.exchanges.delete(exchange)
  }

  /** The endpoint reset an exchange. */
  noteReset({ now, heardAt }: { now: Milliseconds; heardAt: Milliseconds }): void {
    if (this.firstResetAt === undefined || heardAt > this.firstResetAt) this.firstResetAt = now
  }

  /**
   * Path of the state probe that this sign requires; undefined if the sign requires none or no path is
   * known.
   */
  probePath(sign: TerminationSign): string | undefined {
    const all = [...this.exchanges]
    if (
      !requiresStateProbe(
        sign,
        all.map(({ open }) => open),
      )
    )
      return undefined
    return all.find(({ statePath }) => statePath !== undefined)?.statePath
  }

  /**
   * The endpoint has terminated or may have, as known since `knownAt` (monotonic). Marks the exchanges that
   * were in flight then without any part of an answer, since their requests may have crashed the endpoint.
   */
  suspect(knownAt: Milliseconds): void {
    const known = { brokenAt: this.firstResetAt, knownAt }
    for (const exchange of this.exchanges) {
      const { open } = exchange
      if (open.lastReceivedAt === open.sentAt && wasInFlightAtCrash(open, known)) exchange.suspect()
    }
  }

  /** Ends the exchanges that this sign terminates. */
  end(sign: TerminationSign, times: SignEvidenceTimes): void {
    for (const exchange of [...this.exchanges]) {
      if (isTerminatedBy(exchange.open, sign, times)) exchange.end()
    }
  }
}
