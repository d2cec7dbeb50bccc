/**
 * Which endpoint gets a request of the gateway kind?
 *
 * Inputs are snapshots of the endpoints that may take the request: what is in progress there from
 * this instance and, as last told by datagrams, from the others; what
 * the endpoint itself said in its newest answer; and how much of this prompt it would have to read.
 * The score is the expected wait, expressed in prompt tokens that are read before the request's
 * turn; the smallest wins. Trials of the weights: docs/design/gateway-routing.md.
 *
 * The OpenAI-style kind has a rule of its own (router/routing/routingPolicy.ts): its engines publish
 * what they have cached and how much prompt waits, and operators choose among policies by resource.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { OUTSIDE_SUBSET_COST } from './endpointSubsets.js'
import { interferenceWeights, prefillInterference } from './prefillInterference.js'
import type { InterferenceWeights } from './prefillInterference.js'
import { rendezvousChoice } from './rendezvous.js'

/** What is known of one endpoint when a request looks for one. */
export interface EndpointSnapshot {
  readonly id: string
  readonly failureDomain: string
  /** Requests in progress from all instances, as far as this one knows. */
  readonly running: number
  /** Requests that it works on at once; the others wait there. */
  readonly slots: number
  /** Prompt tokens of requests from all instances that have not had their first event. */
  readonly pendingTokens: TokenCount
  /** Tokens of this request's prompt that the endpoint has probably not cached. */
  readonly uncachedTokens: TokenCount
  /** Tokens of long prompts that all instances have sent there lately, fading with time. */
  readonly recentTokens: TokenCount
  /** Time that it takes for a token of an answer, over that of a usual endpoint; 1 or more. */
  readonly slowness: number
  /** The load in the endpoint's newest answer; undefined where it never told one. */
  readonly reported: ReportedLoad | undefined
  /** Share of late requests that failed there, in [0, 1]. */
  readonly failureShare: number
  /** Whether this instance hears at once what others send there. */
  readonly isInSubset: boolean
}

/** Load as an endpoint told it with an answer. */
interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly ageMilliseconds: Milliseconds
}

/** What the choice rests on. */
export interface ChoiceInputs {
  /** Endpoints with room that this request was not sent to yet. */
  readonly open: readonly EndpointSnapshot[]
  /** Ids of all endpoints of the service, by which shared prompts are spread. */
  readonly serviceIds: readonly string[]
  /** The longest part of the prompt that other requests share; undefined where there is none. */
  readonly sharedPartId: string | undefined
  /** The most tokens that the answer may have; 0 where there is no model. */
  readonly answerTokens: TokenCount
  /**
   * How far long prompts stretch the pauses of streams beside them: the longest ones, over what
   * callers accept; undefined until that was observed.
   */
  readonly pauseStretch: number | undefined
  /** Where this instance runs. */
  readonly failureDomain: string
  /** In [0, 1); breaks ties, so that instances with equal knowledge do not all choose alike. */
  readonly chance: number
}

/** One endpoint and its expected wait, in prompt tokens; smaller is better. */
export interface EndpointScore {
  readonly id: string
  readonly score: number
}

/** What one request in progress costs the next one, in prompt tokens. */
const RUNNING_COST: TokenCount = 60
/** A token that is read delays this request and all that run beside it, so it counts more than once. */
const PREFILL_WEIGHT = 2
/** A slow endpoint reads longer and stretches each pause beside it, so even short prompts harm there. */
const SLOWNESS_EXPONENT = 4
/**
 * Takes a shared prompt to the same endpoint from instances that hear nothing of each other. Small, since too much affinity
 * crowds an endpoint, which costs far more than reading a shared part again.
 */
const AFFINITY_BONUS: TokenCount = 200
/** Bytes between failure domains have a price. */
const NEAR_BONUS: TokenCount = 60
/** Cost of an endpoint of which all late requests failed. */
const FAILURE_COST: TokenCount = 12_000
/** An endpoint that fails more than this share is passed over while another does not. */
const EJECTED_FAILURE_SHARE = 0.6
/**
 * What each request costs that would wait for a slot before this one: what an endpoint reads until one of its
 * slots comes free.
 */
const SLOT_WAIT_COST: TokenCount = 6_000
/** A load that an endpoint told counts for this long: loads change within a few events. */
const REPORT_MILLISECONDS = 400
/** What a request that waits at the endpoint costs, beyond a running one. */
const WAITING_COST: TokenCount = 400

/** Scores of the endpoints that may take the request, best first; empty where none may. */
export function rankEndpoints(inputs: ChoiceInputs): readonly EndpointScore[] {
  const candidates = withoutEjected(inputs.open)
  const weights = interferenceWeights(candidates, inputs.pauseStretch)
  const context = { ...inputs, affinityEndpoint: affinityEndpointOf(inputs), weights }
  return rotated(candidates, inputs.chance)
    .map(endpoint => ({ id: endpoint.id, score: scoreOf(endpoint, context) }))
    .sort((left, right) => left.score - right.score)
}

/** Endpoints that fail often are left out, unless all do. */
function withoutEjected(open: readonly EndpointSnapshot[]): readonly EndpointSnapshot[] {
  const sound = open.filter(endpoint => endpoint.failureShare < EJECTED_FAILURE_SHARE)
  return sound.length > 0 ? sound : open
}

/** The sort is stable, so the order before it decides between equal scores. */
function rotated<Item>(items: readonly Item[], chance: number): readonly Item[] {
  const offset = Math.floor(chance * Math.max(1, items.length))
  return [...items.slice(offset), ...items.slice(0, offset)]
}

/** What all endpoints are scored with. */
interface ScoreContext extends ChoiceInputs {
  readonly affinityEndpoint: string | undefined
  readonly weights: InterferenceWeights
}

function scoreOf(endpoint: EndpointSnapshot, context: ScoreContext): number {
  const reported = freshReport(endpoint)
  const running = Math.max(endpoint.running, reported?.running ?? 0)
  const waiting = reported?.waiting ?? 0
  const harm = prefillInterference({ ...endpoint, running }, context.answerTokens, context.weights)
  const queued = Math.max(0, running + 1 - endpoint.slots)
  const busy = RUNNING_COST * running + WAITING_COST * waiting + SLOT_WAIT_COST * queued
  const failing = FAILURE_COST * endpoint.failureShare ** 2
  const affinity = endpoint.id === context.affinityEndpoint ? AFFINITY_BONUS : 0
  const near = endpoint.failureDomain === context.failureDomain ? NEAR_BONUS : 0
  const away = endpoint.isInSubset ? 0 : OUTSIDE_SUBSET_COST
  return prefillCost(endpoint, context.weights) + busy + harm + failing + away - affinity - near
}

/** What is read before this request's turn, itself included. */
function prefillCost(
  endpoint: EndpointSnapshot,
  { stretch, room }: InterferenceWeights,
): TokenCount {
  const tokens = endpoint.pendingTokens + PREFILL_WEIGHT * endpoint.uncachedTokens
  const exponent = 1 + stretch * room * (SLOWNESS_EXPONENT - 1)
  return tokens * endpoint.slowness ** exponent
}

function freshReport({ reported }: EndpointSnapshot): ReportedLoad | undefined {
  if (reported === undefined) return undefined
  return reported.ageMilliseconds < REPORT_MILLISECONDS ? reported : undefined
}

/** The endpoint to which all instances send a shared part, by highest hash. */
function affinityEndpointOf({ sharedPartId, serviceIds }: ChoiceInputs): string | undefined {
  return sharedPartId === undefined ? undefined : rendezvousChoice(sharedPartId, serviceIds)
}
