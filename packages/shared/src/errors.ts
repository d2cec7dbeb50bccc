/**
 * Errors that carry a numbered result code. `RackwalkError` accepts any code, `NotRunError` only
 * codes of requests that were not run, and `DispatchedError` only codes of requests that may have
 * run.
 */

import type { DispatchedCode, NotRunCode } from './resultCodes.js'
import { RESULT_TABLE, ResultCode } from './resultCodes.js'

/**
 * An error with a numbered code. Its message consists of the code's text, the detail and the
 * cause's message. The cause is meant for the log; for the code `Internal`, callers get neither
 * detail nor cause (router/errorBody.ts).
 */
export class RackwalkError extends Error {
  static {
    // Set on the prototype, so that the stack begins with this name.
    RackwalkError.prototype.name = 'RackwalkError'
  }

  readonly code: ResultCode

  constructor(code: ResultCode, detail?: string, cause?: Error) {
    const { stackTraceLimit } = Error
    // An error without a cause gets no stack trace. Such an error is an answer to a caller, and its
    // code says what happened. An overloaded instance creates hundreds of them a second, and their
    // traces would take a noticeable part of the processor's time.
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
 * The error of a request that was not run. It is created before the request is dispatched, or where
 * no attempt was sent or all attempts were rejected, so that "not run" is true.
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

/**
 * The error of a request that this or an earlier attempt sent, or may have sent, to an endpoint.
 */
export class DispatchedError extends RackwalkError {
  constructor(
    override readonly code: DispatchedCode,
    detail?: string,
    readonly retryAfterSeconds = RESULT_TABLE[code].retryAfterSeconds,
  ) {
    super(code, detail)
  }
}

/**
 * Returns a `RackwalkError` as it is, and any other thrown value as the cause of an internal error.
 */
export function toRackwalkError(thrown: unknown): RackwalkError {
  if (thrown instanceof RackwalkError) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return new RackwalkError(ResultCode.Internal, undefined, cause)
}
