/**
 * Decides which endpoints belong to an instance's subset. The choice of an endpoint adds a cost to
 * those outside the subset, and an instance learns at once what other instances with the endpoint
 * in their subset send to the endpoint.
 *
 * Load pattern: dozens of instances choose among a hundred endpoints at the same time. What each of
 * them has sent is known to all others only some hundred milliseconds later, since each report goes
 * to all of them. Meanwhile they all send to the endpoint that was best, and prompts queue there
 * while other endpoints are free.
 *
 * So each endpoint belongs to the subsets of a few of the instances that use endpoints, selected by
 * hash, and these instances report to each other at once what they send there.
 *
 * Inputs: the ids of instance and endpoint, and the number of instances that use endpoints.
 *
 * Limits: the subset is a preference, not a bound. A large cached part of a long prompt outweighs
 * it, and so does a load at the endpoints of the subset that exceeds the load elsewhere by more
 * than `OUTSIDE_SUBSET_COST`. Where no more instances use endpoints than `INSTANCES_PER_ENDPOINT`,
 * all endpoints belong to every subset and the rule has no effect.
 */

import { createHash } from 'node:crypto'
import type { TokenCount } from '@rackwalk/shared'

/**
 * Cost of sending to an endpoint outside the subset, in prompt tokens: what other instances may
 * have sent there since their last reports.
 */
export const OUTSIDE_SUBSET_COST: TokenCount = 6_000
/**
 * Mean number of instances with a given endpoint in their subsets. Each endpoint of its subset
 * costs an instance about as many datagrams a second as the endpoint takes prompts.
 */
const INSTANCES_PER_ENDPOINT = 8
/** Largest number of pairs whose hashes are cached: more than a large fleet has in use. */
const CACHED_PAIRS = 20_000

/** Assigns endpoints to the subsets of instances; each pair is hashed once. */
export class EndpointSubsets {
  /** Hash in [0, 1), by pair of instance and endpoint. */
  private readonly hashes = new Map<string, number>()

  /** Whether the endpoint is in the instance's subset, where `users` instances use endpoints. */
  isInSubset(instance: string, endpoint: string, users: number): boolean {
    if (users <= INSTANCES_PER_ENDPOINT) return true
    return this.hashOf(`${instance}\0${endpoint}`) < INSTANCES_PER_ENDPOINT / users
  }

  private hashOf(pair: string): number {
    const known = this.hashes.get(pair)
    if (known !== undefined) return known
    if (this.hashes.size >= CACHED_PAIRS) this.hashes.clear()
    const hash = createHash('sha1').update(pair).digest().readUInt32BE() / 2 ** 32
    this.hashes.set(pair, hash)
    return hash
  }
}
