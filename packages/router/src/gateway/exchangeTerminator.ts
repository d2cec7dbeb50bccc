/**
 * Ends what is open at starts of endpoints that are over. A proof ends it at once; at other signs the endpoint is asked for
 * its state first. Owns the questions in progress; the rule is in decisions/retrying/endedExchange.
 */

import {
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
  requiresAnotherProbe,
  signOfProbes,
} from '@rackwalk/decisions'
import type { TerminationSign, StateProbeResult } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { EndpointState } from './endpointState.js'
import { settlesWithin } from './stateProbe.js'
import type { StateProbe } from './stateProbe.js'

/** What the ends are found with. */
export interface EndedEndpointsParts {
  readonly clock: Clock
  /** Asks at IP:PORT for the state under a path. */
  readonly ask: (address: string, path: string) => StateProbe
}

/** After so long a question says something, if it is not answered. */
const TELLING_MILLISECONDS: readonly Milliseconds[] = [
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
]

/** The endpoints that are over, or may be. */
export class ExchangeTerminator {
  private readonly asked = new Set<EndpointState>()

  constructor(private readonly parts: EndedEndpointsParts) {}

  /** A start is over for certain. */
  noteTerminated(endpoint: EndpointState, proof: 'replaced' | 'misdirected'): void {
    const askedAt = this.parts.clock.monotonic()
    endpoint.exchanges.suspect(askedAt)
    endpoint.exchanges.end(proof, { askedAt, heardAt: endpoint.heardAt })
  }

  /** A start may be over: it is asked, where something waits there. */
  noteSuspicion(endpoint: EndpointState, why: TerminationSign): void {
    const path = endpoint.exchanges.probePath(why)
    if (path === undefined || this.asked.has(endpoint)) return
    // What gives way for an end by a question may be what brought the end about.
    if (why === 'away') endpoint.exchanges.suspect(this.parts.clock.monotonic())
    this.asked.add(endpoint)
    void this.askUntilKnown(endpoint, why, path).finally(() => this.asked.delete(endpoint))
  }

  private async askUntilKnown(
    endpoint: EndpointState,
    why: TerminationSign,
    path: string,
  ): Promise<void> {
    const signs: StateProbeResult[] = []
    let isKnown = true
    do {
      isKnown = await this.askOnce(endpoint, { why, path, signs })
    } while (isKnown && requiresAnotherProbe(why, signs))
  }

  /** Resolves with whether anything is known by this question. */
  private async askOnce(
    endpoint: EndpointState,
    { why, path, signs }: { why: TerminationSign; path: string; signs: StateProbeResult[] },
  ): Promise<boolean> {
    const { clock, ask } = this.parts
    const askedAt = clock.monotonic()
    const question = ask(endpoint.record.address, path)
    const isKnown = await this.waitForAnswer(question, elapsed => {
      const sign = signOfProbes(why, [...signs, question.sign], elapsed)
      if (sign !== undefined) this.act(endpoint, sign, askedAt)
    })
    signs.push(question.sign)
    question.cancel()
    return isKnown
  }

  /** Judges a question at each time at which it says something. */
  private async waitForAnswer(
    question: StateProbe,
    judge: (elapsed: Milliseconds) => void,
  ): Promise<boolean> {
    const { clock } = this.parts
    const isWritten = await settlesWithin(question, question.written, {
      clock,
      delay: LONG_PROBE_TIMEOUT_MILLISECONDS,
    })
    if (isWritten === undefined) return false
    let elapsed = 0
    for (const bound of isWritten ? TELLING_MILLISECONDS : []) {
      const delay = bound - elapsed
      const isAnswered = await settlesWithin(question, question.answered, { clock, delay })
      if (isAnswered === undefined) return false
      if (isAnswered) break
      elapsed = bound
      judge(elapsed)
    }
    if (question.sign !== 'held') judge(elapsed)
    return true
  }

  private act(endpoint: EndpointState, sign: TerminationSign, askedAt: Milliseconds): void {
    const { heardAt } = endpoint
    if (heardAt > askedAt) return
    if (sign === 'silent' || sign === 'still-silent') endpoint.noteUnreachable()
    endpoint.exchanges.end(sign, { askedAt, heardAt })
  }
}
