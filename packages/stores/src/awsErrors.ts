/**
 * Classifies errors of the AWS clients by whether a write certainly did not take effect or its
 * outcome is unknown.
 */

import { RackwalkError, ResultCode } from '@rackwalk/shared'

// Names of errors with which the service rejects an operation because of its rate.
const THROTTLED = new Set([
  'ProvisionedThroughputExceededException',
  'ThrottlingException',
  'RequestLimitExceeded',
  'SlowDown',
])
// Codes of errors after which no connection was established, so no byte of the request can have
// arrived.
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

interface ServiceFailure {
  readonly name?: string
  readonly code?: string
  readonly $metadata?: { readonly httpStatusCode?: number }
}

/**
 * Converts an error of a client library. Throttling and a connection that was never established
 * mean that nothing took effect. Any other error (such as a timeout, a reset or a 5xx status)
 * counts as an unknown outcome.
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
