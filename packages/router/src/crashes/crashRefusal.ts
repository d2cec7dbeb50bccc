/** What the caller of a request is told that is not sent to any endpoint. Owns nothing. */

import type { CrashVerdict } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'

/** Undefined where the request may be sent. */
export function crashRefusal(verdict: CrashVerdict): NotRunError | undefined {
  if (verdict === 'refuse') return new NotRunError(ResultCode.EndsEndpoints)
  return verdict === 'wait' ? waitingRefusal() : undefined
}

/** The request may be sent when it is known whether an endpoint has ended. */
export function waitingRefusal(): NotRunError {
  return new NotRunError(
    ResultCode.NoEndpoint,
    'it is looked at an endpoint that it may have ended',
  )
}
