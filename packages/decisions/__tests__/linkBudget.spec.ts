import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LinkBandwidthBudget } from '@rackwalk/decisions'

/** The bandwidth budget of an instance whose link carries 1,000,000 bytes a second. */

const LINK = 1_000_000

describe('the budget of a link', () => {
  it('admits a burst, then returns when the next body fits', () => {
    const budget = new LinkBandwidthBudget(LINK)
    const answers = [
      budget.take(100_000, 0),
      budget.take(40_000, 0),
      budget.take(35_000, 0),
      budget.take(35_000, 100),
    ]
    expect(answers).toEqual([0, 0, 100, 0])
  })

  it('always admits small bodies, and makes other bodies wait for them', () => {
    const budget = new LinkBandwidthBudget(LINK)
    budget.take(140_000, 0)
    expect(Array.from({ length: 10 }, () => budget.take(3_500, 0))).toEqual(Array(10).fill(0))
    expect(budget.take(7_000, 0)).toBeCloseTo(120)
  })

  it('admits bodies of unknown size by the mean size of earlier ones', () => {
    const budget = new LinkBandwidthBudget(LINK)
    const first = budget.take(undefined, 0)
    budget.noteBodyRead(130_000, 0)
    expect([first, budget.take(undefined, 0), budget.take(undefined, 400)]).toMatchInlineSnapshot(`
      [
        0,
        342.85714285714283,
        0,
      ]
    `)
  })

  it('admits a body larger than the whole budget while it is untouched', () => {
    const budget = new LinkBandwidthBudget(LINK)
    expect(budget.take(5_000_000, 1_000)).toBe(0)
    expect(budget.take(10_000, 1_000)).toBeGreaterThan(0)
  })

  it('admits a body at the time it returned, so that no caller waits for ever', () => {
    const bodies = fc.array(fc.integer({ min: 0, max: 400_000 }), { maxLength: 50 })
    fc.assert(
      fc.property(bodies, sizes => {
        const budget = new LinkBandwidthBudget(LINK)
        let now = 0
        for (const size of sizes) {
          const wait = budget.take(size, now)
          expect(wait).toBeLessThanOrEqual(801)
          now += wait
          if (wait > 0) expect(budget.take(size, now + 0.001)).toBe(0)
        }
      }),
    )
  })

  it('admits no more than its share of the link', () => {
    const budget = new LinkBandwidthBudget(LINK)
    let taken = 0
    for (let now = 0; now < 10_000; now += 10) if (budget.take(18_000, now) === 0) taken += 18_000
    expect(taken / 10).toBeLessThanOrEqual(1.05 * 0.35 * LINK)
  })
})
