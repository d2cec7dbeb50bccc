/** Classifies outcomes of attempts with respect to their endpoint. Owns nothing. */

import { isServerError } from '@rackwalk/decisions'
import type { AttemptOutcome } from '@rackwalk/decisions'

/**
 * Whether a proxy in front of the endpoint gave the answer: a server error that the endpoint did not sign.
 * The endpoint may have terminated.
 */
export function isProxyError(status: number, { kind }: AttemptOutcome): boolean {
  return kind === 'not-trusted' && isServerError(status)
}

/** Whether the endpoint answered without an error of its own. */
export function isSuccessful(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && !isServerError(outcome.status)
}

/** Outcome of an exchange that was ended because its endpoint terminated. */
export function terminatedOutcome(kind: 'failed' | 'not-sent', reason: string): AttemptOutcome {
  return { kind: kind === 'failed' ? kind : 'connect-failed', reason }
}
