/** What an attempt's end says of its endpoint. Owns nothing. */

import { isServerError } from '@rackwalk/decisions'
import type { AttemptOutcome } from '@rackwalk/decisions'

/** An error that the endpoint itself did not sign comes from what listens before it: the endpoint may have ended. */
export function isProxyError(status: number, { kind }: AttemptOutcome): boolean {
  return kind === 'not-trusted' && isServerError(status)
}

/** Whether the endpoint answered, and not with an error of its own. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && !isServerError(outcome.status)
}

/** The outcome of an exchange that its endpoint's end ended. */
export function terminatedOutcome(kind: 'failed' | 'not-sent', reason: string): AttemptOutcome {
  return { kind: kind === 'failed' ? kind : 'connect-failed', reason }
}
