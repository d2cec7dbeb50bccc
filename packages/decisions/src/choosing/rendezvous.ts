/** Choices that all instances make the same way without communication, by hashing. */

import { hash } from 'node:crypto'

/**
 * Orders candidates by rendezvous (highest random weight) hashing: every instance that knows the
 * same candidates picks the same one first, and a candidate that leaves moves only its own keys.
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

/** Largest number of weights that are cached: more than there are instances in a region. */
const CACHED_WEIGHTS = 2_000

/**
 * Caches the weights of candidates under one key, each hashed once: hashing all of them for each
 * comparison would be a large part of what an idle instance computes.
 */
export class RendezvousWeights {
  private readonly weights = new Map<string, string>()

  constructor(private readonly key: string) {}

  /** Compares as `rendezvousOrder` orders: negative where `left` comes first. */
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

/** Returns the candidate that the key belongs to; undefined where there are no candidates. */
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
 * Uses the one-shot `hash`, which is cheaper than a hash object; each choice weighs all candidates.
 */
function weightOf(key: string, candidate: string): string {
  return hash('sha1', `${key}\0${candidate}`, 'hex')
}

function compareWeights(left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
