/**
 * Decides which endpoint gets a request that may crash endpoints, or that shares a suspected prompt part.
 *
 * Load pattern: such a request is reset, and its instance is too busy to find out whether the endpoint has terminated. If
 * the request then went to the next endpoint of its rendezvous order, each of its attempts would cost one more endpoint and
 * leave no crash mark.
 *
 * Inputs: the candidate endpoints, and per request which endpoints were tried, which reset it only once, and which are
 * suspect.
 *
 * | endpoint                                               | eligible                                                  |
 * | ------------------------------------------------------ | --------------------------------------------------------- |
 * | not tried                                              | yes                                                       |
 * | reset the request once, its state is unknown           | yes: this costs no other endpoint, and it is probed again |
 * | reset the request twice, its state is unknown          | no: the caller is to be served while others are free      |
 * | no connection was established                          | no: nothing ran there                                     |
 * | reset the request, and a probe showed that it is alive | no: it reset the request for a reason of its own          |
 * | known to have terminated                               | no: it is not among the candidates                        |
 *
 * So the next attempt chooses the same endpoint as all other instances do.
 *
 * Limits: the caller of this rule bounds the number of attempts and their time. Behind a front that accepts connections and
 * stays silent, an attempt waits until a probe shows the termination, or as long as the request's caller allows.
 */

import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import { rendezvousChoice } from '../choosing/rendezvous.js'

/** What the attempts of a request have shown about the endpoints so far. */
export interface IsolationAttempts<Candidate> {
  readonly tried: ReadonlySet<Candidate>
  /** Endpoints that reset the request, and only once. */
  readonly resetOnce: ReadonlySet<Candidate>
  /** Whether an endpoint reset a request and it is not yet known whether it has terminated. */
  readonly isSuspect: (candidate: Candidate) => boolean
}

/**
 * Returns the endpoint that all instances choose for a request, or for all requests that share a prompt part. Returns
 * undefined if no endpoint is eligible.
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
