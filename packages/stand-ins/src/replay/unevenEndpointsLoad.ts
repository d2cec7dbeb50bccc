/**
 * A load on engines whose speed changes several times a second: at any time about half of them work at a third of
 * their speed. Long prompts and short chats arrive together, and the first events of short chats are urgent.
 */

import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { EngineCapacity } from '../engine/engineModel.js'
import { replayedKind } from './promptKind.js'
import type { PromptKind } from './promptKind.js'
import type { ReplayedLoad } from './replay.js'

/** Who receives the requests, and what engines report. */
export interface UnevenEndpointsOptions {
  readonly loadReports: ReplayedLoad['loadReports']
  readonly instances: number
}

const TOKENS_PER_EVENT = 3
const PAUSE_GOAL_MILLISECONDS = 300
const RUN_MILLISECONDS = 10_000
const REPORT_MILLISECONDS = 100
/** Factor on the rates of requests: some first events are late, and the engines keep up. */
const RATE = 1.5
const ENGINES = 21
/** Mean time for which an engine keeps its speed. */
const PHASE_MILLISECONDS = 300
const SLOWDOWN = 3

const LONG: PromptKind = {
  name: 'long',
  perSecond: 28.5,
  goalMilliseconds: 1_215,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 8,
  beginning: { mean: 6_300, spread: 0.1, maximum: 7_000 },
  conversations: 2_000,
  history: { mean: 1_400, spread: 0.5, maximum: 4_000 },
  question: { mean: 1_490, spread: 0.5, maximum: 6_000 },
  events: { mean: 7, spread: 0.5, maximum: 20 },
}

const SHORT: PromptKind = {
  name: 'short',
  perSecond: 87,
  goalMilliseconds: 257,
  pauseGoalMilliseconds: PAUSE_GOAL_MILLISECONDS,
  tokensPerEvent: TOKENS_PER_EVENT,
  beginnings: 40,
  beginning: { mean: 200, spread: 0.2, maximum: 300 },
  conversations: 2_000,
  history: { mean: 200, spread: 0.5, maximum: 600 },
  question: { mean: 426, spread: 0.5, maximum: 1_500 },
  events: { mean: 36, spread: 0.5, maximum: 100 },
}

const ENGINE: EngineCapacity = {
  slots: 24,
  pieceTokens: 2_048,
  promptTokensPerMillisecond: 44.2,
  stepMilliseconds: 5.23,
  answerMilliseconds: 0.05,
  thousandContextMilliseconds: 0.00853,
  millionPairsMilliseconds: 0.647,
  cacheTokens: 275_040,
}

/** Returns the load. `random` draws the sizes of shared prompt parts and when engines change their speed. */
export function unevenEndpointsLoad(
  random: RandomSource,
  { loadReports, instances }: UnevenEndpointsOptions,
): ReplayedLoad {
  return {
    instances: Array.from({ length: instances }, () => 1),
    reportMilliseconds: REPORT_MILLISECONDS,
    engines: Array.from({ length: ENGINES }, () => ({
      ...ENGINE,
      slowdown: drawSlowdown(random),
    })),
    tokensPerEvent: TOKENS_PER_EVENT,
    milliseconds: RUN_MILLISECONDS,
    losses: [],
    kinds: [LONG, SHORT].map(kind => replayedKind(kind, () => RATE, random)),
    ...(loadReports === undefined ? {} : { loadReports }),
  }
}

/** Draws alternating phases of usual and slow work, each between half and one and a half times the mean. */
function drawSlowdown(random: RandomSource): (now: Milliseconds) => number {
  const isSlowAtFirst = random.next() < 0.5
  const changes: Milliseconds[] = []
  let at = 0
  while (at < RUN_MILLISECONDS) {
    at += PHASE_MILLISECONDS * (0.5 + random.next())
    changes.push(at)
  }
  return now => {
    const phases = changes.findIndex(change => now < change)
    return isSlowAtFirst === (phases % 2 === 0) ? SLOWDOWN : 1
  }
}
