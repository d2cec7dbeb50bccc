/** Demand on prepaid budgets, of the booking office's size. */

import type { RandomSource, TokenCount } from '@rackwalk/shared'

export const INSTANCES = 8
export const FAILURE_DOMAINS = 4
export const TEAMS = 10
/** Of all teams together. */
export const REQUESTS_PER_SECOND = 6
/** Share of requests that are long redrafts or the like. */
const LONG_SHARE = 0.02

/** One request: its bound, what it will really cost, and how long it takes. */
export interface SimulatedRequest {
  readonly team: number
  readonly bound: TokenCount
  readonly cost: TokenCount
  readonly milliseconds: number
}

const SHORT = { prompt: 600, output: 400 }
const LONG = { prompt: 4_000, output: 6_000 }
const TOKEN_MILLISECONDS = 20
/** Bytes of prompt in a token: the bound counts bytes. */
const BOUND_FACTOR = 4

/** Draws the next request; a few teams are large (Zipf). */
export function drawRequest(random: RandomSource): SimulatedRequest {
  const size = random.next() < LONG_SHARE ? LONG : SHORT
  const prompt = Math.ceil(size.prompt * (0.2 + random.next()))
  const generated = Math.ceil(size.output * random.next())
  return {
    team: drawTeam(random),
    bound: prompt * BOUND_FACTOR + size.output,
    cost: prompt + generated,
    milliseconds: generated * TOKEN_MILLISECONDS,
  }
}

/** Mean cost of a request, by which budgets are sized. */
export function meanCost(): number {
  const costOf = (size: typeof SHORT) => size.prompt * 0.7 + size.output * 0.5
  return costOf(SHORT) * (1 - LONG_SHARE) + costOf(LONG) * LONG_SHARE
}

/** A team's share of all requests. */
export function teamShare(team: number): number {
  const total = Array.from({ length: TEAMS }, (_, index) => 1 / (index + 1)).reduce((a, b) => a + b)
  return 1 / (team + 1) / total
}

function drawTeam(random: RandomSource): number {
  let left = random.next()
  for (let team = 0; team < TEAMS; team += 1) {
    left -= teamShare(team)
    if (left < 0) return team
  }
  return TEAMS - 1
}
