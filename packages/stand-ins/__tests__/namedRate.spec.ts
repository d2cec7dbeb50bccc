import { describe, expect, it } from 'vitest'
import { replayNamedRate } from '@rackwalk/stand-ins'
import type { NamedRateLoad } from '@rackwalk/stand-ins'

/**
 * A rate that an endpoint names is one for the whole fleet, so a rule that holds for three instances may break at size: eight
 * instances that each keep to a rate of 1.3 send 42 in four seconds, and 195 that each send one request are over it before
 * any of them has sent a second one.
 */

/** One and a half times what the rate allows in four seconds, and five more. */
function allowed(rate: number): number {
  return 1.5 * rate * 4 + 5
}

const SIZES = [1, 8, 75, 195, 360]
const RATES = [0.4, 1.3, 7.7]

function loadOf(instances: number, rate: number, more: Partial<NamedRateLoad> = {}): NamedRateLoad {
  const requestsPerSecond = 80 + instances
  return { instances, users: instances, rate, requestsPerSecond, seed: instances, ...more }
}

describe('a named rate', () => {
  it('is kept by a fleet of any size', async () => {
    const over: string[] = []
    for (const instances of SIZES) {
      for (const rate of RATES) {
        const { mostInWindow } = await replayNamedRate(loadOf(instances, rate))
        if (mostInWindow > allowed(rate)) over.push(`${instances}, ${rate}/s: ${mostInWindow}`)
      }
    }
    expect(over).toEqual([])
  })
})
