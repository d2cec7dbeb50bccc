/**
 * A load of long prompts among running streams: the answers to long prompts make up a tenth of all
 * generated tokens, but their prompts make up most of the prefill work.
 */

import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { EngineCapacity } from '../engine/engineModel.js'
import { replayedKind } from './promptKind.js'
import type { PromptKind } from './promptKind.js'
import type { ReplayedLoad } from './replay.js'

/** Differences of a load from the default one. */
export interface LongPromptVariation {
  /** Factor by which the rate of all requests is multiplied, as a function of the time since the start. */
  readonly rate?: (now: Milliseconds) => number
  /** Factor by which all times of each engine are multiplied. */
  readonly slowness?: readonly number[]
  readonly losses?: ReplayedLoad['losses']
  /** Number of requests that each engine runs concurrently. */
  readonly slots?: number
  /** Whether every request has a long prompt. */
  readonly isAllLong?: boolean
}

const TOKENS_PER_EVENT = 3
const PAUSE_GOAL_MILLISECONDS = 300
const RUN_MILLISECONDS = 40_000
const INSTANCES = 3
/** Time between two reports of one instance in a small fleet. */
const REPORT_MILLISECONDS = 20
const SLOTS = 128
const ENGINES_SLOWNESS = [1, 1, 1.3, 1, 1, 1.3, 1, 1]

const LONG: PromptKind = {
  name: 'long',
  perSecond: 10.3,
  goalMilliseconds: 930,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 4,
  beginning: { mean: 2_520, spread: 0.4, maximum: 6_290 },
  conversations: 140,
  history: { mean: 3_780, spread: 0.7, maximum: 11_300 },
  question: { mean: 2_890, spread: 1, maximum: 18_300 },
  events: { mean: 17.4, spread: 1.4, maximum: 69 },
}

const SHORT: PromptKind = {
  name: 'short',
  perSecond: 34.6,
  goalMilliseconds: 1_130,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 8,
  beginning: { mean: 119, spread: 0.4, maximum: 298 },
  conversations: 475,
  history: { mean: 79, spread: 0.7, maximum: 238 },
  question: { mean: 628, spread: 1, maximum: 3_310 },
  events: { mean: 95.8, spread: 0.69, maximum: 226 },
}

/** Returns the load on eight engines, two of which are slower. `random` draws the sizes of prompt parts. */
export function longPromptLoad(
  random: RandomSource,
  variation: LongPromptVariation = {},
): ReplayedLoad {
  const rate = variation.rate ?? (() => 1)
  const short = variation.isAllLong === true ? { ...LONG, name: 'short' } : SHORT
  return {
    instances: Array.from({ length: INSTANCES }, () => 1),
    reportMilliseconds: REPORT_MILLISECONDS,
    engines: (variation.slowness ?? ENGINES_SLOWNESS).map(slowness => ({
      ...engineOf(slowness),
      slots: variation.slots ?? SLOTS,
    })),
    tokensPerEvent: TOKENS_PER_EVENT,
    milliseconds: RUN_MILLISECONDS,
    losses: variation.losses ?? [],
    kinds: [replayedKind(LONG, rate, random), replayedKind(short, rate, random)],
  }
}

function engineOf(slowness: number): Omit<EngineCapacity, 'slots'> {
  return {
    pieceTokens: 2_048,
    promptTokensPerMillisecond: 32.4 / slowness,
    stepMilliseconds: 6.12 * slowness,
    answerMilliseconds: 0.0234 * slowness,
    thousandContextMilliseconds: 0.0131 * slowness,
    millionPairsMilliseconds: 1.18 * slowness,
    cacheTokens: 200_000,
  }
}
