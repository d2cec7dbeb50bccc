/**
 * Rendezvous (highest random weight) hashing: all instances make the same choice for a key without
 * communication.
 */

import { hash } from 'node:crypto'

/**
 * Returns the candidates with the highest weight for the key first. Every instance that knows the
 * same candidates gets the same order, and a candidate that leaves moves only its own keys. The
 * order is for efficiency; two instances with different orders do no harm.
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

/** Largest number of weights that are cached: more than a region has instances. */
const CACHED_WEIGHTS = 2_000

/**
 * Compares candidates for one key and caches their weights: hashing the candidates for each
 * comparison would be a large part of the work of an idle instance.
 */
export class RendezvousWeights {
  private readonly weights = new Map<string, string>()

  constructor(private readonly key: string) {}

  /** Returns a negative number where `left` comes before `right` in `rendezvousOrder`. */
  compare(left: string, right: string): number {
    return compareWeights(this.weightOf(right), this.weightOf(left))
  }

  private weightOf(candidate: string): string {
    const known = this.weights.get(candidate)
    if (known !== undefined) return known
    if (this.weights.size >= CACHED_WEIGHTS) this.weights.clear()
    const weight = weightOf(this.key, candidate)
    this.weights.set(candidate, weight)
    return weight
  }
}

/** Returns the first candidate by `rendezvousOrder`; undefined where there are no candidates. */
export function rendezvousChoice<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined
  let highest = ''
  for (const candidate of candidates) {
    const weight = weightOf(key, candidate)
    if (best !== undefined && weight <= highest) continue
    best = candidate
    highest = weight
  }
  return best
}

/**
 * Returns the weight of a candidate for a key. Each choice hashes all candidates, so this uses the
 * one-shot `hash`, which is cheaper than a hash object.
 */
function weightOf(key: string, candidate: string): string {
  return hash('sha1', `${key}\0${candidate}`, 'hex')
}

function compareWeights(left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
