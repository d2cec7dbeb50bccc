import { describe, expect, it } from 'vitest'
import { precommittedTokens } from '@rackwalk/decisions'
import type { BudgetView } from '@rackwalk/decisions'

/**
 * A budget of which this instance and one other hold equal parts, and which lasts `seconds` at
 * their demand.
 */
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

describe('the tokens that a record precommits', () => {
  it('are those of one request where the holding is large enough, and none near the end of a budget', () => {
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

  it('are none without demand', () => {
    expect(precommittedTokens(900_000, viewOf(900_000, 60, { ownDemandPerSecond: 0 }))).toBe(0)
  })

  it('are none where no tokens are unspent', () => {
    expect(precommittedTokens(0, viewOf(1, 60))).toBe(0)
    expect(precommittedTokens(-5, viewOf(1, 60))).toBe(0)
  })
})
