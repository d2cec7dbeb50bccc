/**
 * How much does a prompt that is read at an endpoint harm the streams that run there?
 *
 * Load pattern: long prompts among running streams. An engine reads a prompt in pieces, between the
 * tokens of all answers in progress, so a long prompt stretches the pauses of every stream beside
 * it beyond what callers accept, although each first event is early. The harm is reckoned in prompt
 * tokens, as the rest of the choice is: to others, for the streams that a new prompt would slow
 * down; and from others, for what has lately been read where a new stream would run. Together they
 * bring long prompts to endpoints with few streams and keep streams off those, and how many
 * endpoints read follows from how much there is to read.
 *
 * Limits: harm counts only as far as streams beside long prompts are seen to pause for longer than
 * their callers accept; elsewhere keeping them apart only crowds endpoints. And where most
 * endpoints are reading, nothing can be kept apart any more, and long prompts that gather in few
 * places only wait for each other: there it counts for less, down to nothing.
 */

import type { TokenCount } from '@rackwalk/shared'
import { trackQuantile } from './trackQuantile.js'

/** What is known of one endpoint, as far as reading goes. */
export interface PrefillLoad {
  /** Requests in progress from all instances. */
  readonly running: number
  /** Prompt tokens of requests that have not had their first event. */
  readonly pendingTokens: TokenCount
  /** Tokens of the new prompt that it would have to read. */
  readonly uncachedTokens: TokenCount
  /** Tokens of long prompts sent there lately, fading with time. */
  readonly recentTokens: TokenCount
  /** Time that it takes for a token of an answer, over that of a usual endpoint; 1 or more. */
  readonly slowness: number
}

/** Tokens that a usual endpoint reads without stretching a pause too far. */
const HARMLESS_TOKENS: TokenCount = 5_000
/** Tokens beyond these, from where on all streams are harmed. */
const HARM_SPAN_TOKENS: TokenCount = 6_000
/** What one harmed stream costs: about what an ordinary streamed answer costs its team. */
const HARMED_STREAM_COST: TokenCount = 1_000
/**
 * What a token read lately costs a long answer that comes to run there. A much larger weight would send all streams to one
 * endpoint after the other.
 */
const EXPOSURE_WEIGHT = 2
/** An answer of this length or more is exposed in full: the mean of short questions' answers. */
const LONG_ANSWER_TOKENS: TokenCount = 300
/** Endpoints with less to read than this are calm. */
const CALM_TOKENS: TokenCount = 3_000
/** Share of calm endpoints from which on harm counts in full. */
const ENOUGH_CALM_SHARE = 0.5

/**
 * What each stream at an endpoint costs the next one more than elsewhere, since streams gather where
 * nothing is read and lengthen each other's answers there.
 */
const CROWDING_COST: TokenCount = 180
/** A pause counts as one beside a long prompt where there was so much to read. */
const LONG_PREFILL_TOKENS: TokenCount = 6_000
/**
 * Weights of a pause that is longer than the one known, and of one that is not: the known one follows
 * about the longest tenth.
 */
const STRETCH_WEIGHTS = { above: 0.2, below: 0.02 }
/**
 * Longest pauses beside long prompts, over what callers accept, from which on harm counts at all and
 * in full: from where some streams are late by their pauses to where all such pauses are too long.
 */
const HARMLESS_STRETCH = 0.8
const HARMFUL_STRETCH = 1

/** Whether a pause tells what long prompts do to streams. */
export function isDuringLongPrefill(pendingTokens: TokenCount): boolean {
  return pendingTokens >= LONG_PREFILL_TOKENS
}

/**
 * How far long prompts stretch pauses: the longest ones beside them, over what callers accept, after
 * one more was observed.
 */
export function nextPauseStretch(known: number | undefined, observed: number): number {
  return trackQuantile(known, observed, STRETCH_WEIGHTS)
}

/** How much harm counts at present, each in [0, 1]. */
export interface InterferenceWeights {
  /** How far pauses beside long prompts are longer than callers accept. */
  readonly stretch: number
  /** How far there is room to keep long prompts and streams apart. */
  readonly room: number
}

/**
 * The weights of harm among these endpoints. `stretch` is how far long prompts stretch pauses;
 * undefined until that was observed, when harm is expected.
 */
export function interferenceWeights(
  places: readonly Pick<PrefillLoad, 'pendingTokens'>[],
  stretch: number | undefined,
): InterferenceWeights {
  const calm = places.filter(({ pendingTokens }) => pendingTokens < CALM_TOKENS).length
  const share = calm / Math.max(1, places.length)
  const beyond = (stretch ?? HARMFUL_STRETCH) - HARMLESS_STRETCH
  return {
    stretch: Math.min(1, Math.max(0, beyond / (HARMFUL_STRETCH - HARMLESS_STRETCH))),
    room: Math.min(1, (share / ENOUGH_CALM_SHARE) ** 2),
  }
}

/** What it costs to send a request there whose answer has at most so many tokens. */
export function prefillInterference(
  place: PrefillLoad,
  answerTokens: TokenCount,
  { stretch, room }: InterferenceWeights,
): TokenCount {
  const harm = interferenceWithOthers(place) + interferenceFromOthers(place, answerTokens)
  return stretch * (CROWDING_COST * place.running + room * harm)
}

/** What a new prompt does to the streams that run at an endpoint. */
function interferenceWithOthers({
  pendingTokens,
  uncachedTokens,
  running,
  slowness,
}: PrefillLoad): TokenCount {
  const before = harmedShare(pendingTokens, slowness)
  const after = harmedShare(pendingTokens + uncachedTokens, slowness)
  return HARMED_STREAM_COST * running * (after - before)
}

/** What reading at an endpoint is likely to do to a new answer of at most so many tokens. */
function interferenceFromOthers(
  { recentTokens }: PrefillLoad,
  answerTokens: TokenCount,
): TokenCount {
  const exposure = Math.min(1, answerTokens / LONG_ANSWER_TOKENS)
  return EXPOSURE_WEIGHT * recentTokens * exposure
}

/** Share of the streams at an endpoint that are harmed while it reads so much. */
function harmedShare(tokens: TokenCount, slowness: number): number {
  const beyond = tokens - HARMLESS_TOKENS / slowness
  return Math.min(1, Math.max(0, beyond / HARM_SPAN_TOKENS))
}
