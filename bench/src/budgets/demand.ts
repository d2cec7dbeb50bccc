/** Simulated demand on prepaid budgets, at the size of the booking office. */

import type { RandomSource, TokenCount } from '@rackwalk/shared'

export const INSTANCES = 8
export const FAILURE_DOMAINS = 4
export const TEAMS = 10
/** Request rate of all teams together. */
export const REQUESTS_PER_SECOND = 6
/** Share of requests with long prompts and answers, such as redrafts. */
const LONG_SHARE = 0.02

/** One request: the tokens reserved for it, its actual cost, and its duration. */
export interface SimulatedRequest {
  readonly team: number
  readonly bound: TokenCount
  readonly cost: TokenCount
  readonly milliseconds: number
}

const SHORT = { prompt: 600, output: 400 }
const LONG = { prompt: 4_000, output: 6_000 }
const TOKEN_MILLISECONDS = 20
/** Prompt bytes per token. A request's bound counts each prompt byte as a token. */
const BYTES_PER_TOKEN = 4

/** Draws the next request. The teams' shares follow a Zipf distribution: a few teams are large. */
export function drawRequest(random: RandomSource): SimulatedRequest {
  const size = random.next() < LONG_SHARE ? LONG : SHORT
  const prompt = Math.ceil(size.prompt * (0.2 + random.next()))
  const generated = Math.ceil(size.output * random.next())
  return {
    team: drawTeam(random),
    bound: prompt * BYTES_PER_TOKEN + size.output,
    cost: prompt + generated,
    milliseconds: generated * TOKEN_MILLISECONDS,
  }
}

/** Returns the mean cost of a request, from which budget limits are computed. */
export function meanCost(): number {
  const costOf = (size: typeof SHORT) => size.prompt * 0.7 + size.output * 0.5
  return costOf(SHORT) * (1 - LONG_SHARE) + costOf(LONG) * LONG_SHARE
}

/** Returns a team's share of all requests, in [0, 1]. */
export function teamShare(team: number): number {
  const total = Array.from({ length: TEAMS }, (_, index) => 1 / (index + 1)).reduce((a, b) => a + b)
  return 1 / (team + 1) / total
}

function drawTeam(random: RandomSource): number {
  let remaining = random.next()
  for (let team = 0; team < TEAMS; team += 1) {
    remaining -= teamShare(team)
    if (remaining < 0) return team
  }
  return TEAMS - 1
}
