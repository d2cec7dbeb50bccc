/**
 * At which addresses should a caller connect? The choice of the OpenAI-style kind: a less busy instance
 * first, others in other failure domains after it. Pure, but for the random source it is given.
 */

import { randomBelow } from '@rackwalk/shared'
import type { RandomSource } from '@rackwalk/shared'
import type { MemberInfo } from '../peerMessages.js'

/** What a caller is told: where to connect, in order, and how long to keep it. */
export interface CallerAddresses {
  readonly addresses: readonly string[]
  readonly timeToLiveSeconds: number
}

/** Addresses in one answer: a first choice and others to turn to when it fails. */
const ADDRESSES_PER_ANSWER = 3
/** Upper bound of how long a caller may go on using an instance that is draining. */
const TIME_TO_LIVE_SECONDS = 15

/**
 * Chooses addresses for a caller. The first is the less busy of two at random, so that
 * callers that ask together do not all go to the same one; the others lie in other failure
 * domains where there are any. Draining instances are left out.
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
