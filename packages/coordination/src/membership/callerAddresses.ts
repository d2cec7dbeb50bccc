/**
 * Chooses the addresses at which a caller should connect, for the OpenAI-style kind: less busy
 * instances, in different failure domains where possible. Pure except for the given random source.
 */

import { randomBelow } from '@rackwalk/shared'
import type { RandomSource } from '@rackwalk/shared'
import type { MemberInfo } from '../peerMessages.js'

/** Answer to a caller: the addresses to connect to, in order, and how long to cache them. */
export interface CallerAddresses {
  readonly addresses: readonly string[]
  readonly timeToLiveSeconds: number
}

/** Maximum number of addresses in one answer: a first choice, and alternatives in case it fails. */
const ADDRESSES_PER_ANSWER = 3
/**
 * How long a caller may cache the addresses, and so keep using an instance that drains meanwhile.
 */
const TIME_TO_LIVE_SECONDS = 15

/**
 * Chooses addresses for a caller. Each is that of the less busy of two random candidates, so that
 * callers that ask at the same time do not all connect to the same instance. Candidates for the
 * second and third address are the instances in failure domains that are not represented yet, or
 * all remaining ones if there are none. Only serving instances are candidates.
 */
export function chooseAddresses(
  members: readonly MemberInfo[],
  random: RandomSource,
): CallerAddresses {
  const serving = members.filter(member => member.state === 'serving')
  const chosen: MemberInfo[] = []
  while (chosen.length < ADDRESSES_PER_ANSWER && chosen.length < serving.length) {
    const rest = serving.filter(member => !chosen.includes(member))
    chosen.push(chooseOne(preferOtherDomains(rest, chosen), random))
  }
  return {
    addresses: chosen.map(member => member.callerAddress),
    timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
  }
}

function preferOtherDomains(rest: readonly MemberInfo[], chosen: readonly MemberInfo[]) {
  const used = new Set(chosen.map(member => member.failureDomain))
  const elsewhere = rest.filter(member => !used.has(member.failureDomain))
  return elsewhere.length > 0 ? elsewhere : rest
}

function chooseOne(candidates: readonly MemberInfo[], random: RandomSource): MemberInfo {
  const first = candidates[randomBelow(random, candidates.length)]
  const second = candidates[randomBelow(random, candidates.length)]
  if (first === undefined || second === undefined) throw new RangeError('no candidates')
  return second.inFlight < first.inFlight ? second : first
}
