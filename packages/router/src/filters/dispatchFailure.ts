/**
 * Chooses the error for a request of the OpenAI-style kind that no endpoint answered.
 *
 * `NotRunError` is used only if no attempt can have run the request: no byte of it was sent, or the
 * endpoint rejected it without running it. If the endpoints' own advice (backoff, Retry-After)
 * forbids another attempt, the error says when the first endpoint may be tried again.
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
  /** Whether the deadline has passed. */
  readonly isLate: boolean
  readonly isRepeatable: boolean
  /** Why no endpoint may get the request now; undefined if one may. */
  readonly refusal: NotRunError | undefined
}

/**
 * Returns the error of a request that no endpoint answered. If the request may have run, the first
 * that applies decides: the caller left, the deadline passed, the request is not repeatable, the
 * newest failure.
 */
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
  // The head of an answer had arrived, so the endpoint did run the request.
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
