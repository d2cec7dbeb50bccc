import { describe, expect, it } from 'vitest'
import { demandValidSince, budgetLenders, budgetSharers } from '@rackwalk/decisions'

/** Which instances share a budget, and which are asked for tokens. */

describe('the sharers of a budget', () => {
  it('are those that serve callers and those whose rows show demand, each once', () => {
    expect(budgetSharers(['a', 'b'], ['b', 'c'])).toEqual(['a', 'b', 'c'])
  })

  it('count by the demand in their rows for 15 s, and never before a time of the store is known', () => {
    expect([demandValidSince(20_000), demandValidSince(undefined)]).toEqual([5_000, Infinity])
  })
})

describe('the lenders of a budget', () => {
  it.each([
    ['lately', 4_999, 'b'],
    ['long ago', 5_000, 'b, a, c'],
    ['never', undefined, 'b, a, c'],
  ] as const)('where rows were seen %s', (_, sightAge, expected) => {
    expect(budgetLenders(['b'], ['a', 'b', 'c'], sightAge).join(', ')).toBe(expected)
  })
})
