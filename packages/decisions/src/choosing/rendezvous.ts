/** Choices that instances make alike without a word between them, by hashing. */

import { createHash } from 'node:crypto'

/**
 * Rendezvous (highest random weight) hashing: every instance that knows the same
 * candidates picks the same one, and a candidate that leaves moves only its own keys.
 * The choice is for efficiency; two instances that choose differently do no harm.
 */
export function rendezvousOrder<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  return candidates
    .map(candidate => ({ candidate, weight: weightOf(key, candidate) }))
    .sort((left, right) => compareWeights(right.weight, left.weight))
    .map(({ candidate }) => candidate)
}

/** The candidate that the key belongs to, if there is any candidate. */
export function rendezvousChoice<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  return rendezvousOrder(key, candidates)[0]
}

function weightOf(key: string, candidate: string): string {
  return createHash('sha1').update(key).update('\0').update(candidate).digest('hex')
}

function compareWeights(left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
