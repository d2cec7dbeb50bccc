/**
 * At which endpoints is an instance at home? It chooses them before equals, and hears at once what the
 * others that are at home there send to them.
 *
 * Load pattern: dozens of instances choose among a hundred endpoints at once. What each has sent
 * reaches all the others only some hundred milliseconds later, since each report goes to all of them; meanwhile
 * they all send to the endpoint that was best, and prompts wait for each other there while others
 * are free.
 *
 * So each endpoint is home to a few of the instances that use it, picked by hash, and these tell each
 * other at once.
 *
 * Limits: home is a preference, not a bound. An endpoint that has most of a long prompt cached, or a
 * home that is fuller than the rest by more than the cost, counts for more. Where no more instances use
 * endpoints than each endpoint has homes, all are at home everywhere and nothing changes.
 */

import { createHash } from 'node:crypto'
import type { TokenCount } from '@rackwalk/shared'

/** What it costs to send where others send unheard, in prompt tokens: what they may have sent meanwhile. */
export const OUTSIDE_SUBSET_COST: TokenCount = 6_000
/**
 * Instances that are at home at an endpoint. Each home costs an instance about as many datagrams a second as it takes
 * prompts.
 */
const INSTANCES_PER_ENDPOINT = 8
/** Pairs that a memory keeps at the most: more than a large fleet has in use. */
const REMEMBERED_PAIRS = 20_000

/** Knows which instance is at home where; each pair is hashed once. */
export class EndpointSubsets {
  /** In [0, 1), by instance and endpoint. */
  private readonly positions = new Map<string, number>()

  /** Whether an instance is at home at an endpoint that so many instances use. */
  isInSubset(instance: string, endpoint: string, users: number): boolean {
    if (users <= INSTANCES_PER_ENDPOINT) return true
    return this.positionOf(`${instance}\0${endpoint}`) < INSTANCES_PER_ENDPOINT / users
  }

  private positionOf(pair: string): number {
    const known = this.positions.get(pair)
    if (known !== undefined) return known
    if (this.positions.size >= REMEMBERED_PAIRS) this.positions.clear()
    const position = createHash('sha1').update(pair).digest().readUInt32BE() / 2 ** 32
    this.positions.set(pair, position)
    return position
  }
}
