/**
 * Decides which instance a request is relayed to that this instance cannot send to any endpoint.
 *
 * Load pattern: some instances are cut off from all endpoints for seconds, and their callers keep
 * sending requests for as long as they keep an answer of the directory. The other instances get
 * these requests on top of their own.
 *
 * | other instance                              | is chosen                    |
 * | ------------------------------------------- | ---------------------------- |
 * | is itself cut off from the service          | never                        |
 * | is silent, is leaving, or was already asked | never (not among candidates) |
 * | reports overload                            | last                         |
 * | is in another failure domain                | after those in the same one  |
 *
 * Inputs: the candidates, this instance's failure domain and a random number.
 *
 * Limits: among equals the choice is random, so that instances that are cut off together do not
 * choose the same peer. An instance never relays a relayed request, so two instances that each
 * consider the other connected cost one step and no more.
 */

/** Another instance, as far as the choice needs to know it. */
export interface RelayCandidate {
  readonly instance: string
  readonly failureDomain: string
  readonly isCutOff: boolean
  readonly isOverloaded: boolean
}

/**
 * Returns the instance to relay to; undefined where there is none. `chance` in [0, 1) selects among
 * equals.
 */
export function chooseRelayPeer<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  failureDomain: string,
  chance: number,
): Candidate | undefined {
  const reachable = candidates.filter(candidate => !candidate.isCutOff)
  const rankOf = (candidate: Candidate) =>
    2 * Number(candidate.isOverloaded) + Number(candidate.failureDomain !== failureDomain)
  const best = Math.min(...reachable.map(rankOf))
  const equals = reachable.filter(candidate => rankOf(candidate) === best)
  return equals[Math.floor(chance * equals.length)]
}
