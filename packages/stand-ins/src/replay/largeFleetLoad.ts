/**
 * The load of a large fleet: four hundred requests with prompts per second on eighty engines. They arrive at
 * a dozen active instances and at a dozen others, each of which is used by the callers of one team.
 */

import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { EngineCapacity } from '../engine/engineModel.js'
import { replayedKind } from './promptKind.js'
import type { PromptKind } from './promptKind.js'
import type { ReplayedLoad } from './replay.js'

/** Differences of a load from the default one. */
export interface LargeFleetVariation {
  readonly reportMilliseconds: Milliseconds
  /** Factor by which the rate of all requests is multiplied. */
  readonly rate?: number
  readonly milliseconds?: Milliseconds
}

const TOKENS_PER_EVENT = 3
const PAUSE_GOAL_MILLISECONDS = 300
const RUN_MILLISECONDS = 12_000
const ENGINES = 82
/** Requests per second of each instance, as observed in a fleet: first the active instances, then the others. */
const INSTANCES = [
  ...[28, 27, 25, 25, 25, 23, 23, 22, 22, 21, 20, 20, 20],
  ...[32, 19, 16, 10, 7, 6, 5, 4, 3, 3, 3, 2, 2],
]

const LONG: PromptKind = {
  name: 'long',
  perSecond: 180,
  goalMilliseconds: 608,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 4,
  beginning: { mean: 2_520, spread: 0.4, maximum: 6_290 },
  conversations: 2_180,
  history: { mean: 3_780, spread: 0.7, maximum: 11_300 },
  question: { mean: 2_890, spread: 1, maximum: 39_600 },
  events: { mean: 17.4, spread: 1.4, maximum: 69 },
}

const MIDDLE: PromptKind = {
  name: 'middle',
  perSecond: 125,
  goalMilliseconds: 504,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 39,
  beginning: { mean: 341, spread: 0.4, maximum: 851 },
  conversations: 1_513,
  history: { mean: 227, spread: 0.7, maximum: 681 },
  question: { mean: 1_800, spread: 1.3, maximum: 6_870 },
  events: { mean: 7.52, spread: 1.4, maximum: 30 },
}

const SHORT: PromptKind = {
  name: 'short',
  perSecond: 97.4,
  goalMilliseconds: 403,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 39,
  beginning: { mean: 103, spread: 0.4, maximum: 257 },
  conversations: 789,
  history: { mean: 68.6, spread: 0.7, maximum: 206 },
  question: { mean: 543, spread: 0.89, maximum: 2_310 },
  events: { mean: 93.3, spread: 0.7, maximum: 253 },
}

const ENGINE: EngineCapacity = {
  slots: 24,
  pieceTokens: 2_048,
  promptTokensPerMillisecond: 38.4,
  stepMilliseconds: 5.23,
  answerMilliseconds: 0.00367,
  thousandContextMilliseconds: 0.00853,
  millionPairsMilliseconds: 0.647,
  cacheTokens: 260_000,
}

/** Returns the load. `random` draws the sizes of the conversations' prompt parts. */
export function largeFleetLoad(random: RandomSource, variation: LargeFleetVariation): ReplayedLoad {
  const rate = () => variation.rate ?? 1
  return {
    instances: INSTANCES,
    reportMilliseconds: variation.reportMilliseconds,
    engines: Array.from({ length: ENGINES }, () => ENGINE),
    tokensPerEvent: TOKENS_PER_EVENT,
    milliseconds: variation.milliseconds ?? RUN_MILLISECONDS,
    losses: [],
    kinds: [LONG, MIDDLE, SHORT].map(kind => replayedKind(kind, rate, random)),
  }
}
