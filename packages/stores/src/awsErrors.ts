/**
 * Classifies errors of the AWS clients by what they say about a write: certainly refused, or
 * outcome unknown.
 */

import { RackwalkError, ResultCode } from '@rackwalk/shared'

const THROTTLED = new Set([
  'ProvisionedThroughputExceededException',
  'ThrottlingException',
  'RequestLimitExceeded',
  'SlowDown',
])
// The connection was never established, so no byte of the request can have arrived.
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

interface ServiceFailure {
  readonly name?: string
  readonly code?: string
  readonly $metadata?: { readonly httpStatusCode?: number }
}

/**
 * Classifies a client library's error by what it says about the write: a definite refusal, or an
 * unknown outcome (a timeout, a reset, a 5xx).
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
