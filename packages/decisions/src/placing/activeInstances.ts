/**
 * Which instances take callers?
 *
 * Each instance that takes callers holds part of every budget and knows at once only of its own
 * requests, so a fleet uses no more of them than its load needs; the others stand by. Inputs are
 * what members tell of themselves (rows up to a second old, three on standby): where they run, what
 * load they can take and what they take at present. All instances choose for themselves. Two that
 * choose differently do no harm: a standby instance serves whoever comes. Ways weighed and figures:
 * docs/design/platform-deployment.md#active-instances.
 */

import { groupBy } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { RendezvousWeights } from '../choosing/rendezvous.js'

/** What the choice needs to know of an instance. */
export interface ActiveCandidate {
  readonly instance: string
  readonly region: string
  readonly failureDomain: string
  /** Requests a second that it can take, by its settings. */
  readonly capacity: number
  /** Requests a second that it takes at present. */
  readonly requestsPerSecond: number
}

/** How many instances there have to be; from the settings. */
export interface ActiveBounds {
  /** Active instances that each failure domain has at least. */
  readonly minimumInDomain: number
  /** Active instances together can take this many times the present load. */
  readonly headroom: number
}

/** In this time the highest load seen fades to half. */
const LOAD_HALF_LIFE_MILLISECONDS = 15_000
/** Names of instances say nothing, so equals are ordered by a hash under this key. */
const ORDER_KEY = 'active'

/** Remembers the load, so that the choice follows a rise at once and a fall slowly. */
export class ActiveInstances {
  private readonly loads = new Map<string, { load: number; at: Milliseconds }>()
  private readonly order = new RendezvousWeights(ORDER_KEY)

  constructor(private readonly bounds: ActiveBounds) {}

  /** Of the candidates those that should take callers, region by region; `now` is monotonic. */
  choose<Candidate extends ActiveCandidate>(
    candidates: readonly Candidate[],
    now: Milliseconds,
  ): readonly Candidate[] {
    const regions = groupBy(candidates, candidate => candidate.region)
    return [...regions].flatMap(([region, members]) => {
      const present = sumOf(members, member => member.requestsPerSecond)
      const load = this.notedLoad(region, present, now)
      return chooseActive(members, load, this.bounds, this.order)
    })
  }

  private notedLoad(region: string, present: number, now: Milliseconds): number {
    const known = this.loads.get(region) ?? { load: 0, at: now }
    const faded = known.load * 0.5 ** ((now - known.at) / LOAD_HALF_LIFE_MILLISECONDS)
    const load = Math.max(present, faded)
    this.loads.set(region, { load, at: now })
    return load
  }
}

/**
 * The fewest instances that can take the load with headroom; `order` may be kept between choices: from each failure domain in turn its
 * best, so that domains get the same number where they have as many.
 */
export function chooseActive<Candidate extends ActiveCandidate>(
  candidates: readonly Candidate[],
  load: number,
  bounds: ActiveBounds,
  order = new RendezvousWeights(ORDER_KEY),
): readonly Candidate[] {
  const domains = [...groupBy(candidates, candidate => candidate.failureDomain)]
  const queues = domains
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, members]) => byCapacity(members, order))
  const chosen: Candidate[] = []
  const needed = load * bounds.headroom
  for (let round = 0; chosen.length < candidates.length; round += 1) {
    const isEnough = sumOf(chosen, candidate => candidate.capacity) >= needed
    if (round >= bounds.minimumInDomain && isEnough) break
    for (const queue of queues) chosen.push(...queue.slice(round, round + 1))
  }
  return chosen
}

/**
 * An instance that takes this many times what it can has callers that do not follow the directory. Others
 * of its capacity come first, since more callers would cost it the ones that it has.
 */
const OVERLOADED_FACTOR = 2

function isOverloaded({ requestsPerSecond, capacity }: ActiveCandidate): boolean {
  return requestsPerSecond > OVERLOADED_FACTOR * capacity
}

function byCapacity<Candidate extends ActiveCandidate>(
  members: readonly Candidate[],
  order: RendezvousWeights,
): readonly Candidate[] {
  return [...members].sort(
    (left, right) =>
      right.capacity - left.capacity ||
      Number(isOverloaded(left)) - Number(isOverloaded(right)) ||
      order.compare(left.instance, right.instance),
  )
}

function sumOf<Item>(items: readonly Item[], value: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0)
}
