/**
 * At which endpoints is an instance at home? It chooses them before equals, and hears at once what the
 * others that are at home there send to them.
 *
 * Load pattern: dozens of instances choose among a hundred endpoints at once. What each has sent
 * reaches all the others only some hundred milliseconds later, since each report goes to all of them; meanwhile
 * they all send to the endpoint that was best, and prompts wait for each other there while others
 * are free. Measured on replayed load (largeFleetLoad, reports each 230 ms): 0.24 of long prompts
 * and 0.11 of short ones late.
 *
 * So each endpoint is home to a few of the instances that use it, chosen by hash, and these tell each
 * other at once: 0.05 and 0.02 are late, and at 1.6 times the load 0.26 and 0.26 instead of 0.53 and 0.49.
 *
 * Limits: home is a preference, not a bound. An endpoint that has most of a long prompt cached, or a
 * home that is fuller than the rest by more than the cost, counts for more. Where no more instances use
 * endpoints than each endpoint has homes, all are at home everywhere and nothing changes.
 */

import { createHash } from 'node:crypto'
import type { TokenCount } from '@rackwalk/shared'

/**
 * What it costs to send where others send unheard, in prompt tokens: what they may have sent meanwhile.
 * Measured on replayed load (largeFleetLoad, reports each 230 ms, two seeds), long prompts late at the usual
 * load and at 1.6 times it: without homes 0.24 and 0.53 (one seed), 1,000 gave 0.14 and 0.44, 3,000 0.10 and 0.36,
 * 6,000 0.06 and 0.27.
 */
export const AWAY_COST: TokenCount = 6_000
/**
 * Instances that are at home at an endpoint. Measured as above with 3,000: five gave 0.10 and 0.42, eight 0.10
 * and 0.36; with 6,000: eight 0.06 and 0.27, twelve 0.06 and 0.26. Each home costs an instance that takes
 * sixteen prompts a second about twelve datagrams a second.
 */
const HOMES_AN_ENDPOINT = 8
/** Pairs that a memory keeps at the most: more than a large fleet has in use. */
const REMEMBERED_PAIRS = 20_000

/** Knows which instance is at home where; each pair is hashed once. */
export class HomeEndpoints {
  /** In [0, 1), by instance and endpoint. */
  private readonly positions = new Map<string, number>()

  /** Whether an instance is at home at an endpoint that so many instances use. */
  isHome(instance: string, endpoint: string, users: number): boolean {
    if (users <= HOMES_AN_ENDPOINT) return true
    return this.positionOf(`${instance}\0${endpoint}`) < HOMES_AN_ENDPOINT / users
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
