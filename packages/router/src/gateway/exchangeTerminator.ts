/**
 * Ends open exchanges with runs (starts) of endpoints that have terminated. A proof (the endpoint's row names
 * a new start, or another server answers at its address) ends them at once. At other signs the endpoint's
 * state is probed first: this instance requests its state path and judges whether and when an answer arrives.
 * Without it, exchanges whose connections nobody resets would wait until their deadlines. Owns the probes in
 * progress; the rule is in decisions/retrying/terminationSigns.
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

/** Dependencies of a terminator. */
export interface ExchangeTerminatorParts {
  readonly clock: Clock
  /** Probes the state at IP:PORT and a path. */
  readonly ask: (address: string, path: string) => StateProbe
}

/** Times after a probe was written at which it is judged if it is still unanswered. */
const PROBE_TIMEOUTS_MILLISECONDS: readonly Milliseconds[] = [
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
]

/** Terminates exchanges of endpoints that have terminated, or may have. */
export class ExchangeTerminator {
  private readonly probed = new Set<EndpointState>()

  constructor(private readonly parts: ExchangeTerminatorParts) {}

  /**
   * A start has certainly terminated: its exchanges end, except for those that are paused by slow callers.
   */
  noteTerminated(endpoint: EndpointState, proof: 'replaced' | 'misdirected'): void {
    const askedAt = this.parts.clock.monotonic()
    endpoint.exchanges.suspect(askedAt)
    endpoint.exchanges.end(proof, { askedAt, heardAt: endpoint.heardAt })
  }

  /** A start may have terminated. It is probed if the rule requires that for its open exchanges. */
  noteSuspicion(endpoint: EndpointState, cause: TerminationSign): void {
    const path = endpoint.exchanges.probePath(cause)
    if (path === undefined || this.probed.has(endpoint)) return
    // The exchanges that the probe will end may be the ones that crashed the endpoint.
    if (cause === 'away') endpoint.exchanges.suspect(this.parts.clock.monotonic())
    this.probed.add(endpoint)
    void this.probeUntilKnown(endpoint, cause, path).finally(() => this.probed.delete(endpoint))
  }

  private async probeUntilKnown(
    endpoint: EndpointState,
    cause: TerminationSign,
    path: string,
  ): Promise<void> {
    const results: StateProbeResult[] = []
    let isKnown = true
    do {
      isKnown = await this.probeOnce(endpoint, { cause, path, results })
    } while (isKnown && requiresAnotherProbe(cause, results))
  }

  /**
   * Probes once. Resolves with whether the probe was conclusive; a blocked event loop makes it inconclusive.
   */
  private async probeOnce(
    endpoint: EndpointState,
    { cause, path, results }: { cause: TerminationSign; path: string; results: StateProbeResult[] },
  ): Promise<boolean> {
    const { clock, ask } = this.parts
    const askedAt = clock.monotonic()
    const probe = ask(endpoint.record.address, path)
    const isKnown = await this.waitForAnswer(probe, elapsed => {
      const sign = signOfProbes(cause, [...results, probe.result], elapsed)
      if (sign !== undefined) this.applySign(endpoint, sign, askedAt)
    })
    results.push(probe.result)
    probe.cancel()
    return isKnown
  }

  /**
   * Judges a probe at each of its timeouts until it is answered, and once more when it has a result. Resolves
   * with false if this process was too busy to tell whether an answer arrived in time.
   */
  private async waitForAnswer(
    probe: StateProbe,
    judge: (elapsed: Milliseconds) => void,
  ): Promise<boolean> {
    const { clock } = this.parts
    const isWritten = await settlesWithin(probe, probe.written, {
      clock,
      delay: LONG_PROBE_TIMEOUT_MILLISECONDS,
    })
    if (isWritten === undefined) return false
    let elapsed = 0
    for (const bound of isWritten ? PROBE_TIMEOUTS_MILLISECONDS : []) {
      const delay = bound - elapsed
      const isAnswered = await settlesWithin(probe, probe.answered, { clock, delay })
      if (isAnswered === undefined) return false
      if (isAnswered) break
      elapsed = bound
      judge(elapsed)
    }
    if (probe.result !== 'held') judge(elapsed)
    return true
  }

  /** Ends the exchanges that the sign terminates, unless the endpoint was heard since the probe began. */
  private applySign(endpoint: EndpointState, sign: TerminationSign, askedAt: Milliseconds): void {
    const { heardAt } = endpoint
    if (heardAt > askedAt) return
    if (sign === 'silent' || sign === 'still-silent') endpoint.noteUnreachable()
    endpoint.exchanges.end(sign, { askedAt, heardAt })
  }
}
