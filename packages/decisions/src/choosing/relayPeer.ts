/**
 * Which instance takes a request that this one can't send to any endpoint?
 *
 * Load pattern: some instances are cut off from all endpoints for seconds, and their callers keep coming for as long as
 * they keep an answer of the directory. The others get these requests on top of their own.
 *
 * | another instance                        | asked      |
 * | --------------------------------------- | ---------- |
 * | is cut off from the service itself      | never      |
 * | has fallen silent, leaves, or was asked | never      |
 * | says that it gets more than it bears    | last       |
 * | is in another failure domain            | after near |
 *
 * Limits: among equals chance decides, so that those that are cut off together do not choose the same one. Whoever was
 * relayed to never relays on, so two instances that take each other for sound lose one step and no more.
 */

/** Another instance, as far as the choice looks at it. */
export interface RelayCandidate {
  readonly instance: string
  readonly failureDomain: string
  readonly isCutOff: boolean
  readonly isOverloaded: boolean
}

/** The instance to ask; undefined where there is none. `chance` in [0, 1) chooses among equals. */
export function chooseRelayPeer<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  failureDomain: string,
  chance: number,
): Candidate | undefined {
  const sound = candidates.filter(candidate => !candidate.isCutOff)
  const rankOf = (candidate: Candidate) =>
    2 * Number(candidate.isOverloaded) + Number(candidate.failureDomain !== failureDomain)
  const best = Math.min(...sound.map(rankOf))
  const equals = sound.filter(candidate => rankOf(candidate) === best)
  return equals[Math.floor(chance * equals.length)]
}
