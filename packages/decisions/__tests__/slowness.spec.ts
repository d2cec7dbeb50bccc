import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
  baselineEventInterval,
  nextEventInterval,
  nextPace,
  paceSlowness,
  slownessFactor,
} from '@rackwalk/decisions'

/** How slow an endpoint is relative to the others of its service. */

describe('the slowness of an endpoint', () => {
  it.each([
    ['alone', 20, []],
    ['as quick as the others', 20, [20, 20, 20]],
    ['quicker', 15, [20, 20, 20]],
    ['slower', 26, [20, 20, 20, 26]],
    ['slow among slow ones', 80, [20, 80, 80, 80]],
    ['not timed yet', undefined, [20, 20]],
  ] as const)('that is %s', (_, interval, intervals) => {
    expect(slownessFactor(interval, baselineEventInterval(intervals))).toMatchSnapshot()
  })

  it('follows the shortest intervals, and an endpoint that becomes slow', () => {
    let interval: number | undefined
    for (let round = 0; round < 50; round += 1) {
      for (const observed of [20, 24, 60, 22, 90]) interval = nextEventInterval(interval, observed)
    }
    const usual = Math.round(interval ?? 0)
    for (let count = 0; count < 100; count += 1) interval = nextEventInterval(interval, 80)
    expect([usual, Math.round(interval ?? 0)]).toMatchInlineSnapshot(`
      [
        26,
        77,
      ]
    `)
  })

  it('is 1 or more, and its interval stays within those observed', () => {
    const intervals = fc.array(fc.double({ min: 1, max: 1_000, noNaN: true }), { minLength: 1 })
    fc.assert(
      fc.property(intervals, observed => {
        let known: number | undefined
        for (const interval of observed) known = nextEventInterval(known, interval)
        expect(known).toBeGreaterThanOrEqual(Math.min(...observed) - 1e-9)
        expect(known).toBeLessThanOrEqual(Math.max(...observed) + 1e-9)
        expect(slownessFactor(known, baselineEventInterval(observed))).toBeGreaterThanOrEqual(1)
      }),
    )
  })
})

describe('the slowness that an endpoint reports', () => {
  it('is 1 without a report, at the normal pace and at a faster one', () => {
    expect(paceSlowness(undefined, 50)).toBe(1)
    expect(paceSlowness(nextPace(undefined, 100, 0), 0)).toBe(1)
    expect(paceSlowness(nextPace(undefined, 40, 0), 0)).toBe(1)
  })

  // Guards against an old report that keeps requests away from an endpoint that is fast again.
  it('ages towards 1', () => {
    const known = nextPace(undefined, 300, 0)
    const slownesses = [0, 300, 600, 6_000].map(now => paceSlowness(known, now).toFixed(2))
    expect(slownesses).toEqual(['3.00', '2.00', '1.50', '1.00'])
  })

  // Guards against a single report that decides alone, and against old reports that outweigh it.
  it('averages reports in quick succession, and forgets old ones', () => {
    const known = nextPace(undefined, 300, 0)
    expect(nextPace(known, 100, 0)).toEqual({ pace: 140, at: 0 })
    expect(nextPace(known, 100, 300)).toEqual({ pace: 120, at: 300 })
    expect(nextPace(known, 100, 60_000).pace).toBeCloseTo(100)
  })

  it('is bounded, whatever is reported', () => {
    const paces = fc.array(fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }), { minLength: 1 })
    fc.assert(
      fc.property(paces, fc.nat(1_000), (reported, step) => {
        let known
        for (const [index, pace] of reported.entries()) known = nextPace(known, pace, index * step)
        const slowness = paceSlowness(known, reported.length * step)
        expect(slowness).toBeGreaterThanOrEqual(1)
        expect(slowness).toBeLessThanOrEqual(10)
      }),
    )
  })
})
