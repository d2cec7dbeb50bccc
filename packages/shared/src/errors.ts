/**
 * Errors that carry a numbered result code, in three classes: any code, codes of requests that were
 * not run, and codes of requests that may have run.
 */

import type { DispatchedCode, NotRunCode } from './resultCodes.js'
import { RESULT_TABLE, ResultCode } from './resultCodes.js'

/** An error with a numbered code; `cause` is kept for the log and never shown to callers. */
export class RackwalkError extends Error {
  static {
    // Set on the prototype, so that the stack begins with this name.
    RackwalkError.prototype.name = 'RackwalkError'
  }

  readonly code: ResultCode

  constructor(code: ResultCode, detail?: string, cause?: Error) {
    const { stackTraceLimit } = Error
    // Captures no stack trace for an error without a cause. Such an error is an answer whose code
    // says what happened, and an overloaded instance creates hundreds a second; their traces would
    // take a noticeable part of the processor.
    if (cause === undefined) Error.stackTraceLimit = 0
    super(messageOf(code, detail, cause), cause && { cause })
    Error.stackTraceLimit = stackTraceLimit
    this.code = code
  }
}

function messageOf(code: ResultCode, detail?: string, cause?: Error): string {
  const { message } = RESULT_TABLE[code]
  const text = detail ? `${message}: ${detail}` : message
  return cause === undefined ? text : `${text}: ${cause.message}`
}

/**
 * The request was not run. The constructor accepts only codes of that class. The error is created
 * before dispatch, or where no attempt was sent or all attempts were rejected, so that "not run"
 * stays true.
 */
export class NotRunError extends RackwalkError {
  constructor(
    override readonly code: NotRunCode,
    detail?: string,
    readonly retryAfterSeconds = RESULT_TABLE[code].retryAfterSeconds,
  ) {
    super(code, detail)
  }
}

/** The request reached an endpoint, or may have. */
export class DispatchedError extends RackwalkError {
  constructor(
    override readonly code: DispatchedCode,
    detail?: string,
    readonly retryAfterSeconds = RESULT_TABLE[code].retryAfterSeconds,
  ) {
    super(code, detail)
  }
}

/** Converts any thrown value to a numbered error. */
export function toRackwalkError(thrown: unknown): RackwalkError {
  if (thrown instanceof RackwalkError) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return new RackwalkError(ResultCode.Internal, undefined, cause)
}
