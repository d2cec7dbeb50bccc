/**
 * A load of long prompts among running streams: a tenth of the tokens handed out belong to answers
 * whose prompts make up most of what is read.
 */

import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import type { EngineCapacity, EnginePromptPart } from '../engine/engineModel.js'
import type { ReplayedKind, ReplayedLoad } from './replay.js'

/** How a load differs from the usual one. */
export interface LongPromptVariation {
  /** Factor on the rate of all requests, by the time since the start. */
  readonly rate?: (now: Milliseconds) => number
  /** How many times as long each engine takes for everything. */
  readonly slowness?: readonly number[]
  readonly losses?: ReplayedLoad['losses']
  /** Requests that each engine works on at once. */
  readonly slots?: number
  /** Whether every request has a long prompt. */
  readonly isAllLong?: boolean
}

/** Sizes that scatter as those of real requests do: many small ones, few large ones. */
interface SizeDistribution {
  readonly mean: TokenCount
  readonly spread: number
  readonly maximum: TokenCount
}

/** What a kind of request is like. */
interface KindShape {
  readonly name: string
  readonly perSecond: number
  readonly goalMilliseconds: Milliseconds
  /** Beginnings that all conversations share. */
  readonly beginnings: number
  readonly beginning: SizeDistribution
  readonly conversations: number
  readonly history: SizeDistribution
  readonly question: SizeDistribution
  readonly events: SizeDistribution
}

const TOKENS_PER_EVENT = 3
const PAUSE_GOAL_MILLISECONDS = 300
const RUN_MILLISECONDS = 40_000
const INSTANCES = 3
const SLOTS = 128
const ENGINES_SLOWNESS = [1, 1, 1.3, 1, 1, 1.3, 1, 1]

const LONG: KindShape = {
  name: 'long',
  perSecond: 10.3,
  goalMilliseconds: 930,
  beginnings: 4,
  beginning: { mean: 2_520, spread: 0.4, maximum: 6_290 },
  conversations: 140,
  history: { mean: 3_780, spread: 0.7, maximum: 11_300 },
  question: { mean: 2_890, spread: 1, maximum: 18_300 },
  events: { mean: 17.4, spread: 1.4, maximum: 69 },
}

const SHORT: KindShape = {
  name: 'short',
  perSecond: 34.6,
  goalMilliseconds: 1_130,
  beginnings: 8,
  beginning: { mean: 119, spread: 0.4, maximum: 298 },
  conversations: 475,
  history: { mean: 79, spread: 0.7, maximum: 238 },
  question: { mean: 628, spread: 1, maximum: 3_310 },
  events: { mean: 95.8, spread: 0.69, maximum: 226 },
}

/** The load on eight engines, two of them slower; `random` draws what conversations are like. */
export function longPromptLoad(
  random: RandomSource,
  variation: LongPromptVariation = {},
): ReplayedLoad {
  const rate = variation.rate ?? (() => 1)
  const short = variation.isAllLong === true ? { ...LONG, name: 'short' } : SHORT
  return {
    instances: INSTANCES,
    engines: (variation.slowness ?? ENGINES_SLOWNESS).map(slowness => ({
      ...engineOf(slowness),
      slots: variation.slots ?? SLOTS,
    })),
    tokensPerEvent: TOKENS_PER_EVENT,
    milliseconds: RUN_MILLISECONDS,
    losses: variation.losses ?? [],
    kinds: [kindOf(LONG, rate, random), kindOf(short, rate, random)],
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

function kindOf(
  shape: KindShape,
  rate: (now: Milliseconds) => number,
  random: RandomSource,
): ReplayedKind {
  const beginnings = partsOf(`${shape.name}-beginning`, shape.beginnings, shape.beginning, random)
  const histories = partsOf(`${shape.name}-history`, shape.conversations, shape.history, random)
  let questions = 0
  return {
    name: shape.name,
    perSecond: now => shape.perSecond * rate(now),
    goalMilliseconds: shape.goalMilliseconds,
    pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
    nextRequest: chance => {
      const conversation = randomBelow(chance, shape.conversations)
      const beginning = beginnings[conversation % shape.beginnings]
      const history = histories[conversation]
      questions += 1
      const question = {
        id: `${shape.name}-question-${questions}`,
        tokens: drawSize(chance, shape.question),
      }
      return {
        parts: [beginning, history, question].filter(part => part !== undefined),
        answerTokens: drawSize(chance, shape.events) * TOKENS_PER_EVENT,
      }
    },
  }
}

function partsOf(
  name: string,
  count: number,
  sizes: SizeDistribution,
  random: RandomSource,
): readonly EnginePromptPart[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${name}-${index}`,
    tokens: drawSize(random, sizes),
  }))
}

/** A size whose logarithm is normally distributed. */
function drawSize(random: RandomSource, { mean, spread, maximum }: SizeDistribution): TokenCount {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  const normal = radius * Math.cos(2 * Math.PI * random.next())
  const size = Math.exp(Math.log(mean) - spread ** 2 / 2 + spread * normal)
  return Math.max(1, Math.min(maximum, Math.round(size)))
}
