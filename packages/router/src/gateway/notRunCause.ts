/**
 * Names why a caller was told that its request has not run and never will. Owns nothing. The causes are labels of a
 * metric.
 */

import { claimsNotExecuted, isMisdirected, mayHaveRun } from '@rackwalk/decisions'
import type { RefusalProof } from './attemptOutcomes.js'
import type { GatewayRecord } from './gatewayRecord.js'

/** Why an answer says "not run". */
export type NotRunCause =
  /** The instance refused the request before any attempt. */
  | 'not-attempted'
  /** No connection to an endpoint was established. */
  | 'not-connected'
  /** The last attempt ended with an endpoint's refusal, which was believed for this reason. */
  | `refused-by-${RefusalProof}`
  /** An endpoint refused it as addressed to another one, by the status alone or with a mark. */
  | 'misdirected'
  /** Another instance, which the request was relayed to, refused it. */
  | 'relay'
  /** An attempt may have run the request, so the answer is wrong. */
  | 'contradictory'

/**
 * Returns the cause; undefined if the caller was told nothing, or something else, or if the answer went to another
 * instance, which counts it when it answers its caller.
 */
export function notRunCause(record: GatewayRecord): NotRunCause | undefined {
  const { status, attempts, relays, relayedBy } = record
  if (status === undefined || !claimsNotExecuted(status)) return undefined
  if (relayedBy !== undefined) return undefined
  if (attempts.some(({ outcome }) => outcome === undefined || mayHaveRun(outcome))) {
    return 'contradictory'
  }
  if (relays.some(({ outcome }) => outcome?.kind === 'refused')) return 'relay'
  const refusals = attempts.flatMap(({ refusal }) => refusal ?? [])
  // The weakest proof decides, since the answer is true only if every one of them is.
  if (refusals.some(({ proof }) => proof === 'new-connection')) return 'refused-by-new-connection'
  if (
    attempts.some(({ outcome }) => outcome?.kind === 'refused' && isMisdirected(outcome.status))
  ) {
    return 'misdirected'
  }
  if (refusals.length > 0) return 'refused-by-id'
  return attempts.length > 0 ? 'not-connected' : 'not-attempted'
}
