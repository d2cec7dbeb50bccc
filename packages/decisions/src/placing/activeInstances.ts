/**
 * Decides which instances are active, that is, named to callers by the directory; the others are on
 * standby.
 *
 * Each active instance holds part of every budget and knows at once only of its own requests. With
 * more active instances than the load needs, budgets would be split into small holdings and each
 * instance would see less of the load. So a region uses no more active instances than its load and
 * the least number in each failure domain require.
 *
 * An instance that is cut off, that is, reaches no endpoint of some service, is not active while
 * another instance of its region reaches all services. Otherwise a cut of all active instances
 * would leave nobody to take their callers, although standby instances reach every endpoint. Its
 * requests still count as load, since others have to take them.
 *
 * Inputs: what instances publish in their rows, which are up to a second old, those of standby
 * instances up to three seconds: region, failure domain, the requests a second that the instance
 * can take and those that it takes at present; which instances report that they are cut off; and
 * the bounds from the settings. Each instance decides for itself. Two instances that decide
 * differently do no harm, since a standby instance serves every caller that sends it a request.
 * Alternatives and figures: docs/design/platform-deployment.md#active-instances.
 */

import { groupBy } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { RendezvousWeights } from '../choosing/rendezvous.js'

/** An instance, as far as the choice needs to know it. */
export interface ActiveCandidate {
  readonly instance: string
  readonly region: string
  readonly failureDomain: string
  /** Requests a second that the instance can take, from its settings. */
  readonly capacity: number
  /** Requests a second that the instance takes at present. */
  readonly requestsPerSecond: number
}

/** Bounds on the number of active instances; from the settings. */
export interface ActiveBounds {
  /** Least number of active instances in each failure domain. */
  readonly minimumInDomain: number
  /** Factor on the load: all active instances together can take at least so much. */
  readonly headroom: number
}

/** Half-life in milliseconds with which the highest load of a region decays. */
const LOAD_HALF_LIFE_MILLISECONDS = 15_000
/** Key of the hash that orders instances of equal capacity; their names imply no preference. */
const ORDER_HASH_KEY = 'active'

/**
 * Chooses the active instances, and remembers the highest load of each region, so that the choice
 * follows a rise of the load at once and a fall slowly.
 */
export class ActiveInstances {
  /** By region: the highest load in requests a second, and when it last decayed. */
  private readonly loads = new Map<string, { load: number; at: Milliseconds }>()
  /** By region: the order of the candidates as of the last choice. */
  private readonly queues = new Map<string, DomainQueues>()

  constructor(private readonly bounds: ActiveBounds) {}

  /**
   * Returns the candidates that are to be active, region by region; `now` is monotonic. `isCutOff`
   * returns whether a candidate reaches no endpoint of some service.
   */
  choose<Candidate extends ActiveCandidate>(
    candidates: readonly Candidate[],
    now: Milliseconds,
    isCutOff: (candidate: Candidate) => boolean = () => false,
  ): readonly Candidate[] {
    const regions = groupBy(candidates, candidate => candidate.region)
    return [...regions].flatMap(([region, members]) => {
      const present = sumOf(members, member => member.requestsPerSecond)
      const load = this.updatePeakLoad(region, present, now)
      const connected = members.filter(member => !isCutOff(member))
      const eligible = connected.length > 0 ? connected : members
      return chooseActive(eligible, load, this.bounds, this.queuesOf(region))
    })
  }

  private queuesOf(region: string): DomainQueues {
    const queues = this.queues.get(region) ?? new DomainQueues()
    this.queues.set(region, queues)
    return queues
  }

  private updatePeakLoad(region: string, present: number, now: Milliseconds): number {
    const previous = this.loads.get(region) ?? { load: 0, at: now }
    const decayed = previous.load * 0.5 ** ((now - previous.at) / LOAD_HALF_LIFE_MILLISECONDS)
    const load = Math.max(present, decayed)
    this.loads.set(region, { load, at: now })
    return load
  }
}

/**
 * Returns as many candidates of one region as can take the load with headroom. In each round the
 * next best candidate of every failure domain is added, so that all domains get the same number as
 * far as they have as many. The rounds end once the capacity suffices and each domain has its least
 * number, or when no candidate is left. `queues` caches the order and may be kept between calls.
 */
export function chooseActive<Candidate extends ActiveCandidate>(
  candidates: readonly Candidate[],
  load: number,
  bounds: ActiveBounds,
  queues = new DomainQueues(),
): readonly Candidate[] {
  const ordered = queues.order(candidates)
  const chosen: Candidate[] = []
  const needed = load * bounds.headroom
  for (let round = 0; chosen.length < candidates.length; round += 1) {
    const isEnough = sumOf(chosen, candidate => candidate.capacity) >= needed
    if (round >= bounds.minimumInDomain && isEnough) break
    for (const queue of ordered) {
      const candidate = candidates[queue[round] ?? -1]
      if (candidate !== undefined) chosen.push(candidate)
    }
  }
  return chosen
}

/**
 * An instance that takes more than this many times its capacity has callers that do not follow the
 * directory. Other instances of the same capacity are preferred: the instance could not serve
 * further callers without failing those it has.
 */
const OVERLOADED_FACTOR = 2

function isOverloaded({ requestsPerSecond, capacity }: ActiveCandidate): boolean {
  return requestsPerSecond > OVERLOADED_FACTOR * capacity
}

/** A candidate's place in the list of candidates, and what determines its place in the queue of its domain. */
interface RankedCandidate {
  readonly index: number
  readonly instance: string
  readonly failureDomain: string
  readonly capacity: number
  readonly isOverloaded: boolean
}

/**
 * Orders the candidates of one region by failure domain, and in each domain by preference. Owns the
 * last order, which is reused while nothing that determines it has changed: an instance chooses
 * several times a second, and sorting was a large part of the work of an idle instance.
 */
export class DomainQueues {
  private readonly hashes = new RendezvousWeights(ORDER_HASH_KEY)
  private ranked: readonly RankedCandidate[] = []
  /** For each domain, in the order of names: indices of its candidates in the last list, the best first. */
  private queues: readonly (readonly number[])[] = []

  /** Returns the indices of the candidates of each domain, the preferred ones first. */
  order(candidates: readonly ActiveCandidate[]): readonly (readonly number[])[] {
    if (!this.isCurrent(candidates)) this.sort(candidates)
    return this.queues
  }

  private isCurrent(candidates: readonly ActiveCandidate[]): boolean {
    return (
      candidates.length === this.ranked.length &&
      this.ranked.every((ranked, index) => isSameRank(ranked, candidates[index]))
    )
  }

  private sort(candidates: readonly ActiveCandidate[]): void {
    this.ranked = candidates.map((candidate, index) => ({
      index,
      instance: candidate.instance,
      failureDomain: candidate.failureDomain,
      capacity: candidate.capacity,
      isOverloaded: isOverloaded(candidate),
    }))
    this.queues = [...groupBy(this.ranked, ({ failureDomain }) => failureDomain)]
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([, members]) => byCapacity(members, this.hashes).map(({ index }) => index))
  }
}

function isSameRank(ranked: RankedCandidate, candidate: ActiveCandidate | undefined): boolean {
  return (
    ranked.instance === candidate?.instance &&
    ranked.failureDomain === candidate.failureDomain &&
    ranked.capacity === candidate.capacity &&
    ranked.isOverloaded === isOverloaded(candidate)
  )
}

/** Sorts by capacity, the largest first; then puts overloaded instances last; then by hash. */
function byCapacity(
  members: readonly RankedCandidate[],
  order: RendezvousWeights,
): readonly RankedCandidate[] {
  return [...members].sort(
    (left, right) =>
      right.capacity - left.capacity ||
      Number(left.isOverloaded) - Number(right.isOverloaded) ||
      order.compare(left.instance, right.instance),
  )
}

function sumOf<Item>(items: readonly Item[], value: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0)
}
