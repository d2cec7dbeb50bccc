/**
 * What is a caller told whose request came to no whole answer?
 *
 * "Not run" is said only where no attempt can have run the request. Where several attempts failed,
 * the newest of those that may have run it counts.
 */

import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { toRetryAfterSeconds } from '../admitting/budgetWaitLimit.js'
import type { SendRefusal } from '../choosing/sendRefusal.js'
import type { AttemptOutcome } from '../retrying/attemptOutcome.js'
import { mayHaveRun } from '../retrying/attemptOutcome.js'
import { claimsNotExecuted } from '../retrying/retryStep.js'

const CODE_OF_REFUSAL = {
  cold: ResultCode.WarmingUp,
  rate: ResultCode.RateNamed,
  rest: ResultCode.EndpointsResting,
} as const

/** Why no endpoint was asked at all. */
export type NoEndpointReason =
  | { readonly kind: 'none-listed' }
  | { readonly kind: 'none-with-room' }
  /** All that have room may be sent nothing from here now; this is over first. `chance` in [0, 1) spreads callers. */
  | { readonly kind: 'none-permitted'; readonly refusal: SendRefusal; readonly chance: number }
  /** Endpoints ended under the request, and none is lost to it any more. */
  | { readonly kind: 'crashing' }

/** How a request ended that came to no whole answer. */
export interface EndedRequest {
  readonly service: string
  /** Outcomes of all attempts, the newest last; one that was cut short by the end has none. */
  readonly history: readonly AttemptOutcome[]
  readonly isCallerGone: boolean
  readonly isLate: boolean
  /** Why nothing was chosen while no attempt had reached an endpoint; undefined where something was. */
  readonly noChoice: NoEndpointReason | undefined
}

/** The error of a request that came to no whole answer. */
export function finalError(request: EndedRequest): RackwalkError {
  if (request.isCallerGone) return new DispatchedError(ResultCode.CallerLeft)
  if (request.isLate) return lateError(request)
  return errorAfter(request)
}

function lateError({ history }: EndedRequest): RackwalkError {
  const wasSent = history.some(({ kind }) => kind !== 'connect-failed')
  if (wasSent) return new DispatchedError(ResultCode.DeadlinePassed)
  return new NotRunError(ResultCode.DeadlineUnreachable)
}

function errorAfter({ service, history, noChoice }: EndedRequest): RackwalkError {
  if (noChoice !== undefined) return noEndpointError(service, noChoice)
  const ran = history.filter(mayHaveRun)
  const failure = ran.findLast(isFailure) ?? ran.at(-1)
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
 * The error where all endpoints that are free may be sent nothing now. Callers who are refused together must not return
 * together: `chance` in [0, 1) spreads them.
 */
export function allRefusedError(
  service: string,
  refusal: SendRefusal,
  chance: number,
): NotRunError {
  const returnAfter = toRetryAfterSeconds(refusal.waitMilliseconds * (1 + chance))
  return new NotRunError(CODE_OF_REFUSAL[refusal.kind], service, returnAfter)
}

/** An answer is a failure of its own only where it must not be passed on. */
function isFailure(outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'answered' || claimsNotExecuted(outcome.status)
}

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
