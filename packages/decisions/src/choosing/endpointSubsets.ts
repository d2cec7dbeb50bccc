/**
 * Decides which endpoints belong to an instance's subset. The instance prefers them among equals,
 * and learns at once what other instances with the endpoint in their subset send to it.
 *
 * Load pattern: dozens of instances choose among a hundred endpoints at the same time. What each of
 * them has sent reaches all others only some hundred milliseconds later, since each report goes to
 * all of them. Meanwhile they all send to the endpoint that was best, and prompts queue there while
 * other endpoints are free.
 *
 * So each endpoint belongs to the subsets of a few of the instances that use it, selected by hash,
 * and these instances report to each other at once.
 *
 * Inputs: the ids of instance and endpoint, and the number of instances that use endpoints.
 *
 * Limits: the subset is a preference, not a bound. A large cached part of a long prompt outweighs
 * it, and so does an endpoint of the subset that is fuller than the rest by more than
 * `OUTSIDE_SUBSET_COST`. Where no more instances use endpoints than `INSTANCES_PER_ENDPOINT`, all
 * endpoints belong to every subset and the rule has no effect.
 */

import { createHash } from 'node:crypto'
import type { TokenCount } from '@rackwalk/shared'

/**
 * Cost of sending to an endpoint outside the subset, in prompt tokens: what others may have sent
 * there in the meantime.
 */
export const OUTSIDE_SUBSET_COST: TokenCount = 6_000
/**
 * Instances with an endpoint in their subset. Each endpoint of a subset costs an instance about as
 * many datagrams a second as the endpoint takes prompts.
 */
const INSTANCES_PER_ENDPOINT = 8
/** Largest number of pairs whose hashes are kept: more than a large fleet has in use. */
const CACHED_PAIRS = 20_000

/** Assigns endpoints to the subsets of instances; each pair is hashed once. */
export class EndpointSubsets {
  /** Hash in [0, 1), by instance and endpoint. */
  private readonly positions = new Map<string, number>()

  /** Whether an endpoint that `users` instances use belongs to the subset of this instance. */
  isInSubset(instance: string, endpoint: string, users: number): boolean {
    if (users <= INSTANCES_PER_ENDPOINT) return true
    return this.positionOf(`${instance}\0${endpoint}`) < INSTANCES_PER_ENDPOINT / users
  }

  private positionOf(pair: string): number {
    const known = this.positions.get(pair)
    if (known !== undefined) return known
    if (this.positions.size >= CACHED_PAIRS) this.positions.clear()
    const position = createHash('sha1').update(pair).digest().readUInt32BE() / 2 ** 32
    this.positions.set(pair, position)
    return position
  }
}
