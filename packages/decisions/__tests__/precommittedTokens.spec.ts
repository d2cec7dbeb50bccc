import { describe, expect, it } from 'vitest'
import { precommittedTokens } from '@rackwalk/decisions'
import type { BudgetView } from '@rackwalk/decisions'

/** A budget of which this instance and one other hold as much, with so many seconds left at their demand. */
function viewOf(unspent: number, seconds: number, more: Partial<BudgetView> = {}): BudgetView {
  const demandPerSecond = unspent / seconds
  return {
    free: 0,
    ownUnspent: unspent,
    ownDemandPerSecond: demandPerSecond,
    others: [{ unspent, demandPerSecond }],
    isStandby: false,
    largestRequest: 9_000,
    ...more,
  }
}

describe('what a record counts as committed ahead', () => {
  it('is a request of a holding that bears it, and nothing towards the end of a budget', () => {
    const table = [30_000, 190_000, 900_000].flatMap(unspent =>
      [6, 8, 11, 14, 60].map(
        seconds =>
          `${unspent} for ${seconds} s: ${precommittedTokens(unspent, viewOf(unspent, seconds))}`,
      ),
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "30000 for 6 s: 0",
        "30000 for 8 s: 0",
        "30000 for 11 s: 0",
        "30000 for 14 s: 0",
        "30000 for 60 s: 0",
        "190000 for 6 s: 0",
        "190000 for 8 s: 0",
        "190000 for 11 s: 0",
        "190000 for 14 s: 9000",
        "190000 for 60 s: 9000",
        "900000 for 6 s: 0",
        "900000 for 8 s: 0",
        "900000 for 11 s: 9000",
        "900000 for 14 s: 9000",
        "900000 for 60 s: 9000",
      ]
    `)
  })

  it('is taken back when nobody asks any more', () => {
    expect(precommittedTokens(900_000, viewOf(900_000, 60, { ownDemandPerSecond: 0 }))).toBe(0)
  })

  it('is never more than is unspent, also where that is nothing', () => {
    expect(precommittedTokens(0, viewOf(1, 60))).toBe(0)
    expect(precommittedTokens(-5, viewOf(1, 60))).toBe(0)
  })
})
