/** What an error of the AWS clients says about a write: refused for certain, or outcome unknown. */

import { RackwalkError, ResultCode } from '@rackwalk/shared'

const THROTTLED = new Set([
  'ProvisionedThroughputExceededException',
  'ThrottlingException',
  'RequestLimitExceeded',
  'SlowDown',
])
// The connection was never made, so no byte of the request can have arrived.
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

interface ServiceFailure {
  readonly name?: string
  readonly code?: string
  readonly $metadata?: { readonly httpStatusCode?: number }
}

/**
 * Sorts a client library's error by what it says about the write: a definite refusal,
 * or no knowledge at all (a time limit, a reset, a 5xx).
 */
export function classifyServiceError(thrown: unknown): RackwalkError {
  if (thrown instanceof RackwalkError) return thrown
  const failure = thrown as ServiceFailure
  const cause = thrown instanceof Error ? thrown : undefined
  if (THROTTLED.has(failure.name ?? '')) {
    return new RackwalkError(ResultCode.PlatformThrottled, failure.name, cause)
  }
  if (NEVER_SENT.has(failure.code ?? '')) {
    return new RackwalkError(ResultCode.PlatformUnavailable, failure.code, cause)
  }
  return new RackwalkError(ResultCode.PlatformAmbiguous, failure.name, cause)
}
