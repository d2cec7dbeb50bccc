import { describe, expect, it } from 'vitest'
import { EqualShareRate, IgnoredRate, rankedQuota, replayNamedRate } from '@rackwalk/stand-ins'
import type { NamedRateLoad, RatePolicy, RatePolicyParts } from '@rackwalk/stand-ins'

/**
 * Guards against fleets that exceed an advised rate. A rate that an endpoint advises holds for the whole fleet, so a rule
 * that works for three instances may fail for more. Eight instances that each keep to a rate of 1.3 per second send 42
 * requests in four seconds, and 195 instances that each send one request exceed the rate with their first requests.
 */

/** One and a half times the number of requests that the rate allows in four seconds, plus five. */
function maximumInWindow(rate: number): number {
  return 1.5 * rate * 4 + 5
}

const SIZES = [1, 8, 75, 195, 360]
const RATES = [0.4, 1.3, 7.7]

function loadOf(instances: number, rate: number, more: Partial<NamedRateLoad> = {}): NamedRateLoad {
  const requestsPerSecond = 80 + instances
  return { instances, users: instances, rate, requestsPerSecond, seed: instances, ...more }
}

describe('an advised rate', () => {
  it('is kept by a fleet of any size', async () => {
    const over: string[] = []
    for (const instances of SIZES) {
      for (const rate of RATES) {
        const { mostInWindow } = await replayNamedRate(loadOf(instances, rate))
        if (mostInWindow > maximumInWindow(rate))
          over.push(`${instances}, ${rate}/s: ${mostInWindow}`)
      }
    }
    expect(over).toEqual([])
  })

  it('is kept if all gossip between instances is lost', async () => {
    for (const instances of [8, 75, 195]) {
      const { mostInWindow } = await replayNamedRate(loadOf(instances, 1.3, { isGossipLost: true }))
      expect(mostInWindow).toBeLessThanOrEqual(maximumInWindow(1.3))
    }
  })

  it('is used, and all other requests are served, if few of many instances have callers', async () => {
    const outcome = await replayNamedRate(loadOf(75, 1.3, { users: 12 }))
    expect(outcome.takenPerSecond).toBeGreaterThan(0.5)
    expect(outcome.servedShare).toBe(1)
  })
})

const POLICIES: Readonly<Record<string, (parts: RatePolicyParts) => RatePolicy>> = {
  'nobody reads it': () => new IgnoredRate(),
  'each keeps to the whole': ({ advices }) => new EqualShareRate(advices, 1),
  'divided by those that are heard': ({ advices, users }) => new EqualShareRate(advices, users),
  'licences by hash': rankedQuota,
}

describe('policies for a rate of 1.3 per second', () => {
  it('differ in the number of requests that they permit in four seconds', async () => {
    const rows: string[] = []
    for (const [name, policy] of Object.entries(POLICIES)) {
      const cells: string[] = []
      for (const [instances, users] of [
        [8, 8],
        [75, 12],
        [195, 195],
      ] as const) {
        for (const isGossipLost of [false, true]) {
          const more = { users, isGossipLost, policy, requestsPerSecond: 300 }
          const outcome = await replayNamedRate(loadOf(instances, 1.3, more))
          const { mostInWindow, takenPerSecond } = outcome
          cells.push(`${mostInWindow} (${takenPerSecond.toFixed(1)}/s)`)
        }
      }
      rows.push(`${name}: ${cells.join(', ')}`)
    }
    expect(rows).toMatchInlineSnapshot(`
      [
        "nobody reads it: 172 (38.6/s), 172 (38.6/s), 182 (38.0/s), 182 (38.0/s), 168 (37.3/s), 168 (37.3/s)",
        "each keeps to the whole: 38 (8.2/s), 38 (8.3/s), 50 (11.0/s), 50 (11.3/s), 148 (33.2/s), 149 (33.3/s)",
        "divided by those that are heard: 8 (1.0/s), 38 (8.3/s), 12 (1.1/s), 50 (11.3/s), 0 (5.2/s), 149 (33.3/s)",
        "licences by hash: 4 (0.9/s), 7 (1.4/s), 4 (0.9/s), 8 (1.8/s), 2 (0.3/s), 3 (8.0/s)",
      ]
    `)
  })
})
