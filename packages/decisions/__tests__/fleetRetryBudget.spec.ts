import { describe, expect, it } from 'vitest'
import { FleetRetryBudget } from '@rackwalk/decisions'

const BOUNDS = { ratio: 0.2, extra: 50, windowMilliseconds: 10_000 }

/** Returns how many retries one instance may make at once after so many requests. */
function retriesAfter(requests: number, instances: number): number {
  const budget = new FleetRetryBudget(BOUNDS)
  for (let request = 0; request < requests; request += 1) budget.noteRequest(0)
  let taken = 0
  while (budget.take(0, instances)) taken += 1
  return taken
}

describe('the retry budget of a fleet', () => {
  it('is earned by requests, with an extra that all instances share', () => {
    const table = [0, 100, 1_000].map(requests =>
      [1, 5, 50].map(
        instances => `${requests} by ${instances}: ${retriesAfter(requests, instances)}`,
      ),
    )
    expect(table.flat()).toMatchInlineSnapshot(`
      [
        "0 by 1: 40",
        "0 by 5: 8",
        "0 by 50: 0",
        "100 by 1: 56",
        "100 by 5: 24",
        "100 by 50: 16",
        "1000 by 1: 200",
        "1000 by 5: 168",
        "1000 by 50: 160",
      ]
    `)
  })

  it('is restored as retries leave the window', () => {
    const budget = new FleetRetryBudget({ ...BOUNDS, ratio: 0 })
    while (budget.take(0, 50));
    expect(budget.take(9_000, 50)).toBe(false)
    expect(budget.take(10_000, 50)).toBe(false)
    expect(budget.take(10_000, 10)).toBe(true)
  })
})
