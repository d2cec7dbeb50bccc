/**
 * Decides how much the prefill of a prompt at an endpoint interferes with the streams that run
 * there.
 *
 * Load pattern: long prompts among running streams. An engine reads a prompt in pieces, between the
 * tokens of all answers in progress. So a long prompt stretches the pauses of every concurrent
 * stream beyond what callers accept, although each first event is early.
 *
 * The interference is expressed in prompt tokens, as is the rest of the choice, and has two parts:
 * the streams that a new prompt would slow down, and the prompts lately read where a new stream
 * would run. Together they lead long prompts to endpoints with few streams and keep streams away
 * from those endpoints. How many endpoints read long prompts then follows from how much there is to
 * read.
 *
 * Inputs: running requests and prompt tokens of each endpoint, and the longest observed pauses
 * relative to what callers accept.
 *
 * Limits: interference counts only as far as streams beside long prompts are observed to pause for
 * longer than their callers accept; otherwise separating them only overloads some endpoints. Where
 * most endpoints have much to read, separation is no longer possible, and long prompts that gather
 * at few endpoints only wait for each other: interference then counts for less, down to nothing.
 */

import type { TokenCount } from '@rackwalk/shared'
import { trackQuantile } from './trackQuantile.js'

/** What is known of one endpoint, as far as prefill is concerned. */
export interface PrefillLoad {
  /** Requests in progress from all instances. */
  readonly running: number
  /** Prompt tokens of requests that have not had their first event. */
  readonly pendingTokens: TokenCount
  /** Tokens of the new prompt that the endpoint would have to read. */
  readonly uncachedTokens: TokenCount
  /** Tokens of long prompts sent there lately, decaying with time. */
  readonly recentTokens: TokenCount
  /**
   * Time that the endpoint takes for a token of an answer, relative to a usual endpoint; 1 or more.
   */
  readonly slowness: number
}

/** Tokens that a usual endpoint reads without stretching a pause too far. */
const HARMLESS_TOKENS: TokenCount = 5_000
/** Tokens beyond `HARMLESS_TOKENS` at which all streams are slowed too far. */
const INTERFERENCE_RANGE_TOKENS: TokenCount = 6_000
/**
 * Cost of one stream that is slowed too far: about what an ordinary streamed answer costs its team.
 */
const SLOWED_STREAM_COST: TokenCount = 1_000
/**
 * Cost of a recently read token for a long answer that is placed there. A much larger weight would
 * send all streams to one endpoint after the other.
 */
const EXPOSURE_WEIGHT = 2
/**
 * An answer of this length or more is exposed in full; it is the mean length of answers to short
 * questions.
 */
const LONG_ANSWER_TOKENS: TokenCount = 300
/** An endpoint with fewer pending tokens than this has little to read. */
const LOW_PREFILL_TOKENS: TokenCount = 3_000
/** Share of endpoints with little to read from which on interference counts in full. */
const FULL_ROOM_SHARE = 0.5

/**
 * Cost of each stream at an endpoint for the next one, in addition to its cost elsewhere, since
 * streams gather where nothing is read and lengthen each other's answers there.
 */
const CROWDING_COST: TokenCount = 180
/** A pause counts as one beside a long prompt where there were this many tokens to read. */
const LONG_PREFILL_TOKENS: TokenCount = 6_000
/**
 * Weights of a pause that is longer than the known value, and of one that is not: the known value
 * follows about the 90th percentile.
 */
const STRETCH_WEIGHTS = { above: 0.2, below: 0.02 }
/**
 * Longest pauses beside long prompts, relative to what callers accept: at `ACCEPTED_STRETCH` some
 * streams begin to be late by their pauses and interference begins to count; at `HARMFUL_STRETCH`
 * all such pauses are too long and it counts in full.
 */
const ACCEPTED_STRETCH = 0.8
const HARMFUL_STRETCH = 1

/** Whether a pause at an endpoint with `pendingTokens` shows what long prompts do to streams. */
export function isDuringLongPrefill(pendingTokens: TokenCount): boolean {
  return pendingTokens >= LONG_PREFILL_TOKENS
}

/**
 * Returns how far long prompts stretch pauses after one more observation: the longest pauses beside
 * them, relative to what callers accept.
 */
export function nextPauseStretch(known: number | undefined, observed: number): number {
  return trackQuantile(known, observed, STRETCH_WEIGHTS)
}

/** How much interference counts at present, each in [0, 1]. */
export interface InterferenceWeights {
  /** How far pauses beside long prompts are longer than callers accept. */
  readonly stretch: number
  /** How far there are endpoints left to separate long prompts from streams. */
  readonly room: number
}

/**
 * Returns the weights of interference among these endpoints. `stretch` is how far long prompts
 * stretch pauses; undefined until that was observed, in which case full interference is assumed.
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

/** Returns the cost of sending a request there whose answer has at most `answerTokens`. */
export function prefillInterference(
  endpoint: PrefillLoad,
  answerTokens: TokenCount,
  { stretch, room }: InterferenceWeights,
): TokenCount {
  const interference =
    interferenceWithOthers(endpoint) + interferenceFromOthers(endpoint, answerTokens)
  return stretch * (CROWDING_COST * endpoint.running + room * interference)
}

/** Returns the cost of a new prompt for the streams that run at an endpoint. */
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
 * Returns the expected cost of an endpoint's prefill for a new answer of at most `answerTokens`.
 */
function interferenceFromOthers(
  { recentTokens }: PrefillLoad,
  answerTokens: TokenCount,
): TokenCount {
  const exposure = Math.min(1, answerTokens / LONG_ANSWER_TOKENS)
  return EXPOSURE_WEIGHT * recentTokens * exposure
}

/**
 * Returns the share of the streams at an endpoint that are slowed too far while it reads this many
 * tokens.
 */
function slowedStreamShare(tokens: TokenCount, slowness: number): number {
  const beyond = tokens - HARMLESS_TOKENS / slowness
  return Math.min(1, Math.max(0, beyond / INTERFERENCE_RANGE_TOKENS))
}
