/**
 * Ends what is open at starts of endpoints that are over. A proof ends it at once; at other signs the endpoint is asked for
 * its state first. Owns the questions in progress; the rule is in decisions/retrying/endedExchange.
 */

import {
  SILENT_MILLISECONDS,
  STILL_SILENT_MILLISECONDS,
  isAskedAgain,
  signOfQuestions,
} from '@rackwalk/decisions'
import type { StartSign, StateSign } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { EndpointState } from './endpointState.js'
import { comesWithin } from './stateQuestion.js'
import type { StateQuestion } from './stateQuestion.js'

/** What the ends are found with. */
export interface EndedEndpointsParts {
  readonly clock: Clock
  /** Asks at IP:PORT for the state under a path. */
  readonly ask: (address: string, path: string) => StateQuestion
}

/** After so long a question says something, if it is not answered. */
const TELLING_MILLISECONDS: readonly Milliseconds[] = [
  SILENT_MILLISECONDS,
  STILL_SILENT_MILLISECONDS,
]

/** The endpoints that are over, or may be. */
export class EndedEndpoints {
  private readonly asked = new Set<EndpointState>()

  constructor(private readonly parts: EndedEndpointsParts) {}

  /** A start is over for certain. */
  noteOver(endpoint: EndpointState, proof: 'replaced' | 'misdirected'): void {
    const askedAt = this.parts.clock.monotonic()
    endpoint.exchanges.suspect(askedAt)
    endpoint.exchanges.end(proof, { askedAt, heardAt: endpoint.heardAt })
  }

  /** A start may be over: it is asked, where something waits there. */
  noteSign(endpoint: EndpointState, why: StartSign): void {
    const path = endpoint.exchanges.questionPath(why)
    if (path === undefined || this.asked.has(endpoint)) return
    // What gives way for an end by a question may be what brought the end about.
    if (why === 'away') endpoint.exchanges.suspect(this.parts.clock.monotonic())
    this.asked.add(endpoint)
    void this.askUntilKnown(endpoint, why, path).finally(() => this.asked.delete(endpoint))
  }

  private async askUntilKnown(
    endpoint: EndpointState,
    why: StartSign,
    path: string,
  ): Promise<void> {
    const signs: StateSign[] = []
    let isKnown = true
    do {
      isKnown = await this.askOnce(endpoint, { why, path, signs })
    } while (isKnown && isAskedAgain(why, signs))
  }

  /** Resolves with whether anything is known by this question. */
  private async askOnce(
    endpoint: EndpointState,
    { why, path, signs }: { why: StartSign; path: string; signs: StateSign[] },
  ): Promise<boolean> {
    const { clock, ask } = this.parts
    const askedAt = clock.monotonic()
    const question = ask(endpoint.record.address, path)
    const isKnown = await this.waitForAnswer(question, elapsed => {
      const sign = signOfQuestions(why, [...signs, question.sign], elapsed)
      if (sign !== undefined) this.act(endpoint, sign, askedAt)
    })
    signs.push(question.sign)
    question.withdraw()
    return isKnown
  }

  /** Judges a question at each time at which it says something. */
  private async waitForAnswer(
    question: StateQuestion,
    judge: (elapsed: Milliseconds) => void,
  ): Promise<boolean> {
    const { clock } = this.parts
    const isWritten = await comesWithin(question, question.written, {
      clock,
      delay: STILL_SILENT_MILLISECONDS,
    })
    if (isWritten === undefined) return false
    let elapsed = 0
    for (const bound of isWritten ? TELLING_MILLISECONDS : []) {
      const delay = bound - elapsed
      const isAnswered = await comesWithin(question, question.answered, { clock, delay })
      if (isAnswered === undefined) return false
      if (isAnswered) break
      elapsed = bound
      judge(elapsed)
    }
    if (question.sign !== 'held') judge(elapsed)
    return true
  }

  private act(endpoint: EndpointState, sign: StartSign, askedAt: Milliseconds): void {
    const { heardAt } = endpoint
    if (heardAt > askedAt) return
    if (sign === 'silent' || sign === 'still-silent') endpoint.noteUnreachable()
    endpoint.exchanges.end(sign, { askedAt, heardAt })
  }
}
