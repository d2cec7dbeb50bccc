import type { RoutingPolicyName } from '@rackwalk/router'
import type { Bound } from '../bounds/bound.js'
import { RoutingSimulation } from './routingSimulation.js'
import type { RoutingProfile } from './routingSimulation.js'

const DOCWORKS: RoutingProfile = {
  instances: 8,
  engines: 8,
  requestsPerSecond: 12,
  teamPrefixBytes: 16_000,
  teams: 10,
  conversations: 160,
}

const RUN_MILLISECONDS = 90_000

/** Compares the expected-first-token policy with two-choices on the same traffic. */
export async function boundRouting(seed: number): Promise<readonly Bound[]> {
  const run = (policy: RoutingPolicyName) =>
    new RoutingSimulation(DOCWORKS, policy, seed).run(RUN_MILLISECONDS)
  const expectedFirstToken = await run('expected-first-token')
  const twoChoices = await run('two-choices')
  const ratio = expectedFirstToken.firstToken.percentile(95) / twoChoices.firstToken.percentile(95)
  return [
    { name: 'routing: p95 first token against two-choices', value: ratio, atMost: 0.8 },
    {
      name: 'routing: prefix hit rate over two-choices',
      value: expectedFirstToken.hitRate / twoChoices.hitRate,
      atLeast: 1.1,
    },
    {
      name: 'routing: busiest engine over the mean',
      value: expectedFirstToken.busiestOverMean,
      atMost: 1.6,
    },
  ]
}
