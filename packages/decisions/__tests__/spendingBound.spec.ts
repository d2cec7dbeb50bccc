import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { committedBound, strictWindowMilliseconds, timeUntilCommitted } from '@rackwalk/decisions'

/** What an instance may spend by its own row while the store is out of reach. */

const BOUND = {
  granted: 10_000,
  committed: 1_000,
  strictRate: 100,
  strictMilliseconds: 2_000,
  cutAfterMilliseconds: 2_000,
  cutBurst: 500,
  cutRate: 1_000,
}

describe('the spending bound of a row', () => {
  it('grows by the strict rate, then by a burst and the rate of a cut, up to what is held', () => {
    const times = [-5, 0, 1_000, 2_000, 2_001, 3_000, 5_000, 10_000, 60_000]
    const table = times.map(time => `${time} ms: ${committedBound(BOUND, time)}`)
    expect(table).toMatchInlineSnapshot(`
      [
        "-5 ms: 1000",
        "0 ms: 1000",
        "1000 ms: 1100",
        "2000 ms: 1200",
        "2001 ms: 1701",
        "3000 ms: 2700",
        "5000 ms: 4700",
        "10000 ms: 9700",
        "60000 ms: 10000",
      ]
    `)
  })

  it('returns when a sum may be committed, or that it never may', () => {
    const sums = [900, 1_100, 1_200, 1_400, 3_000, 10_000, 10_001]
    const table = sums.map(sum => `${sum}: ${timeUntilCommitted(BOUND, sum)}`)
    expect(table).toMatchInlineSnapshot(`
      [
        "900: 0",
        "1100: 1000",
        "1200: 2000",
        "1400: 2001",
        "3000: 3300",
        "10000: 10300",
        "10001: undefined",
      ]
    `)
  })

  it('allows a sum at the time that it returns, and not a second before', () => {
    const sums = fc.integer({ min: 1_001, max: 10_000 })
    fc.assert(
      fc.property(sums, sum => {
        const time = timeUntilCommitted(BOUND, sum) ?? Number.NaN
        expect(committedBound(BOUND, Math.ceil(time) + 1)).toBeGreaterThanOrEqual(sum)
        expect(committedBound(BOUND, time - 1_000)).toBeLessThan(sum)
      }),
      { seed: 1 },
    )
  })

  it('does not grow between the strict window and the evidence of a cut', () => {
    const bound = { ...BOUND, strictMilliseconds: 750 }
    const times = [750, 1_000, 2_000, 2_001]
    expect(times.map(time => committedBound(bound, time))).toEqual([1_075, 1_075, 1_075, 1_576])
    expect(timeUntilCommitted(bound, 1_076)).toBe(2_001)
  })
})

describe('the spending bound of a row that limits what a cut allows', () => {
  const bound = { ...BOUND, cutTokens: 6_000 }

  it('grows ever more slowly and leaves a part of the holding, however long the cut', () => {
    const times = [2_000, 2_001, 3_000, 5_000, 10_000, 60_000]
    const table = times.map(time => `${time} ms: ${committedBound(bound, time)}`)
    expect(table).toMatchInlineSnapshot(`
      [
        "2000 ms: 1200",
        "2001 ms: 1680",
        "3000 ms: 2527",
        "5000 ms: 3851",
        "10000 ms: 5744",
        "60000 ms: 7199",
      ]
    `)
  })

  it('is never above that of a row without the limit, which earlier versions assume', () => {
    const times = fc.integer({ min: 0, max: 100_000 })
    fc.assert(
      fc.property(times, time => {
        expect(committedBound(bound, time)).toBeLessThanOrEqual(committedBound(BOUND, time))
      }),
      { seed: 1 },
    )
  })

  it('allows a sum at the time that it returns, and not a second before', () => {
    const sums = fc.integer({ min: 1_001, max: 7_190 })
    fc.assert(
      fc.property(sums, sum => {
        const time = timeUntilCommitted(bound, sum) ?? Number.NaN
        expect(committedBound(bound, Math.ceil(time) + 1)).toBeGreaterThanOrEqual(sum)
        expect(committedBound(bound, time - 1_000)).toBeLessThan(sum)
      }),
      { seed: 1 },
    )
  })

  it('never allows the part that it leaves to be committed', () => {
    expect(timeUntilCommitted(bound, 7_200)).toBeUndefined()
    expect(timeUntilCommitted({ ...bound, cutTokens: 0 }, 1_201)).toBeUndefined()
    expect(committedBound({ ...bound, cutTokens: 0 }, 60_000)).toBe(1_200)
  })
})

describe('the strict window of a row', () => {
  it('is shorter where the budget will soon be used up, and covers the next record', () => {
    const cases = [
      [60, 500],
      [14, 500],
      [11, 500],
      [8, 500],
      [0, 500],
      [0, 1_600],
    ] as const
    const table = cases.map(
      ([left, record]) => `${left} s, ${record}: ${strictWindowMilliseconds(left, record)}`,
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "60 s, 500: 2000",
        "14 s, 500: 2000",
        "11 s, 500: 1375",
        "8 s, 500: 750",
        "0 s, 500: 750",
        "0 s, 1600: 2000",
      ]
    `)
  })
})
