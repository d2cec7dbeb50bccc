/**
 * Decides which error a caller gets whose request has no complete answer.
 *
 * Inputs: the outcomes of all attempts, why no endpoint was chosen, and whether the caller has disconnected or the deadline
 * has passed. Waiting times are in milliseconds.
 *
 * The error says "not run" only if no attempt can have run the request, since a caller may safely send such a request
 * again. Without this rule a request that must run only once could run twice. The first of these that applies determines
 * the error:
 *
 * 1. The caller has disconnected.
 * 2. The deadline has passed.
 * 3. There is a reason for which no endpoint was chosen.
 * 4. Attempts may have run the request. The newest failed one of these decides, or else the newest of these.
 * 5. No attempt can have run the request. The error then says that the endpoint refused the request, if the endpoint
 *    refused the newest attempt as not run; otherwise the error says that there is no endpoint, or no connection.
 */

import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { toRetryAfterSeconds } from '../admitting/budgetWaitLimit.js'
import type { SendRefusal } from '../choosing/sendRefusal.js'
import type { AttemptOutcome } from '../retrying/attemptOutcome.js'
import { mayHaveRun } from '../retrying/attemptOutcome.js'
import { claimsNotExecuted } from '../retrying/retryStep.js'

/** The result code for each reason for which an endpoint may receive nothing from this instance. */
const CODE_OF_REFUSAL = {
  cold: ResultCode.WarmingUp,
  rate: ResultCode.RateNamed,
  rest: ResultCode.EndpointsResting,
} as const

/** Why no endpoint was chosen. */
export type NoEndpointReason =
  /** No endpoint of the service is listed, or all listed ones count as unreachable. */
  | { readonly kind: 'none-listed' }
  /**
   * Endpoints of the service are available, but each of them has no room, would probably reject the request, or is behind a
   * lost link.
   */
  | { readonly kind: 'none-with-room' }
  /**
   * No endpoint with room can be sent the request, and at least one of them may receive no requests from this instance now
   * (see `SendRefusal`). `refusal` is the endpoints' refusal that ends first. `chance` is a random number in [0, 1) that
   * spreads the times at which callers return.
   */
  | { readonly kind: 'none-permitted'; readonly refusal: SendRefusal; readonly chance: number }
  /** The request, or one of its prompt parts, is refused because it appears to crash endpoints. */
  | { readonly kind: 'crashing' }

/** A request that ended without a complete answer. */
export interface EndedRequest {
  readonly service: string
  /** Outcomes of all attempts, the newest last, including an attempt that the deadline or a disconnected caller aborted. */
  readonly history: readonly AttemptOutcome[]
  /** Whether the caller has disconnected. */
  readonly isCallerGone: boolean
  /** Whether the deadline has passed. */
  readonly isDeadlinePassed: boolean
  /**
   * Why no endpoint was chosen. Set only if no attempt can have run the request and
   * - no endpoint was found for the first attempt,
   * - the request is refused as `crashing`, also after attempts that cannot have run it, or
   * - the newest attempt was refused and no available endpoint may receive requests now (`none-permitted`).
   */
  readonly noEndpointReason: NoEndpointReason | undefined
}

/** Returns the error of a request that ended without a complete answer. */
export function finalError(request: EndedRequest): RackwalkError {
  if (request.isCallerGone) return new DispatchedError(ResultCode.CallerLeft)
  if (request.isDeadlinePassed) return lateError(request)
  return errorAfter(request)
}

/**
 * Returns the error after the deadline. It says "not run" only if no attempt got a connection; an attempt that the endpoint
 * refused as not run counts as sent here.
 */
function lateError({ history }: EndedRequest): RackwalkError {
  const wasSent = history.some(({ kind }) => kind !== 'connect-failed')
  if (wasSent) return new DispatchedError(ResultCode.DeadlinePassed)
  return new NotRunError(ResultCode.DeadlineUnreachable)
}

function errorAfter({ service, history, noEndpointReason }: EndedRequest): RackwalkError {
  if (noEndpointReason !== undefined) return noEndpointError(service, noEndpointReason)
  const possibleRuns = history.filter(mayHaveRun)
  const failure = possibleRuns.findLast(isFailure) ?? possibleRuns.at(-1)
  if (failure !== undefined) return errorOfRun(failure)
  if (history.at(-1)?.kind === 'refused') return new NotRunError(ResultCode.EndpointRefused)
  const detail = history.length > 0 ? 'no connection' : undefined
  return new NotRunError(ResultCode.NoEndpoint, detail)
}

function noEndpointError(service: string, noChoice: NoEndpointReason): RackwalkError {
  switch (noChoice.kind) {
    case 'none-listed':
      return new NotRunError(ResultCode.NoEndpoint, service)
    case 'none-with-room':
      return new NotRunError(ResultCode.Overloaded, service)
    case 'crashing':
      return new NotRunError(ResultCode.EndsEndpoints)
    case 'none-permitted': {
      const { refusal, chance } = noChoice
      return allRefusedError(service, refusal, chance)
    }
  }
}

/**
 * Returns the error for the case that no endpoint with room may receive requests from this instance now. Callers who are
 * refused together must not return together, so `chance`, a random number in [0, 1), makes the time after which a caller is
 * asked to return (Retry-After) one to two times the refusal's wait.
 */
export function allRefusedError(
  service: string,
  refusal: SendRefusal,
  chance: number,
): NotRunError {
  const returnAfter = toRetryAfterSeconds(refusal.waitMilliseconds * (1 + chance))
  return new NotRunError(CODE_OF_REFUSAL[refusal.kind], service, returnAfter)
}

/** Whether an outcome is a failure. An answer is a failure only if its status forbids passing it on. */
function isFailure(outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'answered' || claimsNotExecuted(outcome.status)
}

/** Returns the error after an attempt that may have run the request. */
function errorOfRun(outcome: AttemptOutcome): RackwalkError {
  switch (outcome.kind) {
    case 'broke-off':
      return new DispatchedError(ResultCode.EndpointBrokeOff)
    case 'answered':
      return new DispatchedError(ResultCode.EndpointError, `status ${outcome.status}`)
    default:
      return new DispatchedError(ResultCode.EndpointFailed)
  }
}
