/**
 * The routing policies of the OpenAI-style kind, which choose one of the usable endpoints for a
 * request. There is one class for each policy name in the resource schema. All randomness comes
 * from the random source passed to a policy, so that tests can reproduce a choice.
 */

import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { RoutingPolicyName } from '../resources/kinds.js'
import type { EndpointView, RoutedDemand, RoutingChoice, ScoredEndpoint } from './endpointView.js'

/** Chooses one of the usable endpoints. */
export interface RoutingPolicy {
  readonly name: RoutingPolicyName
  /** Returns the chosen endpoint; undefined only if there are no candidates. */
  choose(
    candidates: readonly EndpointView[],
    demand: RoutedDemand,
    random: RandomSource,
  ): RoutingChoice | undefined
}

/** Chooses uniformly at random. */
class RandomPolicy implements RoutingPolicy {
  readonly name = 'random'

  choose(candidates: readonly EndpointView[], _demand: RoutedDemand, random: RandomSource) {
    return choiceOf(pick(candidates, random), [])
  }
}

/** Chooses the candidates in the order of their list, each request the next one. */
class RoundRobinPolicy implements RoutingPolicy {
  readonly name = 'round-robin'
  private position = 0

  choose(candidates: readonly EndpointView[]) {
    this.position += 1
    return choiceOf(candidates[this.position % Math.max(1, candidates.length)], [])
  }
}

/** Chooses the endpoint with the fewest requests in progress from this instance. */
export class LeastInFlightPolicy implements RoutingPolicy {
  readonly name = 'least-in-flight'

  choose(candidates: readonly EndpointView[], _demand: RoutedDemand, random: RandomSource) {
    return best(rotated(candidates, random), view => view.inFlight)
  }
}

/**
 * Chooses the one of two random endpoints that has fewer requests, estimated from its report and
 * the requests sent since the report (Mitzenmacher 2001).
 */
class TwoChoicesPolicy implements RoutingPolicy {
  readonly name = 'two-choices'

  choose(candidates: readonly EndpointView[], demand: RoutedDemand, random: RandomSource) {
    return best(sample(candidates, 2, random), view => estimatedRequests(view, demand))
  }
}

/**
 * Number of random endpoints scored besides those that probably have the prompt cached. With a
 * larger sample, all instances choose the same endpoint, because they compare the same stale
 * reports (docs/measurements.md).
 */
const SAMPLE_SIZE = 2
/** Number of endpoints scored in any case: those with the longest cached prefixes. */
const CACHED_CANDIDATES = 2
/**
 * Milliseconds that each running or waiting request adds to the time to first token, since an
 * engine processes its requests in batches.
 */
const BATCHING_MILLISECONDS = 2
/** Prompt tokens assumed for a waiting request of unknown size. */
const ASSUMED_PROMPT_TOKENS = 600

/**
 * Chooses the endpoint with the smallest expected time to first token. The estimate is the number
 * of queued prompt tokens plus the uncached tokens of this request, divided by the engine's prefill
 * rate, plus a fixed time for each request at the endpoint and for each request above its capacity.
 * Reports lag, so tokens that the engine has read since the report are subtracted, and the requests
 * that this instance sent since the report are added. Each other instance is assumed to have sent a
 * share of as many requests, which keeps all instances from choosing the same endpoint at once.
 * The number of scored endpoints does not grow with the number of candidates (compare Prequal, NSDI
 * 2024).
 */
class ExpectedFirstTokenPolicy implements RoutingPolicy {
  readonly name = 'expected-first-token'

  choose(candidates: readonly EndpointView[], demand: RoutedDemand, random: RandomSource) {
    const cached = candidates
      .filter(view => view.cachedTokens > 0)
      .sort((left, right) => right.cachedTokens - left.cachedTokens)
      .slice(0, CACHED_CANDIDATES)
    const considered = new Set([...sample(candidates, SAMPLE_SIZE, random), ...cached])
    return best([...considered], view => expectedFirstTokenMilliseconds(view, demand))
  }
}

/** Returns the expected time to first token at an endpoint, in milliseconds. */
export function expectedFirstTokenMilliseconds(
  view: EndpointView,
  demand: RoutedDemand,
): Milliseconds {
  const uncached = Math.max(0, demand.promptTokens - view.cachedTokens)
  const ahead = promptTokensAhead(view, demand)
  const prefill = ((ahead + uncached) * 1000) / view.prefillTokensPerSecond
  const running = estimatedRequests(view, demand)
  const overCapacity = Math.max(0, running - view.maximumInFlight)
  const overCapacityPenalty = overCapacity * OVER_CAPACITY_MILLISECONDS
  return prefill + running * BATCHING_MILLISECONDS + overCapacityPenalty
}

/** Milliseconds that each request above `maximumInFlight` adds to the wait for a slot. */
const OVER_CAPACITY_MILLISECONDS = 250

function promptTokensAhead(view: EndpointView, demand: RoutedDemand): number {
  const reported = view.report?.queuedPromptTokens ?? 0
  const waiting = (view.report?.waiting ?? 0) * ASSUMED_PROMPT_TOKENS
  const drained = (view.reportAgeMilliseconds * view.prefillTokensPerSecond) / 1000
  const sendingFactor = 1 + (demand.instances - 1) * ASSUMED_PEER_SHARE
  const sentSince = view.promptTokensSinceReport * sendingFactor
  return Math.max(0, Math.max(reported, waiting) + sentSince - drained)
}

/**
 * Requests that each other instance is assumed to have sent since the report, as a share of those
 * that this instance sent.
 */
const ASSUMED_PEER_SHARE = 0.15

/**
 * Returns the estimated number of requests that an endpoint has now. Without a report, every
 * instance is assumed to have as many requests there as this instance.
 */
export function estimatedRequests(view: EndpointView, demand: RoutedDemand): number {
  if (view.report === undefined) return view.inFlight * demand.instances
  const sendingFactor = 1 + (demand.instances - 1) * ASSUMED_PEER_SHARE
  const sentSince = view.sentSinceReport * sendingFactor
  return Math.max(view.inFlight, view.report.running + view.report.waiting + sentSince)
}

/**
 * Creates the policy with the given name. Policies are not shared, since a policy may have state,
 * such as the position of round-robin.
 */
export function createRoutingPolicy(name: RoutingPolicyName): RoutingPolicy {
  switch (name) {
    case 'random':
      return new RandomPolicy()
    case 'round-robin':
      return new RoundRobinPolicy()
    case 'least-in-flight':
      return new LeastInFlightPolicy()
    case 'two-choices':
      return new TwoChoicesPolicy()
    case 'expected-first-token':
      return new ExpectedFirstTokenPolicy()
  }
}

function choiceOf(view: EndpointView | undefined, compared: readonly ScoredEndpoint[]) {
  return view && { endpointId: view.endpointId, compared }
}

/** Returns the view with the smallest score; of equal scores, the first. */
function best(
  views: readonly EndpointView[],
  score: (view: EndpointView) => number,
): RoutingChoice | undefined {
  const compared = views.map(view => ({ endpointId: view.endpointId, score: score(view) }))
  const [first, ...others] = compared
  if (first === undefined) return undefined
  const chosen = others.reduce((best, other) => (other.score < best.score ? other : best), first)
  return { endpointId: chosen.endpointId, compared }
}

function pick(views: readonly EndpointView[], random: RandomSource): EndpointView | undefined {
  return views[randomBelow(random, views.length)]
}

/** Returns up to `size` distinct views. The cost depends only on `size`. */
function sample(
  views: readonly EndpointView[],
  size: number,
  random: RandomSource,
): readonly EndpointView[] {
  if (views.length <= size) return views
  const positions = new Set<number>()
  while (positions.size < size) positions.add(randomBelow(random, views.length))
  return [...positions].flatMap(position => views[position] ?? [])
}

/**
 * Returns the views rotated to a random first element, so that ties are not always broken in the
 * same order.
 */
function rotated(views: readonly EndpointView[], random: RandomSource): readonly EndpointView[] {
  const start = randomBelow(random, views.length)
  return [...views.slice(start), ...views.slice(0, start)]
}
