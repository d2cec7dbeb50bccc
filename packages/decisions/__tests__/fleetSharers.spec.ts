import { describe, expect, it } from 'vitest'
import { partitionSafeShareCount, recordInterval, fleetShareCount } from '@rackwalk/decisions'
import type { FleetUsage } from '@rackwalk/decisions'

/**
 * Among how many instances a bound of the fleet is divided, and how often holdings are recorded.
 */

const CASES: readonly (readonly [string, FleetUsage])[] = [
  ['a single instance', { isSelfUsing: true, usingOthers: 0, others: 0 }],
  ['one of seven, all active', { isSelfUsing: true, usingOthers: 6, others: 6 }],
  ['one of twelve active of 195', { isSelfUsing: true, usingOthers: 11, others: 194 }],
  ['one of 195 that stands by', { isSelfUsing: false, usingOthers: 12, others: 194 }],
  ['one of 195 with work though it stands by', { isSelfUsing: true, usingOthers: 12, others: 194 }],
]

describe('a bound of the whole fleet', () => {
  it('is divided among those that use it', () => {
    const shares = CASES.map(
      ([name, usage]) => `${name}: ${fleetShareCount(usage)}, ${partitionSafeShareCount(usage)}`,
    )
    expect(shares).toMatchInlineSnapshot(`
      [
        "a single instance: 1, 1",
        "one of seven, all active: 7, 7",
        "one of twelve active of 195: 12, 98",
        "one of 195 that stands by: 195, 195",
        "one of 195 with work though it stands by: 13, 98",
      ]
    `)
  })

  it('is not exceeded by the instances that use it, and hardly by one that begins to', () => {
    const users = 13
    const usedShare =
      users / fleetShareCount({ isSelfUsing: true, usingOthers: users - 1, others: 194 })
    const newUserShare =
      1 / fleetShareCount({ isSelfUsing: false, usingOthers: users, others: 194 })
    expect(usedShare).toBeLessThanOrEqual(1)
    expect(newUserShare).toBeLessThan(0.01)
  })
})

describe('a holding', () => {
  it.each([
    [8, 8 * 12],
    [12, 12 * 40],
    [26, 26 * 40],
    [190, 190 * 40],
  ])('shared by %i instances is recorded in time with all others', (inOneBudget, inAll) => {
    const bounds = { writesPerSecond: 3_200, partitionWritesPerSecond: 150 }
    const milliseconds = recordInterval({ inAll, inOneBudget }, bounds)
    expect((inAll * 1_000) / milliseconds).toBeLessThanOrEqual(0.3 * 3_200 + 1)
    expect((inOneBudget * 1_000) / milliseconds).toBeLessThanOrEqual(0.3 * 150 + 1)
    expect(Math.round(milliseconds)).toMatchSnapshot()
  })
})
