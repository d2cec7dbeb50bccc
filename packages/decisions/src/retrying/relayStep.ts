/**
 * Decides the next step after a request was relayed to another instance: pass that instance's answer on, relay the
 * request to one more instance, or give up and return an error. Also decides whether a request may be relayed at all.
 *
 * Inputs: the outcomes of the endpoint attempts and of all relays of the request so far, the route's settings, and whether
 * an untried instance is left. Without this rule, a request that must run only once could run at two instances, or its
 * caller could be told "not run" wrongly.
 *
 * | outcome of the newest relay                             | may have run | next step                                     |
 * | ------------------------------------------------------- | ------------ | --------------------------------------------- |
 * | no connection                                           | no           | another instance                              |
 * | the instance refused the request as not run             | no           | another instance (503), else its answer       |
 * | the instance denied its route, key, form or size        | no           | another instance, else an error: not run      |
 * | the same, after an earlier instance did not answer      | unknown      | an error: it is unknown whether it ran        |
 * | an answer                                               | as it says   | the answer is passed on                       |
 * | no answer or an invalid one, after the request was sent | unknown      | another instance if the request may run twice |
 *
 * If no other instance may be tried, the refusal of the second row is passed on, and any other missing answer becomes an
 * error. A denial is never passed on: the relaying instance's own configuration allows the request, so that the other one
 * has an older or a newer version of it, and the caller would take the denial for final.
 *
 * Limits: a request is relayed to at most two instances, since each costs the caller time. The instance that takes the
 * request holds the budget and makes the attempts, so a second relay takes no retry from the fleet's retry budget here.
 */

import type { AttemptOutcome } from './attemptOutcome.js'
import { canRepeat } from './retryStep.js'
import type { RepeatableRoute } from './retryStep.js'

/** The outcome of relaying a request to an instance. */
export type RelayOutcome =
  /** No connection to the instance was established. */
  | { readonly kind: 'not-sent' }
  /** The instance itself answered that the request has not run. */
  | { readonly kind: 'refused'; readonly status: number }
  /** The instance returned an answer to the request. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The request was sent, and its answer is missing, incomplete or invalid. */
  | { readonly kind: 'failed'; readonly reason: string }

/** What to do after a relay. */
export type RelayStep =
  /** Pass the instance's answer or refusal on to the caller. */
  | 'pass-on'
  /** Relay the request to one more instance. */
  | 'ask-another'
  /** Return an error of this instance. */
  | 'give-up'

/** Maximum number of instances that one request is relayed to, since each costs the caller time. */
const MAXIMUM_RELAYS = 2
const STATUS_UNAVAILABLE = 503
/** Statuses with which an instance denies what its configuration does not allow. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431])

/**
 * Whether this instance could not connect to any endpoint for a request, so that no endpoint can have run the request and
 * the request may be relayed. `history` holds the outcomes of all attempts. `isCutOff` says whether this instance has no
 * connection to any endpoint of the service; a request without an attempt counts only then.
 */
export function wasNeverSent(history: readonly AttemptOutcome[], isCutOff: boolean): boolean {
  const isUnconnected = history.every(({ kind }) => kind === 'connect-failed')
  return isUnconnected && (history.length > 0 || isCutOff)
}

/**
 * Returns the next step after the newest of these outcomes, which are ordered from the oldest to the newest. `hasAnother`
 * says whether an untried instance is left.
 */
export function relayStep(
  outcomes: readonly RelayOutcome[],
  route: RepeatableRoute,
  hasAnother: boolean,
): RelayStep {
  const newest = outcomes.at(-1)
  if (newest?.kind === 'answered') return 'pass-on'
  const mayAsk = hasAnother && outcomes.length < MAXIMUM_RELAYS
  if (mayAsk && mayRelayAgain(newest, route)) return 'ask-another'
  // Another instance may have run the request before the newest one refused it, so "not run" must not be passed on.
  const mayHaveRun = outcomes.some(({ kind }) => kind === 'failed')
  const isPassedOn = newest?.kind === 'refused' && !isDenial(newest)
  return isPassedOn && !mayHaveRun ? 'pass-on' : 'give-up'
}

/** Whether the newest outcome allows one more relay, because the request has not run there or may run twice. */
function mayRelayAgain(outcome: RelayOutcome | undefined, route: RepeatableRoute): boolean {
  if (outcome?.kind === 'refused') {
    return outcome.status === STATUS_UNAVAILABLE || isDenial(outcome)
  }
  if (outcome?.kind === 'failed') return canRepeat({ route, isReplyStarted: false })
  return true
}

/** Whether an instance denied a request that the relaying instance's configuration allows. */
export function isDenial({ status }: { readonly status: number }): boolean {
  return DENIALS.has(status)
}

/** Returns the outcome as written to the request's log line. The outcome is undefined while the relay is in progress. */
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
