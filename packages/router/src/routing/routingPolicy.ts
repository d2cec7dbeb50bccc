/**
 * Which of the usable endpoints gets the request? The policies of the OpenAI-style kind, one class for
 * each name that a resource may give; pure but for the chance that they are given.
 */

import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { RoutingPolicyName } from '../resources/kinds.js'
import type { EndpointView, RoutedDemand, RoutingChoice, ScoredEndpoint } from './endpointView.js'

/** Chooses one of several usable endpoints; a function of what it is given and of chance. */
export interface RoutingPolicy {
  readonly name: RoutingPolicyName
  /** Undefined only when there is no candidate. */
  choose(
    candidates: readonly EndpointView[],
    demand: RoutedDemand,
    random: RandomSource,
  ): RoutingChoice | undefined
}

/** Any endpoint with equal chance. */
class RandomPolicy implements RoutingPolicy {
  readonly name = 'random'

  choose(candidates: readonly EndpointView[], _demand: RoutedDemand, random: RandomSource) {
    return choiceOf(pick(candidates, random), [])
  }
}

/** One after the other. */
class RoundRobinPolicy implements RoutingPolicy {
  readonly name = 'round-robin'
  private position = 0

  choose(candidates: readonly EndpointView[]) {
    this.position += 1
    return choiceOf(candidates[this.position % Math.max(1, candidates.length)], [])
  }
}

/** The endpoint with the fewest requests of this instance. */
export class LeastInFlightPolicy implements RoutingPolicy {
  readonly name = 'least-in-flight'

  choose(candidates: readonly EndpointView[], _demand: RoutedDemand, random: RandomSource) {
    return best(rotated(candidates, random), view => view.inFlight)
  }
}

/** The less busy of two at random, by the report and own requests since (Mitzenmacher 2001). */
class TwoChoicesPolicy implements RoutingPolicy {
  readonly name = 'two-choices'

  choose(candidates: readonly EndpointView[], demand: RoutedDemand, random: RandomSource) {
    return best(sample(candidates, 2, random), view => estimatedRequests(view, demand))
  }
}

/**
 * Endpoints looked at beside those that probably have the prompt cached. With more, all
 * instances find the same best one in the same stale reports (docs/measurements.md).
 */
const SAMPLE_SIZE = 2
/** Endpoints with the longest cached prefix that are always looked at. */
const CACHED_CANDIDATES = 2
/** Time that one more running request adds to a first token, from batching. */
const BATCHING_MILLISECONDS = 2
/** Prompt tokens assumed for a waiting request of which nothing more is known. */
const ASSUMED_PROMPT_TOKENS = 600

/**
 * The endpoint with the smallest expected time to the first token: prompt tokens ahead in
 * the queue and of this request, less what is cached, over the rate at which the engine
 * takes them in. Reports lag, so what this instance sent since the last one is added; the
 * others are assumed to have sent alike, which keeps all instances from turning to the same
 * endpoint at once. Cost does not grow with the number of endpoints (compare Prequal, NSDI
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

/** Expected time to the first token at an endpoint, in milliseconds. */
export function expectedFirstTokenMilliseconds(
  view: EndpointView,
  demand: RoutedDemand,
): Milliseconds {
  const uncached = Math.max(0, demand.promptTokens - view.cachedTokens)
  const ahead = promptTokensAhead(view, demand)
  const prefill = ((ahead + uncached) * 1000) / view.prefillTokensPerSecond
  const running = estimatedRequests(view, demand)
  const overCapacity = Math.max(0, running - view.maximumInFlight)
  const isFullPenalty = overCapacity * OVER_CAPACITY_MILLISECONDS
  return prefill + running * BATCHING_MILLISECONDS + isFullPenalty
}

/** Wait for a place that each request over an engine's capacity adds. */
const OVER_CAPACITY_MILLISECONDS = 250

function promptTokensAhead(view: EndpointView, demand: RoutedDemand): number {
  const reported = view.report?.queuedPromptTokens ?? 0
  const waiting = (view.report?.waiting ?? 0) * ASSUMED_PROMPT_TOKENS
  const drained = (view.reportAgeMilliseconds * view.prefillTokensPerSecond) / 1000
  const others = 1 + (demand.instances - 1) * ASSUMED_PEER_SHARE
  const sentSince = view.promptTokensSinceReport * others
  return Math.max(0, Math.max(reported, waiting) + sentSince - drained)
}

/** Share of this instance's own sending that each other instance is assumed to repeat. */
const ASSUMED_PEER_SHARE = 0.15

/** Requests that an endpoint probably has now. */
export function estimatedRequests(view: EndpointView, demand: RoutedDemand): number {
  if (view.report === undefined) return view.inFlight * demand.instances
  const others = 1 + (demand.instances - 1) * ASSUMED_PEER_SHARE
  const sentSince = view.sentSinceReport * others
  return Math.max(view.inFlight, view.report.running + view.report.waiting + sentSince)
}

/** One policy of each name; a policy may keep a position, so each router has its own. */
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

/** The view with the smallest score; the first one among equals. */
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

/** Up to `size` distinct views; the cost depends on `size` alone. */
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

/** The views from a random one on, so that equals are not always met in the same order. */
function rotated(views: readonly EndpointView[], random: RandomSource): readonly EndpointView[] {
  const start = randomBelow(random, views.length)
  return [...views.slice(start), ...views.slice(0, start)]
}
