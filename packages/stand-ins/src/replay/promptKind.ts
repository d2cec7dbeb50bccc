/** Draws requests whose prompts have shared and individual parts, with sizes distributed as in real traffic. */

import { randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import type { EnginePromptPart } from '../engine/engineModel.js'
import type { ReplayedKind } from './replay.js'

/** A log-normal distribution of sizes, as real requests have them: many small ones and few large ones. */
interface SizeDistribution {
  readonly mean: TokenCount
  readonly spread: number
  readonly maximum: TokenCount
}

/** The rate, the goals and the sizes of a kind of request. */
export interface PromptKind {
  readonly name: string
  readonly perSecond: number
  readonly goalMilliseconds: Milliseconds
  readonly pauseGoalMilliseconds: Milliseconds
  readonly tokensPerEvent: TokenCount
  /** Number of distinct prompt beginnings that conversations share. */
  readonly beginnings: number
  readonly beginning: SizeDistribution
  readonly conversations: number
  readonly history: SizeDistribution
  readonly question: SizeDistribution
  readonly events: SizeDistribution
}

/** Returns a kind for a replay, with its rate multiplied by `rate`. `random` draws the sizes of shared parts. */
export function replayedKind(
  kind: PromptKind,
  rate: (now: Milliseconds) => number,
  random: RandomSource,
): ReplayedKind {
  const beginnings = drawParts(`${kind.name}-beginning`, kind.beginnings, kind.beginning, random)
  const histories = drawParts(`${kind.name}-history`, kind.conversations, kind.history, random)
  let questions = 0
  return {
    name: kind.name,
    perSecond: now => kind.perSecond * rate(now),
    goalMilliseconds: kind.goalMilliseconds,
    pauseGoalMilliseconds: kind.pauseGoalMilliseconds,
    nextRequest: chance => {
      const conversation = randomBelow(chance, kind.conversations)
      const beginning = beginnings[conversation % kind.beginnings]
      const history = histories[conversation]
      questions += 1
      const question = {
        id: `${kind.name}-question-${questions}`,
        tokens: drawSize(chance, kind.question),
      }
      return {
        parts: [beginning, history, question].filter(part => part !== undefined),
        answerTokens: drawSize(chance, kind.events) * kind.tokensPerEvent,
      }
    },
  }
}

function drawParts(
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

/** Draws a size whose logarithm is normally distributed. */
function drawSize(random: RandomSource, { mean, spread, maximum }: SizeDistribution): TokenCount {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  const normal = radius * Math.cos(2 * Math.PI * random.next())
  const size = Math.exp(Math.log(mean) - spread ** 2 / 2 + spread * normal)
  return Math.max(1, Math.min(maximum, Math.round(size)))
}
