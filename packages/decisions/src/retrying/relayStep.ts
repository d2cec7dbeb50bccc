/**
 * After a request was handed to another instance: is its answer passed on, is one more instance asked, or is the caller told?
 *
 * | what came of it                                     | may it have run | next                                       |
 * | --------------------------------------------------- | --------------- | ------------------------------------------ |
 * | no connection                                       | no              | another instance                           |
 * | the instance refused it as not run                  | no              | another instance (503); else its answer    |
 * | the same, after one that it was sent to said nothing | unknown        | its caller is told that nobody knows       |
 * | an answer                                           | as it says      | it is passed on                            |
 * | nothing, or what is no answer, after it was sent    | unknown         | another instance where it may run twice    |
 *
 * Limits: two instances at the most, since each costs its caller time. Whoever took the request holds the budget and makes
 * the attempts, so a second one costs no retry of the fleet's budget here.
 */

import type { AttemptOutcome } from './attemptOutcome.js'
import { canRepeat } from './retryStep.js'
import type { RepeatableRoute } from './retryStep.js'

/** What came of handing a request over. */
export type RelayOutcome =
  | { readonly kind: 'not-sent' }
  /** An answer that the other instance gives itself, and that says that the request has not run. */
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'failed'; readonly reason: string }

/** What to do after it. */
export type RelayStep = 'pass-on' | 'ask-another' | 'give-up'

const MAXIMUM_RELAYS = 2
const STATUS_UNAVAILABLE = 503

/** Whether no connection came up for a request: it may be handed over, since nobody can have run it. */
export function wasNeverSent(history: readonly AttemptOutcome[], isCutOff: boolean): boolean {
  const isUnconnected = history.every(({ kind }) => kind === 'connect-failed')
  return isUnconnected && (history.length > 0 || isCutOff)
}

/** The step after the newest of these outcomes. */
export function relayStep(
  outcomes: readonly RelayOutcome[],
  route: RepeatableRoute,
  hasAnother: boolean,
): RelayStep {
  const newest = outcomes.at(-1)
  if (newest?.kind === 'answered') return 'pass-on'
  const mayAsk = hasAnother && outcomes.length < MAXIMUM_RELAYS
  if (mayAsk && mayRelayAgain(newest, route)) return 'ask-another'
  // Another instance may have run it before this one refused it: nobody says "not run" then.
  const mayHaveRun = outcomes.some(({ kind }) => kind === 'failed')
  return newest?.kind === 'refused' && !mayHaveRun ? 'pass-on' : 'give-up'
}

/** Whether the request has not run, or may run twice. */
function mayRelayAgain(outcome: RelayOutcome | undefined, route: RepeatableRoute): boolean {
  if (outcome?.kind === 'refused') return outcome.status === STATUS_UNAVAILABLE
  if (outcome?.kind === 'failed') return canRepeat({ route, isReplyStarted: false })
  return true
}

/** The outcome as the line of the request tells it. */
export function relayOutcomeText(outcome: RelayOutcome | undefined): string {
  switch (outcome?.kind) {
    case undefined:
      return 'sent'
    case 'not-sent':
      return 'not-sent'
    case 'refused':
      return `not executed ${outcome.status}`
    case 'answered':
      return `status ${outcome.status}`
    case 'failed':
      return `failed ${outcome.reason}`
  }
}
