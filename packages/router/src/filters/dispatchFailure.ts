/**
 * Chooses the error for a request of the OpenAI-style kind that no endpoint answered.
 *
 * `NotRunError` is used only if no attempt can have run the request: no byte of it was sent, or the
 * endpoint rejected it. If all endpoints have asked for rest, the error says when the first of them
 * may be tried again.
 */

import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { RackwalkError } from '@rackwalk/shared'
import { isRejectedUnrun } from '../advice/adviceFromHeaders.js'
import type { AttemptResult } from '../engine/attemptResult.js'

/** How a request ended that no endpoint answered. */
export interface UnansweredRequest {
  /** Results of the attempts, newest last. */
  readonly results: readonly AttemptResult[]
  readonly isCallerGone: boolean
  readonly isLate: boolean
  readonly isRepeatable: boolean
  /** Why no endpoint may get the request now; undefined if one may. */
  readonly refusal: NotRunError | undefined
}

/** Returns the error of a request that no endpoint answered. */
export function dispatchFailure(request: UnansweredRequest): RackwalkError {
  const { results, refusal } = request
  if (results.some(mayHaveRun)) return failureAfterRun(request)
  return refusal ?? new NotRunError(ResultCode.EndpointRefused, newestText(results))
}

function failureAfterRun(request: UnansweredRequest): DispatchedError {
  const { results, refusal, isCallerGone, isLate, isRepeatable } = request
  const detail = newestText(results)
  if (isCallerGone) return new DispatchedError(ResultCode.CallerLeft)
  if (isLate) return new DispatchedError(ResultCode.DeadlinePassed)
  if (!isRepeatable) return new DispatchedError(ResultCode.OutcomeUnknown, detail)
  return new DispatchedError(failureCode(results.at(-1)), detail, refusal?.retryAfterSeconds)
}

/** Returns the code for a request that may have run, by its newest failure. */
function failureCode(newest: AttemptResult | undefined) {
  if (newest?.kind !== 'failed') return ResultCode.EndpointFailed
  if (newest.stalled) return ResultCode.EndpointStalled
  // An endpoint that has begun to answer has run the request.
  return newest.framing === undefined ? ResultCode.EndpointFailed : ResultCode.EndpointBrokeOff
}

function newestText(results: readonly AttemptResult[]): string | undefined {
  const newest = results.at(-1)
  return newest && resultText(newest)
}

/** Whether an endpoint ran the request, or may have run it. */
function mayHaveRun(result: AttemptResult): boolean {
  if (result.kind !== 'answering') return result.kind === 'failed'
  const { status, headers } = result.answer
  return !isRejectedUnrun(status, headers)
}

/** Describes the result of an attempt, for records and messages. */
export function resultText(result: AttemptResult): string {
  if (result.kind === 'answering') return `status ${result.answer.status}`
  return `${result.kind}: ${result.reason}`
}
