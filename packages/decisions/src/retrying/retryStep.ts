/**
 * Decides the next step after an attempt: pass its answer on, try another endpoint, or give the request up.
 *
 * Inputs: the outcomes of all attempts so far, the route's settings, whether the caller has the head of an answer, and
 * whether an untried endpoint and a retry of the fleet's budget are left.
 *
 * Another endpoint is tried if the attempt certainly did not run the request, or if the route allows the request to run
 * twice. Retries stay within the route's maximum number of attempts, the remaining time and the fleet's retry budget.
 * An attempt that got no connection costs no retry, since nothing was sent. Without this rule, a request that must run
 * only once could run twice, and retries could multiply the load of a failing service.
 */

import type { AttemptOutcome } from './attemptOutcome.js'

/** What to do after one attempt. */
export type RetryStep = 'pass-on' | 'try-another' | 'give-up'

/** What a route allows about running a request again. */
export interface RepeatableRoute {
  /** Whether a request may run twice. */
  readonly isIdempotent: boolean
  /** Whether its answers are streams of events. */
  readonly isStreaming: boolean
  /** Whether another endpoint can resume after the last event that the caller has. */
  readonly isResumable: boolean
}

/** What a route allows about attempts. */
interface RetryRoute extends RepeatableRoute {
  /** Maximum number of attempts that may reach an endpoint. */
  readonly maximumAttempts: number
}

/** The state of a request after an attempt. */
export interface RetrySituation {
  readonly route: RetryRoute
  /** Outcomes of all attempts, the newest last. */
  readonly history: readonly AttemptOutcome[]
  /** Whether the caller has the head of an answer. */
  readonly isReplyStarted: boolean
  /** Whether the caller has disconnected or the deadline has passed. */
  readonly isAbandoned: boolean
  /** Whether an endpoint of the service has not been tried yet. */
  readonly hasUntriedEndpoint: boolean
  /**
   * Takes one retry from the fleet's budget and returns whether there was one. Called last, and only if everything else
   * allows a retry.
   */
  readonly takeRetry: () => boolean
}

/** Number of failed connection attempts after which the request is given up. */
const MAXIMUM_CONNECT_FAILURES = 3
/** The endpoint that received the request is not the one that it was addressed to. */
const STATUS_MISDIRECTED = 421
/**
 * Statuses that promise a caller that its request did not run. Only a refusal that the endpoint marks as not executed, or
 * this product itself, may promise that. An unmarked answer with one of these statuses is never passed on.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, STATUS_MISDIRECTED, 429, 503])
const STATUS_OK = 200
/** Statuses from this one on report a failure of the endpoint. */
const STATUS_SERVER_ERROR = 500

/**
 * Whether an unmarked answer with this status must not be passed on: the status promises that the request did not run, and
 * nothing guarantees that.
 */
export function claimsNotExecuted(status: number): boolean {
  return NOT_EXECUTED_STATUSES.has(status)
}

/** Whether the status says that the addressed endpoint is no longer at its address. */
export function isMisdirected(status: number): boolean {
  return status === STATUS_MISDIRECTED
}

/** Whether the status reports a failure of the endpoint. */
export function isServerError(status: number): boolean {
  return status >= STATUS_SERVER_ERROR
}

/** Returns the next step after the newest attempt. */
export function retryStep(situation: RetrySituation): RetryStep {
  const outcome = situation.history.at(-1)
  if (outcome === undefined) return 'try-another'
  if (outcome.kind === 'answered') return afterAnswer(situation, outcome.status)
  return mayAskAnother(situation, outcome) ? 'try-another' : 'give-up'
}

function mayAskAnother(situation: RetrySituation, { kind }: AttemptOutcome): boolean {
  if (kind === 'connect-failed') return connectFailures(situation) < MAXIMUM_CONNECT_FAILURES
  if (kind === 'refused') return mayRetry(situation)
  return canRepeat(situation) && mayRetry(situation)
}

function afterAnswer(situation: RetrySituation, status: number): RetryStep {
  if (claimsNotExecuted(status)) return 'give-up'
  if (isServerError(status) && canRepeat(situation) && mayRetry(situation)) return 'try-another'
  // The caller already has a head, so a resumed stream must be answered with its rest and not with another status.
  if (situation.isReplyStarted && status !== STATUS_OK) return 'give-up'
  return 'pass-on'
}

/** Whether the route allows a request that may have run to run once more. */
export function canRepeat({
  route,
  isReplyStarted,
}: {
  readonly route: RepeatableRoute
  readonly isReplyStarted: boolean
}): boolean {
  if (isReplyStarted) return route.isStreaming && route.isResumable
  return route.isIdempotent || route.isResumable
}

/** Whether attempts, time, endpoints and the fleet's budget allow one more attempt. Takes a retry from the budget if so. */
function mayRetry(situation: RetrySituation): boolean {
  const { route, history, isAbandoned, hasUntriedEndpoint, takeRetry } = situation
  const sent = history.length - connectFailures(situation)
  if (sent >= route.maximumAttempts || isAbandoned || !hasUntriedEndpoint) return false
  return takeRetry()
}

function connectFailures({ history }: RetrySituation): number {
  return history.filter(({ kind }) => kind === 'connect-failed').length
}
