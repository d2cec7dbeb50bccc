/**
 * Decides how much the prefill of a prompt (an endpoint reading it) interferes with the streams
 * that run at the endpoint.
 *
 * Load pattern: long prompts among running streams. An engine reads a prompt in pieces, between the
 * tokens of all answers in progress. So a long prompt stretches the pauses between events of every
 * concurrent stream beyond what callers accept, although each first event is early.
 *
 * The interference is expressed in prompt tokens, as are the other costs of the choice, and has two
 * parts: the streams that a new prompt would slow down, and the prompts lately read where a new
 * stream would run. Together they lead long prompts to endpoints with few streams and keep streams
 * away from those endpoints. How many endpoints read long prompts then follows from how much there
 * is to read. A cost for each running stream (`CROWDING_COST`) is added, so that streams do not
 * gather where nothing is read.
 *
 * Inputs: running requests and prompt tokens of each endpoint, the length of the new answer, and
 * the longer of the observed pauses relative to what callers accept.
 *
 * Limits: all of these costs count only as far as streams beside long prompts are observed to pause
 * for longer than their callers accept; otherwise separating them only overloads some endpoints.
 * Where most endpoints have much to read, separation is no longer possible, and long prompts that
 * gather at few endpoints only wait for each other: interference, but not the cost for each stream,
 * then counts for less, down to nothing.
 */

import type { TokenCount } from '@rackwalk/shared'
import { updateAsymmetricMean } from './asymmetricMean.js'

/** The load of one endpoint, as far as prefill is concerned. */
export interface PrefillLoad {
  /** Requests in progress from all instances. */
  readonly running: number
  /** Prompt tokens of requests that have not had their first event. */
  readonly pendingTokens: TokenCount
  /** Tokens of the new prompt that the endpoint would have to read. */
  readonly uncachedTokens: TokenCount
  /** Tokens of long prompts sent to the endpoint lately, decaying with time. */
  readonly recentTokens: TokenCount
  /**
   * Time that the endpoint takes for an event of an answer, relative to a usual endpoint of its
   * service (`slowness.ts`); 1 or more.
   */
  readonly slowness: number
}

/** Tokens that a usual endpoint reads without stretching a pause beyond what callers accept. */
const HARMLESS_TOKENS: TokenCount = 5_000
/**
 * Range of tokens beyond `HARMLESS_TOKENS` over which the share of slowed streams rises from none
 * to all.
 */
const INTERFERENCE_RANGE_TOKENS: TokenCount = 6_000
/**
 * Cost of one stream whose pauses become longer than its caller accepts: about what an ordinary
 * streamed answer costs its team.
 */
const SLOWED_STREAM_COST: TokenCount = 1_000
/**
 * Cost of a token of long prompts recently sent to an endpoint, for a long answer of that endpoint.
 * A much larger weight would send all streams to one endpoint after the other.
 */
const EXPOSURE_WEIGHT = 2
/**
 * Long prompts count in full for answers of this length or more, and in proportion for shorter
 * ones. The value is the mean length of answers to short questions.
 */
const LONG_ANSWER_TOKENS: TokenCount = 300
/** An endpoint with fewer pending tokens than this has little to read. */
const LOW_PREFILL_TOKENS: TokenCount = 3_000
/** From this share of endpoints with little to read on, interference counts in full. */
const FULL_ROOM_SHARE = 0.5

/**
 * Cost of each stream at an endpoint for the next one, in addition to the cost of a running request
 * in `endpointChoice.ts`, since streams gather at endpoints that read nothing and lengthen each
 * other's answers.
 */
const CROWDING_COST: TokenCount = 180
/** A pause counts as one beside a long prompt where the endpoint had this many tokens to read. */
const LONG_PREFILL_TOKENS: TokenCount = 6_000
/**
 * Weights of a pause that is longer than the estimate, and of one that is not: the estimate settles
 * among the longer pauses, in general below their 90th percentile.
 */
const STRETCH_WEIGHTS = { above: 0.2, below: 0.02 }
/**
 * Estimated pauses beside long prompts, relative to what callers accept, above which interference
 * begins to count: some streams begin to pause for too long.
 */
const ACCEPTED_STRETCH = 0.8
/** The same ratio from which on interference counts in full: all such pauses are too long. */
const HARMFUL_STRETCH = 1

/** Whether a pause at an endpoint with `pendingTokens` shows what long prompts do to streams. */
export function isDuringLongPrefill(pendingTokens: TokenCount): boolean {
  return pendingTokens >= LONG_PREFILL_TOKENS
}

/**
 * Returns the estimate of how far long prompts stretch pauses, after one more observation: the
 * longer pauses beside such prompts, relative to what callers accept.
 */
export function nextPauseStretch(known: number | undefined, observed: number): number {
  return updateAsymmetricMean(known, observed, STRETCH_WEIGHTS)
}

/** Factors on the costs of interference at present, each in [0, 1]. */
export interface InterferenceWeights {
  /** 0 while pauses beside long prompts are accepted by callers, 1 while all are too long. */
  readonly stretch: number
  /**
   * 1 while enough endpoints have little to read to separate streams from long prompts, down to 0.
   */
  readonly room: number
}

/**
 * Returns the weights of interference among these endpoints. `stretch` is the estimate of
 * `nextPauseStretch`. Until a pause was observed, `stretch` is undefined and taken as harmful.
 */
export function interferenceWeights(
  endpoints: readonly Pick<PrefillLoad, 'pendingTokens'>[],
  stretch: number | undefined,
): InterferenceWeights {
  const lowPrefill = endpoints.filter(
    ({ pendingTokens }) => pendingTokens < LOW_PREFILL_TOKENS,
  ).length
  const share = lowPrefill / Math.max(1, endpoints.length)
  const beyond = (stretch ?? HARMFUL_STRETCH) - ACCEPTED_STRETCH
  return {
    stretch: Math.min(1, Math.max(0, beyond / (HARMFUL_STRETCH - ACCEPTED_STRETCH))),
    room: Math.min(1, (share / FULL_ROOM_SHARE) ** 2),
  }
}

/**
 * Returns the cost of interference if a request whose answer has at most `answerTokens` is sent to
 * the endpoint.
 */
export function prefillInterference(
  endpoint: PrefillLoad,
  answerTokens: TokenCount,
  { stretch, room }: InterferenceWeights,
): TokenCount {
  const interference =
    interferenceWithOthers(endpoint) + interferenceFromOthers(endpoint, answerTokens)
  return stretch * (CROWDING_COST * endpoint.running + room * interference)
}

/** Returns the cost of a new prompt for the streams that already run at an endpoint. */
function interferenceWithOthers({
  pendingTokens,
  uncachedTokens,
  running,
  slowness,
}: PrefillLoad): TokenCount {
  const before = slowedStreamShare(pendingTokens, slowness)
  const after = slowedStreamShare(pendingTokens + uncachedTokens, slowness)
  return SLOWED_STREAM_COST * running * (after - before)
}

/**
 * Returns the cost of the long prompts lately sent to an endpoint for a new answer of the same
 * endpoint with at most `answerTokens`.
 */
function interferenceFromOthers(
  { recentTokens }: PrefillLoad,
  answerTokens: TokenCount,
): TokenCount {
  const exposure = Math.min(1, answerTokens / LONG_ANSWER_TOKENS)
  return EXPOSURE_WEIGHT * recentTokens * exposure
}

/**
 * Returns the share of the streams at an endpoint whose pauses become too long while the endpoint
 * reads this many tokens.
 */
function slowedStreamShare(tokens: TokenCount, slowness: number): number {
  const beyond = tokens - HARMLESS_TOKENS / slowness
  return Math.min(1, Math.max(0, beyond / INTERFERENCE_RANGE_TOKENS))
}
