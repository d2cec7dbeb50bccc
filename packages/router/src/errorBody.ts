/**
 * Refusals and failures as callers see them: body, headers, or the last event of a stream. Both
 * kinds of daemon use these formats.
 */

import {
  DispatchedError,
  NotRunError,
  RESULT_TABLE,
  ResultCode,
  resultName,
} from '@rackwalk/shared'
import type { Execution, RackwalkError, RequestId } from '@rackwalk/shared'
import { StandardRetryAfter } from './retryAfter.js'
import type { RetryAfterFormat } from './retryAfter.js'

const STANDARD_RETRY_AFTER = new StandardRetryAfter()

/** The JSON body of every refusal and failure. */
export interface ErrorBody {
  readonly error: {
    readonly code: ResultCode
    readonly name: string
    readonly message: string
    /** Error class as in the OpenAI error format, for unmodified OpenAI clients. */
    readonly type: string
    readonly execution?: Execution
    /**
     * Set if the request may run only once and its key was not claimed: `execution` describes this
     * attempt only, and an earlier attempt with the same key may have run.
     */
    readonly earlierAttempts?: 'unknown'
    readonly repeatable: boolean
    readonly retryAfterSeconds?: number
    readonly requestId?: RequestId
  }
}

/**
 * Builds the body of an error from the error and its row of the result table. An internal error
 * shows callers only the message of the row. If the error has a retry time, the body states at
 * least `leastSeconds`.
 */
export function errorBody(
  error: RackwalkError,
  requestId?: RequestId,
  earlierAttempts?: 'unknown',
  leastSeconds = 0,
): ErrorBody {
  const row = RESULT_TABLE[error.code]
  return {
    error: {
      code: error.code,
      name: resultName(error.code),
      message: error.code === ResultCode.Internal ? row.message : error.message,
      type: row.httpStatus >= 500 ? 'server_error' : 'invalid_request_error',
      execution: row.execution,
      earlierAttempts,
      repeatable: row.repeatable,
      retryAfterSeconds: retryAfterSeconds(error, leastSeconds),
      requestId,
    },
  }
}

/** Returns the headers that accompany an error's body. */
export function errorHeaders(
  error: RackwalkError,
  requestId?: RequestId,
  retryAfterFormat: RetryAfterFormat = STANDARD_RETRY_AFTER,
  leastSeconds = 0,
): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  const wait = retryAfterSeconds(error, leastSeconds)
  if (wait !== undefined) Object.assign(headers, retryAfterFormat.retryHeaders(wait))
  if (requestId !== undefined) headers['rackwalk-request-id'] = requestId
  return headers
}

/** Returns the last event of a stream that cannot be completed. */
export function errorEvent(error: RackwalkError, requestId: RequestId): Buffer {
  return Buffer.from(`data: ${JSON.stringify(errorBody(error, requestId))}\n\n`)
}

function retryAfterSeconds(error: RackwalkError, leastSeconds: number): number | undefined {
  const isTimed = error instanceof NotRunError || error instanceof DispatchedError
  const seconds = isTimed ? error.retryAfterSeconds : RESULT_TABLE[error.code].retryAfterSeconds
  return seconds === undefined ? undefined : Math.max(seconds, leastSeconds)
}
