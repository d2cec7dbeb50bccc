/**
 * Decides the next step after a request was relayed to another instance: pass that instance's answer on, relay the
 * request to one more instance, or give up and return an error.
 *
 * Inputs: the outcomes of all relays of the request so far, the route's settings, and whether an untried instance is left.
 * Without this rule, a request that must run only once could run at two instances, or its caller could be told "not run"
 * wrongly.
 *
 * | outcome                                                 | may have run | next step                                     |
 * | ------------------------------------------------------- | ------------ | --------------------------------------------- |
 * | no connection                                           | no           | another instance                              |
 * | the instance refused the request as not run             | no           | another instance (503), else its answer       |
 * | the same, after an earlier instance did not answer      | unknown      | an error: it is unknown whether it ran        |
 * | an answer                                               | as it says   | the answer is passed on                       |
 * | no answer or an invalid one, after the request was sent | unknown      | another instance if the request may run twice |
 *
 * Limits: at most two instances, since each costs the caller time. The instance that takes the request holds its budget and
 * makes the attempts, so a second relay costs no retry of the fleet's budget here.
 */

import type { AttemptOutcome } from './attemptOutcome.js'
import { canRepeat } from './retryStep.js'
import type { RepeatableRoute } from './retryStep.js'

/** The outcome of relaying a request to an instance. */
export type RelayOutcome =
  | { readonly kind: 'not-sent' }
  /** The other instance itself answered that the request has not run. */
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'failed'; readonly reason: string }

/** What to do after a relay. */
export type RelayStep = 'pass-on' | 'ask-another' | 'give-up'

const MAXIMUM_RELAYS = 2
const STATUS_UNAVAILABLE = 503

/** Whether no endpoint can have run the request, because no connection was established. Such a request may be relayed. */
export function wasNeverSent(history: readonly AttemptOutcome[], isCutOff: boolean): boolean {
  const isUnconnected = history.every(({ kind }) => kind === 'connect-failed')
  return isUnconnected && (history.length > 0 || isCutOff)
}

/** Returns the next step after the newest of these outcomes. */
export function relayStep(
  outcomes: readonly RelayOutcome[],
  route: RepeatableRoute,
  hasAnother: boolean,
): RelayStep {
  const newest = outcomes.at(-1)
  if (newest?.kind === 'answered') return 'pass-on'
  const mayAsk = hasAnother && outcomes.length < MAXIMUM_RELAYS
  if (mayAsk && mayRelayAgain(newest, route)) return 'ask-another'
  // Another instance may have run the request before this one refused it, so "not run" must not be passed on.
  const mayHaveRun = outcomes.some(({ kind }) => kind === 'failed')
  return newest?.kind === 'refused' && !mayHaveRun ? 'pass-on' : 'give-up'
}

/** Whether the request has not run, or may run twice, so that it may be relayed again. */
function mayRelayAgain(outcome: RelayOutcome | undefined, route: RepeatableRoute): boolean {
  if (outcome?.kind === 'refused') return outcome.status === STATUS_UNAVAILABLE
  if (outcome?.kind === 'failed') return canRepeat({ route, isReplyStarted: false })
  return true
}

/** Returns the outcome as written to the request's log line. */
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
