/**
 * Decides which endpoint gets a request that may crash endpoints, or that shares a suspected prompt part.
 *
 * Load pattern: such a request is reset, and its instance is too busy to find out whether the endpoint has terminated. If
 * the request then went to the next endpoint of its rendezvous order (the order by a hash of the request and the endpoint,
 * the same at every instance), each of its attempts would cost one more endpoint and leave no crash mark (the record that an
 * endpoint crashed under the request).
 *
 * Inputs: the candidate endpoints, and per request which endpoints were tried, which of them reset the request exactly once,
 * and which are suspect.
 *
 * | endpoint                                           | eligible                                                     |
 * | -------------------------------------------------- | ------------------------------------------------------------ |
 * | not tried                                          | yes                                                          |
 * | reset the request once, its state is unknown       | yes: no other endpoint is lost, and this one is probed again |
 * | reset the request twice, its state is unknown      | no: the caller is to be served by another endpoint           |
 * | no connection was established                      | no: nothing ran there                                        |
 * | reset the request; a probe showed that it is alive | no: the endpoint reset the request for another reason        |
 * | known to have terminated                           | no: the caller leaves it out of the candidates               |
 *
 * Of the eligible endpoints the first in the rendezvous order is chosen. So while the state of the first
 * attempt's endpoint is unknown, the second attempt goes to the same endpoint, which all other instances choose as well.
 *
 * Limits: the caller of this rule bounds the number of attempts and their time. Behind a front (a proxy or load balancer in
 * front of the engine) that accepts connections and stays silent, an attempt waits until a probe shows the termination, or
 * as long as the request's caller allows.
 */

import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import { rendezvousChoice } from '../choosing/rendezvous.js'

/** What the attempts of a request have shown about the endpoints so far. */
export interface IsolationAttempts<Candidate> {
  /** Endpoints that this request was sent to, or that could not be connected to for it. */
  readonly tried: ReadonlySet<Candidate>
  /** Endpoints that reset this request exactly once. */
  readonly resetOnce: ReadonlySet<Candidate>
  /** Whether an endpoint reset this or another request a moment ago, and no probe has shown since that it is alive. */
  readonly isSuspect: (candidate: Candidate) => boolean
}

/**
 * Returns the endpoint that all instances choose for a request (given its fingerprint) or for all requests that share a
 * prompt part (given the part's key). Returns undefined if no endpoint is eligible.
 */
export function chooseIsolationEndpoint<Candidate extends string>(
  subject: RequestFingerprint | PromptPartKey,
  candidates: readonly Candidate[],
  { tried, resetOnce, isSuspect }: IsolationAttempts<Candidate>,
): Candidate | undefined {
  const eligible = candidates.filter(candidate => {
    return !tried.has(candidate) || (resetOnce.has(candidate) && isSuspect(candidate))
  })
  return rendezvousChoice(subject, eligible)
}
