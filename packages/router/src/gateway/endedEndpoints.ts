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
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { EndpointState } from './endpointState.js'
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
    do {
      await this.askOnce(endpoint, { why, path, signs })
    } while (isAskedAgain(why, signs))
  }

  private async askOnce(
    endpoint: EndpointState,
    { why, path, signs }: { why: StartSign; path: string; signs: StateSign[] },
  ): Promise<void> {
    const { clock, ask } = this.parts
    const askedAt = clock.monotonic()
    const question = ask(endpoint.record.address, path)
    const judge = (elapsed: Milliseconds) => {
      const sign = signOfQuestions(why, [...signs, question.sign], elapsed)
      if (sign !== undefined) this.act(endpoint, sign, askedAt)
    }
    let elapsed = 0
    for (const bound of TELLING_MILLISECONDS) {
      const isOpen = await this.isOpenAfter(question, bound - elapsed)
      elapsed = bound
      if (isOpen && question.sign === 'held') judge(elapsed)
      if (!isOpen) break
    }
    if (question.sign !== 'held') judge(elapsed)
    signs.push(question.sign)
    question.withdraw()
  }

  private async isOpenAfter(question: StateQuestion, delay: Milliseconds): Promise<boolean> {
    let isOpen = true
    const answered = question.answered.then(() => (isOpen = false))
    await Promise.race([answered, sleep(this.parts.clock, delay)])
    await question.readAll()
    return isOpen
  }

  private act(endpoint: EndpointState, sign: StartSign, askedAt: Milliseconds): void {
    const { heardAt } = endpoint
    if (heardAt > askedAt) return
    if (sign === 'silent' || sign === 'still-silent') endpoint.noteUnreachable()
    endpoint.exchanges.end(sign, { askedAt, heardAt })
  }
}
