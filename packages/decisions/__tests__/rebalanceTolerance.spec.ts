import { describe, expect, it } from 'vitest'
import { rebalanceTolerance } from '@rackwalk/decisions'

/** A budget of which one instance holds all, and which lasts `seconds` at its demand. */
function viewOf(seconds: number) {
  return {
    free: 0,
    ownUnspent: 1_000 * seconds,
    ownDemandPerSecond: 1_000,
    others: [],
    isStandby: false,
    largestRequest: 100,
  }
}

describe('the share by which a holding may be off its target', () => {
  it('grows as the budget lasts longer', () => {
    const table = [4, 8, 11, 14, 50].map(
      seconds => `${seconds} s: ${rebalanceTolerance(viewOf(seconds)).toFixed(2)}`,
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "4 s: 0.12",
        "8 s: 0.12",
        "11 s: 0.26",
        "14 s: 0.40",
        "50 s: 0.40",
      ]
    `)
  })
})
