import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { callerAddresses } from '@rackwalk/decisions'

interface Instance {
  readonly name: number
  readonly capacity: number
  readonly requestsPerSecond: number
}

const ANSWERS = 20_000

function fleet(capacities: readonly number[], load: readonly number[] = []): Instance[] {
  return capacities.map((capacity, name) => ({
    name,
    capacity,
    requestsPerSecond: load[name] ?? 0,
  }))
}

/** The expected share of each instance over answers at evenly spaced random numbers. */
function shares(active: readonly Instance[]): number[] {
  const sums = active.map(() => 0)
  for (let count = 0; count < ANSWERS; count += 1) {
    const named = callerAddresses(active, (count + 0.5) / ANSWERS)
    for (const { name } of named) sums[name] = (sums[name] ?? 0) + 1 / named.length / ANSWERS
  }
  return sums
}

function proportions(weights: readonly number[]): number[] {
  const sum = weights.reduce((left, right) => left + right, 0)
  return weights.map(weight => weight / sum)
}

function expectShares(active: readonly Instance[], expected: readonly number[]): void {
  for (const [index, share] of shares(active).entries()) {
    expect(share).toBeCloseTo(expected[index] ?? 0, 3)
  }
}

describe('the addresses of an answer', () => {
  // Guards against weak instances that get as many callers as strong ones.
  it.each([
    ['one weak stand-in', [20, 20, 20, 20, 20, 1]],
    ['two sizes', [1, 20, 1, 20, 1, 20]],
    ['one strongest', [30, 20, 20, 5]],
    ['several sizes', [3, 9, 7, 1, 5]],
    ['a strongest with half of all', [6, 1, 2, 3]],
  ])('give each instance its share: %s', (_, capacities) => {
    expectShares(fleet(capacities), proportions(capacities))
  })

  it('give each instance its share, whatever the capacities', () => {
    const capacities = fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 3, maxLength: 12 })
    fc.assert(
      fc.property(capacities, drawn => {
        const expected = proportions(drawn)
        fc.pre(Math.max(...expected) <= 0.5)
        expectShares(fleet(drawn), expected)
      }),
      { numRuns: 12, seed: 1 },
    )
  })

  it('give half to an instance with more than half of all capacity', () => {
    expectShares(fleet([100, 5, 10]), [1 / 2, 1 / 6, 1 / 3])
  })

  // Guards against more callers for an instance that callers with a fixed address already overload.
  it('give less to an instance that takes more than its capacity', () => {
    expectShares(fleet([20, 20, 20, 10], [5, 40, 20, 10]), proportions([20, 10, 20, 10]))
  })

  // Guards against a change for deployments whose instances are all the same.
  it('are all instances in the same order where capacities are equal', () => {
    const chances = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })
    const loads = fc.array(fc.integer({ min: 0, max: 90 }), { maxLength: 70 })
    fc.assert(
      fc.property(loads, chances, (load, chance) => {
        const active = fleet(
          load.map(() => 40),
          load,
        )
        expect(callerAddresses(active, chance)).toEqual(active)
      }),
    )
  })

  // Guards against callers without a second address, and against a list that is no part of the active instances.
  it('are two or more different ones in the given order, for any numbers', () => {
    const instances = fc.array(
      fc.tuple(fc.double({ min: 0.5, max: 500, noNaN: true }), fc.integer({ min: 0, max: 900 })),
      { minLength: 2, maxLength: 70 },
    )
    const chances = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })
    fc.assert(
      fc.property(instances, chances, (drawn, chance) => {
        const active = fleet(
          drawn.map(([capacity]) => capacity),
          drawn.map(([, load]) => load),
        )
        const names = callerAddresses(active, chance).map(({ name }) => name)
        expect(names.length).toBeGreaterThanOrEqual(2)
        expect(names).toEqual([...new Set(names)].sort((left, right) => left - right))
      }),
    )
  })

  it.each([0, -1, Number.NaN, Number.POSITIVE_INFINITY])(
    'are all instances where a capacity is %d',
    capacity => {
      const active = fleet([20, capacity, 20])
      expect(callerAddresses(active, 0.99)).toEqual(active)
    },
  )

  it('are those that serve where fewer than two do', () => {
    expect(callerAddresses([], 0.5)).toEqual([])
    const [only] = fleet([20])
    expect(callerAddresses(only === undefined ? [] : [only], 0.5)).toEqual([only])
  })
})
