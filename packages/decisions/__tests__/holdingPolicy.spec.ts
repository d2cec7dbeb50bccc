import { describe, expect, it } from 'vitest'
import { DemandHoldingPolicy } from '@rackwalk/decisions'
import type { BudgetView } from '@rackwalk/decisions'

/** A budget of 100,000 tokens of which this instance and three others hold 20,000 each. */
function view(more: Partial<BudgetView>): BudgetView {
  const others = [1, 2, 3].map(() => ({ unspent: 20_000, demandPerSecond: 0 }))
  const known = { free: 20_000, ownUnspent: 20_000, ownDemandPerSecond: 0, others }
  return { ...known, isStandby: false, largestRequest: 0, ...more }
}

/** The other instances have this demand in tokens a second together. */
function othersWithDemand(perSecond: number): BudgetView['others'] {
  return [1, 2, 3].map(() => ({ unspent: 20_000, demandPerSecond: perSecond / 3 }))
}

const CASES: readonly (readonly [string, Partial<BudgetView>])[] = [
  ['nobody asks', {}],
  ['nobody asks, on standby', { isStandby: true }],
  ['all demand here, plenty', { ownDemandPerSecond: 1_000 }],
  ['all demand here, plenty, on standby', { ownDemandPerSecond: 1_000, isStandby: true }],
  ['all demand here, scarce', { ownDemandPerSecond: 10_000 }],
  ['all demand here, scarce, on standby', { ownDemandPerSecond: 10_000, isStandby: true }],
  ['all demand elsewhere, plenty', { others: othersWithDemand(1_000) }],
  ['all demand elsewhere, scarce', { others: othersWithDemand(10_000) }],
  ['all demand elsewhere, on standby', { others: othersWithDemand(1_000), isStandby: true }],
  ['large requests, scarce', { ownDemandPerSecond: 10_000, largestRequest: 8_000 }],
]

describe('DemandHoldingPolicy', () => {
  it('holds by demand, evenly without demand, and nothing ahead of demand on standby', () => {
    const policy = new DemandHoldingPolicy()
    const table = CASES.map(([name, more]) => {
      const seen = view(more)
      return `${name}: holds ${policy.target(seen)}, leaves ${policy.poolFloor(seen)}`
    })
    expect(table).toMatchInlineSnapshot(`
      [
        "nobody asks: holds 25000, leaves 0",
        "nobody asks, on standby: holds 0, leaves 0",
        "all demand here, plenty: holds 62500, leaves 0",
        "all demand here, plenty, on standby: holds 40000, leaves 0",
        "all demand here, scarce: holds 80555, leaves 0",
        "all demand here, scarce, on standby: holds 74074, leaves 0",
        "all demand elsewhere, plenty: holds 12500, leaves 0",
        "all demand elsewhere, scarce: holds 6481, leaves 0",
        "all demand elsewhere, on standby: holds 0, leaves 0",
        "large requests, scarce: holds 67666, leaves 16000",
      ]
    `)
  })
})
