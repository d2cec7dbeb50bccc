/**
 * Selects the active instances that one directory answer names, so that each instance's expected
 * share of new connections over many answers is proportional to its capacity.
 *
 * Callers pick an address of their answer with equal chances. If every answer named all active
 * instances, a small one that replaces a large one would get as many callers as each large one:
 * 74 requests a second at an instance that can sustain 10. A list cannot carry weights, and callers
 * may drop repeated addresses, so the weights decide how often an answer names an instance.
 *
 * Inputs: the active instances with capacity and requests a second, which are up to a second old;
 * and one random number for each answer. Alternatives and figures:
 * docs/design/platform-deployment.md#addresses.
 */

/** An active instance, as far as a directory answer depends on it. */
export interface AddressCandidate {
  /** Requests a second that the instance can take, from its settings. */
  readonly capacity: number
  /** Requests a second that the instance takes at present. */
  readonly requestsPerSecond: number
}

interface Weighted<Candidate> {
  readonly candidate: Candidate
  readonly weight: number
}

/**
 * Returns the instances that one answer names, in the given order; `chance` is a random number in
 * [0, 1). All are named where their capacities are equal or a capacity is invalid.
 *
 * The parts of the weights up to a common level are covered by answers that name every instance
 * whose weight reaches a random threshold, which keeps most answers long. The parts above the level
 * are covered by answers that name the strongest instance and one other, since a threshold there
 * could leave the strongest alone. The shares are proportional to the weights unless one instance
 * has more than half of the total weight. That one gets half, since every answer has to name a
 * second instance for callers that cannot reach the first.
 */
export function callerAddresses<Candidate extends AddressCandidate>(
  active: readonly Candidate[],
  chance: number,
): readonly Candidate[] {
  if (active.length <= 2 || hasUniformCapacity(active)) return active
  const weighted = active
    .map(candidate => ({ candidate, weight: weightOf(candidate) }))
    .sort((left, right) => right.weight - left.weight)
  const level = layeredLevel(weighted.map(({ weight }) => weight))
  const named = new Set(namedByChance(weighted, level, chance))
  return active.filter(candidate => named.has(candidate))
}

/** Without usable capacities there is nothing to weigh by, so these count as uniform. */
function hasUniformCapacity(active: readonly AddressCandidate[]): boolean {
  const [first] = active
  const isValid = active.every(({ capacity }) => Number.isFinite(capacity) && capacity > 0)
  return !isValid || active.every(({ capacity }) => capacity === first?.capacity)
}

/**
 * Returns the capacity, reduced by the factor by which the instance is overloaded: callers that do
 * not use the directory already take the rest.
 */
function weightOf({ capacity, requestsPerSecond }: AddressCandidate): number {
  return requestsPerSecond > capacity ? capacity ** 2 / requestsPerSecond : capacity
}

/**
 * Returns the highest level above which the strongest instance exceeds by no more than all others
 * together, so that the excess can be spread over pairs; 0 where the strongest has half of the
 * total weight or more. `weights` are sorted, the largest first.
 */
function layeredLevel(weights: readonly number[]): number {
  const [strongest = 0, second = 0, ...weaker] = weights
  if (strongest === second) return second
  let others = second
  for (const [index, weight] of weaker.entries()) {
    others += weight
    const level = (others - strongest) / (index + 1)
    if (level >= (weaker[index + 1] ?? 0)) return level
  }
  return 0
}

function namedByChance<Candidate>(
  weighted: readonly Weighted<Candidate>[],
  level: number,
  chance: number,
): readonly Candidate[] {
  const layered = weighted.map(({ weight }) => Math.min(weight, level))
  const others = weighted.slice(1)
  const excesses = others.map(({ weight }) => Math.max(0, weight - level))
  // Each pair also carries as much of the strongest instance's excess.
  const position = chance * (sumOf(layered) + 2 * sumOf(excesses))
  const inPairs = (position - sumOf(layered)) / 2
  if (inPairs < 0) return namedInLayer(weighted, layered, position)
  const other = others[indexAt(excesses, inPairs)]
  return weighted.filter((item, index) => index === 0 || item === other).map(candidateOf)
}

/** Returns the instances whose weight reaches the threshold at a position within the layers. */
function namedInLayer<Candidate>(
  weighted: readonly Weighted<Candidate>[],
  layered: readonly number[],
  position: number,
): readonly Candidate[] {
  let rest = position
  for (let count = weighted.length; count > 2; count -= 1) {
    const layer = count * ((layered[count - 1] ?? 0) - (layered[count] ?? 0))
    if (rest < layer) return weighted.slice(0, count).map(candidateOf)
    rest -= layer
  }
  return weighted.slice(0, 2).map(candidateOf)
}

/** Returns the index of the interval that holds the position; the last one if none does. */
function indexAt(lengths: readonly number[], position: number): number {
  let rest = position
  const index = lengths.findIndex(length => (rest -= length) < 0)
  return index < 0 ? lengths.length - 1 : index
}

function candidateOf<Candidate>({ candidate }: Weighted<Candidate>): Candidate {
  return candidate
}

function sumOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
