import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { committedBound, disconnectedAllowance } from '@rackwalk/decisions'
import type { BudgetView } from '@rackwalk/decisions'

/** What a holder's row allows once the store is out of reach. */

const LARGEST_SHARE = 0.75

function view(unspent: number, demandPerSecond: number): BudgetView {
  return {
    free: 0,
    ownUnspent: unspent,
    ownDemandPerSecond: demandPerSecond,
    others: [],
    isStandby: false,
    largestRequest: 9_000,
  }
}

/**
 * Returns the tokens that may be committed after `seconds` of a cut that begins when the row is
 * written.
 */
function allowed(unspent: number, demandPerSecond: number, seconds: number): number {
  const row = {
    granted: unspent,
    committed: 0,
    strictRate: demandPerSecond,
    strictMilliseconds: 2_000,
    cutAfterMilliseconds: 2_000,
  }
  const allowance = disconnectedAllowance(
    view(unspent, demandPerSecond),
    unspent,
    2 * demandPerSecond,
  )
  return committedBound({ ...row, ...allowance }, seconds * 1_000)
}

describe('the allowance of a cut', () => {
  it('follows demand and leaves a part of the holding, however long the cut', () => {
    const cases = [
      [300_000, 0],
      [300_000, 5_000],
      [300_000, 30_000],
      [10_000, 5_000],
    ] as const
    const table = cases.map(([unspent, demand]) => {
      const tokens = [5, 10, 20, 60, 3_600].map(seconds => allowed(unspent, demand, seconds))
      return `${unspent} tokens, ${demand} a second: ${tokens.join(', ')}`
    })
    expect(table).toMatchInlineSnapshot(`
      [
        "300000 tokens, 0 a second: 30694, 51127, 85773, 167762, 225000",
        "300000 tokens, 5000 a second: 64608, 111842, 168676, 221542, 225000",
        "300000 tokens, 30000 a second: 192876, 222899, 224991, 224999, 225000",
        "10000 tokens, 5000 a second: 10000, 10000, 10000, 10000, 10000",
      ]
    `)
  })

  it('leaves a quarter of a holding that outlasts the strict window, whatever the demand', () => {
    const unspent = fc.integer({ min: 1, max: 10_000_000 })
    const demand = fc.integer({ min: 0, max: 100_000 })
    const seconds = fc.integer({ min: 0, max: 100_000 })
    fc.assert(
      fc.property(unspent, demand, seconds, (tokens, perSecond, time) => {
        fc.pre(2 * perSecond <= LARGEST_SHARE * tokens)
        expect(allowed(tokens, perSecond, time)).toBeLessThanOrEqual(LARGEST_SHARE * tokens)
      }),
      { seed: 1 },
    )
  })
})
