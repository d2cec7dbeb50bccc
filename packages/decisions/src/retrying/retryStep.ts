/**
 * Decides the next step after an attempt: pass its answer on, try another endpoint, or give the request up.
 *
 * Inputs: the outcomes of all attempts so far, the route's settings, whether the caller has the head of an answer, whether
 * the request is abandoned, and whether an untried endpoint and a retry of the fleet's budget are left.
 *
 * | newest attempt                                                | next step                                            |
 * | ------------------------------------------------------------- | ---------------------------------------------------- |
 * | got no connection                                             | another endpoint, until the third such attempt       |
 * | refused: the endpoint guarantees that the request did not run | another endpoint, if a retry is allowed              |
 * | no answer, an interrupted answer or one that is not trusted   | another endpoint, if both are allowed                |
 * | an answer with status 408, 421, 429 or 503                    | none: the request is given up                        |
 * | any other answer with a status of 500 or more                 | another endpoint, if both are allowed, else as below |
 * | any other answer                                              | passed on, or given up (see below)                   |
 *
 * "Both": a retry, and a second run according to the route (`canRepeat`). An answer of the last row is given up if the
 * caller already has the head of an answer and the status is not 200. A retry is allowed until the caller disconnects or the
 * deadline passes, as long as an untried endpoint is left, and within the route's maximum number of attempts and the
 * fleet's retry budget. An attempt that got no connection takes no retry from the budget and does not count as one of
 * the attempts, since nothing was sent. Without this rule, a request that must run only once could run twice, and retries
 * could multiply the load of a failing service.
 */

import type { AttemptOutcome } from './attemptOutcome.js'

/** What to do after one attempt. */
export type RetryStep =
  /** Pass the endpoint's answer on to the caller. */
  | 'pass-on'
  /** Send the request to another endpoint. */
  | 'try-another'
  /** Return an error, or end an answer that the caller has begun to receive. */
  | 'give-up'

/** What a route allows about running a request again. */
export interface RepeatableRoute {
  /** Whether a request may run twice. */
  readonly isIdempotent: boolean
  /** Whether the route's answers are streams of events. */
  readonly isStreaming: boolean
  /** Whether another endpoint can resume after the last event that the caller has. */
  readonly isResumable: boolean
}

/** What a route allows about running a request again, and how often. */
interface RetryRoute extends RepeatableRoute {
  /** Maximum number of attempts, not counting those that got no connection. */
  readonly maximumAttempts: number
}

/** The state of a request after an attempt. */
export interface RetrySituation {
  readonly route: RetryRoute
  /** Outcomes of all attempts so far, the newest last. */
  readonly history: readonly AttemptOutcome[]
  /** Whether the caller has the head of an answer. */
  readonly isReplyStarted: boolean
  /** Whether the caller has disconnected or the deadline has passed. */
  readonly isAbandoned: boolean
  /** Whether an endpoint of the service has not been tried yet and may be sent the request now. */
  readonly hasUntriedEndpoint: boolean
  /**
   * Takes one retry from the fleet's budget and returns whether one was left. Called last, and only if everything else
   * allows a retry.
   */
  readonly takeRetry: () => boolean
}

/** Number of failed connection attempts after which the request is given up. */
const MAXIMUM_CONNECT_FAILURES = 3
/** Status of a request that reached another endpoint than the one that it was addressed to. */
const STATUS_MISDIRECTED = 421
/**
 * Statuses that promise a caller that its request did not run. Only this product itself, or an endpoint that marks its
 * answer as not executed, may promise that. An answer with one of these statuses and without the mark is never passed on.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, STATUS_MISDIRECTED, 429, 503])
const STATUS_OK = 200
/** Lowest status that reports a failure of the endpoint. */
const STATUS_SERVER_ERROR = 500
/** Lowest status of an interim answer, which precedes the final one. */
const LOWEST_INTERIM_STATUS = 100
/** Highest status that HTTP defines. */
const HIGHEST_STATUS = 599

/**
 * Whether a status promises that the request did not run. An answer that has such a status and is not marked as not
 * executed must not be passed on, since nothing guarantees the promise.
 */
export function claimsNotExecuted(status: number): boolean {
  return NOT_EXECUTED_STATUSES.has(status)
}

/** Whether the status says that the addressed endpoint is no longer at its address. */
export function isMisdirected(status: number): boolean {
  return status === STATUS_MISDIRECTED
}

/** Whether a head with this status precedes the head of the final answer, which alone says what became of the request. */
export function isInterimStatus(status: number): boolean {
  return status >= LOWEST_INTERIM_STATUS && status < STATUS_OK
}

/**
 * Whether a final answer may have the status. Parsers accept any three digits, while an answer with another status can't be
 * sent to a caller, loses its body (101), or means nothing to it.
 */
export function isFinalStatus(status: number): boolean {
  return status >= STATUS_OK && status <= HIGHEST_STATUS
}

/** Whether the status reports a failure of the endpoint. */
export function isServerError(status: number): boolean {
  return status >= STATUS_SERVER_ERROR
}

/** Returns the next step after the newest attempt, or `'try-another'` if there was no attempt yet. */
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
  // The caller already has the head of a stream. Only an answer with status 200 can be the rest of that stream.
  if (situation.isReplyStarted && status !== STATUS_OK) return 'give-up'
  return 'pass-on'
}

/**
 * Whether the route allows a request that may have run to run once more. Before the caller has the head of an answer,
 * the route must be idempotent or resumable; afterwards, it must be a resumable stream.
 */
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

/**
 * Whether the number of attempts, the deadline, the caller, the endpoints and the fleet's budget allow one more attempt.
 * Takes a retry from the budget if so.
 */
function mayRetry(situation: RetrySituation): boolean {
  const { route, history, isAbandoned, hasUntriedEndpoint, takeRetry } = situation
  const sent = history.length - connectFailures(situation)
  if (sent >= route.maximumAttempts || isAbandoned || !hasUntriedEndpoint) return false
  return takeRetry()
}

function connectFailures({ history }: RetrySituation): number {
  return history.filter(({ kind }) => kind === 'connect-failed').length
}
