/** Requests with prompts of shared and own parts, drawn as those of real callers scatter. */

import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import type { EnginePromptPart } from '../engine/engineModel.js'
import type { ReplayedKind } from './replay.js'

/** Sizes that scatter as those of real requests do: many small ones, few large ones. */
interface SizeDistribution {
  readonly mean: TokenCount
  readonly spread: number
  readonly maximum: TokenCount
}

/** What a kind of request is like. */
export interface PromptKind {
  readonly name: string
  readonly perSecond: number
  readonly goalMilliseconds: Milliseconds
  readonly pauseGoalMilliseconds: Milliseconds
  readonly tokensPerEvent: TokenCount
  /** Beginnings that all conversations share. */
  readonly beginnings: number
  readonly beginning: SizeDistribution
  readonly conversations: number
  readonly history: SizeDistribution
  readonly question: SizeDistribution
  readonly events: SizeDistribution
}

/** The kind as it arrives, at its rate times `rate`; `random` draws what conversations are like. */
export function replayedKind(
  shape: PromptKind,
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
    pauseGoalMilliseconds: shape.pauseGoalMilliseconds,
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
        answerTokens: drawSize(chance, shape.events) * shape.tokensPerEvent,
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
