/**
 * Decides which endpoint gets a request of the gateway kind.
 *
 * Inputs: snapshots of the endpoints that may take the request: the requests in progress there from
 * this instance and, as last reported by datagrams, from the others; the load in the endpoint's
 * newest answer; and how much of this prompt the endpoint would have to read. Each endpoint gets a
 * score in prompt tokens, and the smallest score wins. The score is the number of prompt tokens
 * that the endpoint would read in the expected wait of the request, plus costs for the harm to
 * other streams, for failures and for endpoints outside this instance's subset, minus two small
 * bonuses. A choice by the number of requests alone would not show how much prompt has to be read
 * before the request's turn. Trials of the weights: docs/design/gateway-routing.md.
 *
 * The OpenAI-style kind has its own rule (router/routing/routingPolicy.ts): its engines publish
 * what they have cached and how much prompt is waiting, and operators select a policy in a
 * resource.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { OUTSIDE_SUBSET_COST } from './endpointSubsets.js'
import { interferenceWeights, prefillInterference } from './prefillInterference.js'
import type { InterferenceWeights } from './prefillInterference.js'
import { rendezvousChoice } from './rendezvous.js'

/** What an instance knows of one endpoint when it chooses the endpoint of a request. */
export interface EndpointSnapshot {
  readonly id: string
  readonly failureDomain: string
  /** Requests in progress from all instances, as far as this one knows. */
  readonly running: number
  /** Requests that the endpoint works on at once; further requests wait at the endpoint. */
  readonly slots: number
  /** Prompt tokens of requests, from all instances, that have not had their first event. */
  readonly pendingTokens: TokenCount
  /** Tokens of this request's prompt that the endpoint has probably not cached. */
  readonly uncachedTokens: TokenCount
  /**
   * Tokens of long prompts that all instances have sent to the endpoint lately, decaying with time.
   */
  readonly recentTokens: TokenCount
  /**
   * Time that the endpoint takes for an event of an answer, relative to a usual endpoint of its
   * service (`slowness.ts`); 1 or more.
   */
  readonly slowness: number
  /**
   * Time that work currently takes at the endpoint by its own reports, relative to normal
   * (`slowness.ts`); 1 or more, and 1 where the endpoint reports none.
   */
  readonly reportedSlowness: number
  /** The load in the endpoint's newest answer; undefined where the endpoint never reported any. */
  readonly reported: ReportedLoad | undefined
  /** Share of recent requests that failed at the endpoint, in [0, 1]. */
  readonly failureShare: number
  /**
   * Whether the endpoint is in this instance's subset, so that this instance learns at once what
   * others send to the endpoint.
   */
  readonly isInSubset: boolean
}

/** Load as an endpoint reported it with an answer. */
interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly ageMilliseconds: Milliseconds
}

/** Inputs of the choice. */
export interface ChoiceInputs {
  /** Endpoints with room to which this request was not sent yet. */
  readonly open: readonly EndpointSnapshot[]
  /** Ids of all endpoints of the service, over which shared prompts are spread. */
  readonly serviceIds: readonly string[]
  /**
   * The longest part of the prompt that other requests share; undefined where no part is shared.
   */
  readonly sharedPartId: string | undefined
  /** The most tokens that the answer may have; 0 where the request declares no tokens. */
  readonly answerTokens: TokenCount
  /**
   * How far long prompts stretch the pauses between events of concurrent streams: the longer
   * pauses, relative to what callers accept; undefined until such pauses were observed.
   */
  readonly pauseStretch: number | undefined
  /** Failure domain of this instance. */
  readonly failureDomain: string
  /**
   * A random number in [0, 1) that breaks ties, so that instances with equal knowledge do not all
   * choose the same endpoint.
   */
  readonly chance: number
}

/** An endpoint and its score in prompt tokens; smaller is better. */
export interface EndpointScore {
  readonly id: string
  readonly score: number
}

/** Cost of each request in progress, which delays the next one; in prompt tokens, as all costs. */
const RUNNING_COST: TokenCount = 60
/**
 * Weight of a token that is read for this request. The weight is above 1 because reading the token
 * delays the request and all requests in progress at the endpoint.
 */
const PREFILL_WEIGHT = 2
/**
 * Exponent of the slowness where interference counts in full; the exponent is 1 where interference
 * does not count. A slow endpoint reads for longer and stretches each pause of concurrent streams,
 * so even short prompts do harm at a slow endpoint.
 */
const SLOWNESS_EXPONENT = 4
/**
 * Most tokens that the slowness which an endpoint reports delays. The speed changes again while a
 * long prompt is read, and without the bound long prompts gather at the endpoints that were fast
 * last, where they delay short ones.
 */
const SLOW_PHASE_TOKENS: TokenCount = 800
/**
 * Bonus that makes instances send a shared prompt to the same endpoint without communicating. The
 * bonus is small, since too much affinity overloads an endpoint, which costs far more than reading
 * a shared part again.
 */
const AFFINITY_BONUS: TokenCount = 200
/**
 * Bonus of an endpoint in this instance's failure domain, since traffic between failure domains has
 * a price.
 */
const SAME_DOMAIN_BONUS: TokenCount = 60
/** Cost of an endpoint where all recent requests failed; falls with the square of their share. */
const FAILURE_COST: TokenCount = 12_000
/** An endpoint where this share of requests or more fails is left out while others fail less. */
const EJECTED_FAILURE_SHARE = 0.6
/**
 * Cost of each request, this one included, that exceeds the endpoint's slots: what an endpoint
 * reads until one of its slots becomes free.
 */
const SLOT_WAIT_COST: TokenCount = 6_000
/** Time in milliseconds for which a reported load counts; loads change within a few events. */
const REPORT_TTL_MILLISECONDS = 400
/** Cost of each request that the endpoint reports as waiting. */
const WAITING_COST: TokenCount = 400

/**
 * Returns the scores of the endpoints that may take the request, best first; empty where no
 * endpoint may take it.
 */
export function rankEndpoints(inputs: ChoiceInputs): readonly EndpointScore[] {
  const candidates = withoutEjected(inputs.open)
  const weights = interferenceWeights(candidates, inputs.pauseStretch)
  const context = { ...inputs, affinityEndpoint: affinityEndpointOf(inputs), weights }
  return rotated(candidates, inputs.chance)
    .map(endpoint => ({ id: endpoint.id, score: scoreOf(endpoint, context) }))
    .sort((left, right) => left.score - right.score)
}

/** Leaves out endpoints where requests fail often, unless that leaves none. */
function withoutEjected(open: readonly EndpointSnapshot[]): readonly EndpointSnapshot[] {
  const healthy = open.filter(endpoint => endpoint.failureShare < EJECTED_FAILURE_SHARE)
  return healthy.length > 0 ? healthy : open
}

/**
 * Rotates the items by a random number: `rankEndpoints` sorts them afterwards, and the sort is
 * stable, so the order of the items decides between equal scores.
 */
function rotated<Item>(items: readonly Item[], randomFraction: number): readonly Item[] {
  const offset = Math.floor(randomFraction * Math.max(1, items.length))
  return [...items.slice(offset), ...items.slice(0, offset)]
}

/** Inputs that are the same for all scored endpoints. */
interface ScoreContext extends ChoiceInputs {
  /** Endpoint to which all instances send the prompt's shared part. */
  readonly affinityEndpoint: string | undefined
  readonly weights: InterferenceWeights
}

function scoreOf(endpoint: EndpointSnapshot, context: ScoreContext): number {
  const reported = recentReport(endpoint)
  const running = Math.max(endpoint.running, reported?.running ?? 0)
  const waiting = reported?.waiting ?? 0
  const harm = prefillInterference({ ...endpoint, running }, context.answerTokens, context.weights)
  const queued = Math.max(0, running + 1 - endpoint.slots)
  const load = RUNNING_COST * running + WAITING_COST * waiting + SLOT_WAIT_COST * queued
  const failing = FAILURE_COST * endpoint.failureShare ** 2
  const affinity = endpoint.id === context.affinityEndpoint ? AFFINITY_BONUS : 0
  const near = endpoint.failureDomain === context.failureDomain ? SAME_DOMAIN_BONUS : 0
  const outside = endpoint.isInSubset ? 0 : OUTSIDE_SUBSET_COST
  return prefillCost(endpoint, context.weights) + load + harm + failing + outside - affinity - near
}

/** Returns the cost of the prompts that are read before the answer begins, this one included. */
function prefillCost(
  endpoint: EndpointSnapshot,
  { stretch, room }: InterferenceWeights,
): TokenCount {
  const tokens = endpoint.pendingTokens + PREFILL_WEIGHT * endpoint.uncachedTokens
  const exponent = 1 + stretch * room * (SLOWNESS_EXPONENT - 1)
  return tokens * endpoint.slowness ** exponent + reportedDelay(endpoint)
}

/** Returns the cost of reading at an endpoint that reports to be slower than its answers show. */
function reportedDelay(endpoint: EndpointSnapshot): TokenCount {
  const tokens = Math.min(SLOW_PHASE_TOKENS, endpoint.pendingTokens + endpoint.uncachedTokens)
  return tokens * Math.max(0, endpoint.reportedSlowness - endpoint.slowness)
}

function recentReport({ reported }: EndpointSnapshot): ReportedLoad | undefined {
  if (reported === undefined) return undefined
  return reported.ageMilliseconds < REPORT_TTL_MILLISECONDS ? reported : undefined
}

/** Returns the endpoint to which all instances send the prompt's shared part, by highest hash. */
function affinityEndpointOf({ sharedPartId, serviceIds }: ChoiceInputs): string | undefined {
  return sharedPartId === undefined ? undefined : rendezvousChoice(sharedPartId, serviceIds)
}
