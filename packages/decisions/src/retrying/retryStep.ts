/**
 * After an attempt: is its answer passed on, is another endpoint asked, or is the request given up?
 *
 * A request goes to another endpoint where the attempt did not run it for certain, or where its
 * route says that it may run twice; always within the route's attempts, the time that is left and
 * the fleet's retry budget. An attempt for which no connection came up costs no retry, since
 * nothing was sent.
 */

import type { AttemptOutcome } from './attemptOutcome.js'

/** What to do after one attempt. */
export type RetryStep = 'pass-on' | 'try-another' | 'give-up'

/** What a route says of running a request again. */
export interface RepeatableRoute {
  /** Whether a request may run twice. */
  readonly isIdempotent: boolean
  /** Whether its answers are streams of events. */
  readonly isStreaming: boolean
  /** Whether another endpoint can go on after the last event that the caller has. */
  readonly isResumable: boolean
}

/** What a route allows. */
interface RetryRoute extends RepeatableRoute {
  /** Attempts that may reach an endpoint. */
  readonly maximumAttempts: number
}

/** The request as it stands after an attempt. */
export interface RetrySituation {
  readonly route: RetryRoute
  /** Outcomes of all attempts, the newest last. */
  readonly history: readonly AttemptOutcome[]
  /** Whether the caller has the head of an answer. */
  readonly isReplyStarted: boolean
  /** Whether the caller has left or the deadline has passed. */
  readonly isAbandoned: boolean
  /** Whether an endpoint of the service was not asked yet. */
  readonly hasUntriedEndpoint: boolean
  /** Takes one retry of the fleet's budget, if there is one; asked last, and only if it counts. */
  readonly takeRetry: () => boolean
}

/** Endpoints to which no connection came up before the request is given up. */
const MAXIMUM_CONNECT_FAILURES = 3
/** The endpoint that got the request is not the one that it was meant for. */
const STATUS_MISDIRECTED = 421
/**
 * Statuses that promise a caller that its request did not run. Only an endpoint's marked refusal or
 * the product itself may say so; an unmarked answer with one of them is never passed on.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, STATUS_MISDIRECTED, 429, 503])
const STATUS_OK = 200
/** From here on a status says that the endpoint failed. */
const STATUS_SERVER_ERROR = 500

/** Whether an answer must not be passed on, since its status promises what nobody guarantees. */
export function claimsNotExecuted(status: number): boolean {
  return NOT_EXECUTED_STATUSES.has(status)
}

/** Whether an answer says that the endpoint which was meant is no longer at its address. */
export function isMisdirected(status: number): boolean {
  return status === STATUS_MISDIRECTED
}

/** Whether an answer says that the endpoint failed. */
export function isServerError(status: number): boolean {
  return status >= STATUS_SERVER_ERROR
}

/** The step after the newest attempt of a situation. */
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
  // Whoever continues a stream has to answer with the rest of it.
  if (situation.isReplyStarted && status !== STATUS_OK) return 'give-up'
  return 'pass-on'
}

/** Whether the route allows what may have run to run once more. */
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

/** Attempts, time, endpoints and the fleet's budget allow one more. */
function mayRetry(situation: RetrySituation): boolean {
  const { route, history, isAbandoned, hasUntriedEndpoint, takeRetry } = situation
  const sent = history.length - connectFailures(situation)
  if (sent >= route.maximumAttempts || isAbandoned || !hasUntriedEndpoint) return false
  return takeRetry()
}

function connectFailures({ history }: RetrySituation): number {
  return history.filter(({ kind }) => kind === 'connect-failed').length
}
