/**
 * Decides to which other instance this one relays a request that it cannot send to any endpoint.
 *
 * Load pattern: some instances are cut off (without a connection to any endpoint of a service) for
 * seconds, and their callers keep sending them requests for as long as they cache the answer of the
 * directory, or for longer. The other instances get the relayed requests in addition to their own.
 * If all cut-off instances of a failure domain chose the only connected one of it, that one would
 * refuse relayed requests and its own callers, although others have room.
 *
 * | other instance                              | is chosen                                     |
 * | ------------------------------------------- | --------------------------------------------- |
 * | is itself cut off from the service          | never                                         |
 * | is silent, is leaving, or was already asked | never (not a candidate)                       |
 * | reports overload                            | last                                          |
 * | is in the same failure domain               | for as many requests as these have room for   |
 * | is in another failure domain                | for the rest                                  |
 *
 * Inputs: the candidates, each with its room, that is, the requests a second that it can take
 * besides those of its own callers; this instance's failure domain; the requests a second that all
 * cut-off instances of that domain relay; and a random number in [0, 1).
 *
 * Limits: room and demand are up to a few seconds old. Each instance makes a random choice, weighted
 * by room, so that instances that are cut off together do not all choose the same peer. An instance
 * never relays a relayed request, so two instances that each consider the other one connected cost a
 * request no more than one relay.
 */

/** Another instance, as far as the choice needs to know it. */
export interface RelayCandidate {
  readonly instance: string
  readonly failureDomain: string
  /** Whether the instance reports that it is cut off from the request's service. */
  readonly isCutOff: boolean
  readonly isOverloaded: boolean
  /** Requests per second that the instance can take besides those of its own callers; positive. */
  readonly room: number
}

/** Where relayed requests come from. */
export interface RelayOrigin {
  readonly failureDomain: string
  /** Requests per second that the cut-off instances of this failure domain relay. */
  readonly demand: number
}

/** Share of its capacity that an instance takes at least, since its own load is known late. */
const MINIMUM_ROOM_SHARE = 0.05

/** Returns the room of an instance; both inputs are in requests per second. */
export function relayRoom(capacity: number, requestsPerSecond: number): number {
  return Math.max(MINIMUM_ROOM_SHARE * capacity, capacity - requestsPerSecond)
}

/**
 * Returns the instance to relay to; undefined where all candidates are cut off. `randomFraction` is
 * a random number in [0, 1).
 */
export function chooseRelayPeer<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  { failureDomain, demand }: RelayOrigin,
  randomFraction: number,
): Candidate | undefined {
  const connected = candidates.filter(candidate => !candidate.isCutOff)
  const ready = connected.filter(candidate => !candidate.isOverloaded)
  const usable = ready.length > 0 ? ready : connected
  const near = usable.filter(candidate => candidate.failureDomain === failureDomain)
  const far = usable.filter(candidate => candidate.failureDomain !== failureDomain)
  const nearShare = shareOf(near, far, demand)
  return randomFraction < nearShare
    ? weightedChoice(near, randomFraction / nearShare)
    : weightedChoice(far, (randomFraction - nearShare) / (1 - nearShare))
}

/** Returns the share of the requests that the near instances take, in [0, 1]. */
function shareOf(
  near: readonly RelayCandidate[],
  far: readonly RelayCandidate[],
  demand: number,
): number {
  if (near.length === 0) return 0
  if (far.length === 0) return 1
  return Math.min(1, roomOf(near) / demand)
}

/** Returns one of the candidates, each with a probability in proportion to its room. */
function weightedChoice<Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  fraction: number,
): Candidate | undefined {
  let rest = fraction * roomOf(candidates)
  for (const candidate of candidates) {
    if (rest < candidate.room) return candidate
    rest -= candidate.room
  }
  return candidates.at(-1)
}

function roomOf(candidates: readonly RelayCandidate[]): number {
  return candidates.reduce((sum, { room }) => sum + room, 0)
}
