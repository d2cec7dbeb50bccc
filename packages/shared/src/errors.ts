/**
 * Errors that carry a numbered result code, in three classes: any, "not run", and "may have run".
 * Relies on the table of result codes.
 */

import type { DispatchedCode, NotRunCode } from './resultCodes.js'
import { RESULT_TABLE, ResultCode } from './resultCodes.js'

/** An error with a numbered code; `cause` is kept for the log, never shown to callers. */
export class RackwalkError extends Error {
  static {
    // At the prototype, so that the stack begins with it.
    RackwalkError.prototype.name = 'RackwalkError'
  }

  readonly code: ResultCode

  constructor(code: ResultCode, detail?: string, cause?: Error) {
    const { stackTraceLimit } = Error
    // A refusal is an answer: its code says what happened, and an instance at its limit makes hundreds a second, of which
    // a trace would take a noticeable part of the processor.
    if (cause === undefined) Error.stackTraceLimit = 0
    super(messageOf(code, detail, cause), cause && { cause })
    Error.stackTraceLimit = stackTraceLimit
    this.code = code
  }
}

function messageOf(code: ResultCode, detail?: string, cause?: Error): string {
  const { message } = RESULT_TABLE[code]
  const own = detail ? `${message}: ${detail}` : message
  return cause === undefined ? own : `${own}: ${cause.message}`
}

/**
 * Says that a request was not run. Its constructor takes only codes of that class. It is made before dispatch, or where
 * no attempt was sent or all were turned away, so that "not run" stays true.
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

/** Says that a request reached an endpoint, or may have. */
export class DispatchedError extends RackwalkError {
  constructor(
    override readonly code: DispatchedCode,
    detail?: string,
    readonly retryAfterSeconds = RESULT_TABLE[code].retryAfterSeconds,
  ) {
    super(code, detail)
  }
}

/** Turns whatever was thrown into a numbered error. */
export function toRackwalkError(thrown: unknown): RackwalkError {
  if (thrown instanceof RackwalkError) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return new RackwalkError(ResultCode.Internal, undefined, cause)
}
