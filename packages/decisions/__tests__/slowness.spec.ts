import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { nextEventInterval, slownessFactor, baselineEventInterval } from '@rackwalk/decisions'

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
