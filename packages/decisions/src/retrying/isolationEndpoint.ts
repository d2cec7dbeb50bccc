/**
 * Which endpoint does a request go to that may end endpoints?
 *
 * Load pattern: such a request is broken off, and its instance is too busy to find out whether the endpoint has ended. Sent on
 * to the next one of its order, each of its attempts would cost one more endpoint, and no mark of them would be left.
 *
 * | an endpoint                                          | may it be chosen?                                    |
 * | ---------------------------------------------------- | ---------------------------------------------------- |
 * | not tried                                            | yes                                                  |
 * | broke it off once, nobody knows what became of it    | yes: it costs no other one, and is looked at again   |
 * | the same, twice                                      | no: its caller is to be served while others are free |
 * | no connection came up                                | no: nothing ran there                                |
 * | broke it off, and a look showed that it lives        | no: it broke the request off for a reason of its own |
 * | known to have ended                                  | no: it is no candidate                               |
 *
 * So the attempt that follows chooses as all other instances do. Limits: whoever calls bounds the attempts and their time. Behind
 * a silent front an attempt waits until a look shows the end, or as long as its caller allows.
 */

import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import { rendezvousChoice } from '../choosing/rendezvous.js'

/** What is known of the endpoints. */
export interface IsolationAttempts<Candidate> {
  readonly tried: ReadonlySet<Candidate>
  /** Those that broke it off, and only once. */
  readonly resetOnce: ReadonlySet<Candidate>
  /** Whether one broke something off, and nobody knows yet whether it has ended. */
  readonly isSuspect: (candidate: Candidate) => boolean
}

/** The one that all instances choose for a request, or for all that share a part; undefined where there is none. */
export function chooseIsolationEndpoint<Candidate extends string>(
  subject: RequestFingerprint | PromptPartKey,
  candidates: readonly Candidate[],
  { tried, resetOnce, isSuspect }: IsolationAttempts<Candidate>,
): Candidate | undefined {
  const open = candidates.filter(candidate => {
    return !tried.has(candidate) || (resetOnce.has(candidate) && isSuspect(candidate))
  })
  return rendezvousChoice(subject, open)
}
