/**
 * Decides to which other instance this one relays a request that it cannot send to any endpoint.
 *
 * Load pattern: some instances are cut off (without a connection to any endpoint of a service) for
 * seconds, and their callers keep sending them requests for as long as they cache the answer of the
 * directory. The other instances get the relayed requests in addition to their own.
 *
 * | other instance                              | is chosen                    |
 * | ------------------------------------------- | ---------------------------- |
 * | is itself cut off from the service          | never                        |
 * | is silent, is leaving, or was already asked | never (not a candidate)      |
 * | reports overload                            | last                         |
 * | is in another failure domain                | after those in the same one  |
 *
 * Inputs: the candidates, this instance's failure domain and a random number in [0, 1).
 *
 * Limits: among equals the choice is random, so that instances that are cut off together do not all
 * choose the same peer. An instance never relays a relayed request, so two instances that each
 * consider the other one connected cost a request no more than one relay.
 */

/** Another instance, as far as the choice needs to know it. */
export interface RelayCandidate {
  readonly instance: string
  readonly failureDomain: string
  /** Whether the instance reports that it is cut off from the request's service. */
  readonly isCutOff: boolean
  readonly isOverloaded: boolean
}

/**
 * Returns the instance to relay to; undefined where all candidates are cut off. `randomFraction`, a
 * random number in [0, 1), selects among equals.
 */
export function chooseRelayPeer<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  failureDomain: string,
  randomFraction: number,
): Candidate | undefined {
  const reachable = candidates.filter(candidate => !candidate.isCutOff)
  const rankOf = (candidate: Candidate) =>
    2 * Number(candidate.isOverloaded) + Number(candidate.failureDomain !== failureDomain)
  const best = Math.min(...reachable.map(rankOf))
  const equals = reachable.filter(candidate => rankOf(candidate) === best)
  return equals[Math.floor(randomFraction * equals.length)]
}
