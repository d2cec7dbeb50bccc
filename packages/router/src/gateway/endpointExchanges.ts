/** What is open at one start of an endpoint from here. Owns the exchanges; the rule is in decisions/retrying/endedExchange. */

import { isAsked, isTerminatedBy, wasInFlightAtCrash } from '@rackwalk/decisions'
import type { InFlightState, SignEvidenceTimes, TerminationSign } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'

/** An exchange that can be ended before its endpoint or its caller ends it. */
export interface TerminableExchange {
  /** As it stands. */
  readonly open: InFlightState
  /** Where its endpoint tells its state without using a slot; undefined where it has no such place. */
  readonly statePath: string | undefined
  /** It was there without a part of an answer when its endpoint ended. */
  suspect(): void
  /** Its endpoint is over: its request goes on elsewhere, or its caller is told. */
  end(): void
}

/** The exchanges with one start of an endpoint. */
export class EndpointExchanges {
  private readonly exchanges = new Set<TerminableExchange>()
  /** Monotonic time of the first break since anything was heard from the endpoint. */
  private brokenAt: Milliseconds | undefined

  /** An exchange begins; call what is returned when it is over. */
  add(exchange: TerminableExchange): () => void {
    this.exchanges.add(exchange)
    return () => this.exchanges.delete(exchange)
  }

  /** The endpoint broke an exchange off. */
  noteReset({ now, heardAt }: { now: Milliseconds; heardAt: Milliseconds }): void {
    if (this.brokenAt === undefined || heardAt > this.brokenAt) this.brokenAt = now
  }

  /** Where the endpoint is asked for its state at this sign; undefined where it isn't. */
  probePath(sign: TerminationSign): string | undefined {
    const all = [...this.exchanges]
    if (
      !isAsked(
        sign,
        all.map(({ open }) => open),
      )
    )
      return undefined
    return all.find(({ statePath }) => statePath !== undefined)?.statePath
  }

  /** The endpoint may be over: what was there without a part of an answer may have ended it. */
  suspect(knownAt: Milliseconds): void {
    const known = { brokenAt: this.brokenAt, knownAt }
    for (const exchange of this.exchanges) {
      const { open } = exchange
      if (open.lastReceivedAt === open.sentAt && wasInFlightAtCrash(open, known)) exchange.suspect()
    }
  }

  /** Ends what the sign ends. */
  end(sign: TerminationSign, times: SignEvidenceTimes): void {
    for (const exchange of [...this.exchanges]) {
      if (isTerminatedBy(exchange.open, sign, times)) exchange.end()
    }
  }
}
