import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { nextEventInterval, slownessFactor, baselineEventInterval } from '@rackwalk/decisions'

/** How slow an endpoint is beside the others of its service. */

describe('the slowness of an endpoint', () => {
  it.each([
    ['alone', 20, []],
    ['as quick as the others', 20, [20, 20, 20]],
    ['quicker', 15, [20, 20, 20]],
    ['slower', 26, [20, 20, 20, 26]],
    ['slow among slow ones', 80, [20, 80, 80, 80]],
    ['not timed yet', undefined, [20, 20]],
  ] as const)('that is %s', (_, pace, paces) => {
    expect(slownessFactor(pace, baselineEventInterval(paces))).toMatchSnapshot()
  })

  it('is told by the quickest paces, and follows an endpoint that turns slow', () => {
    let pace: number | undefined
    for (let round = 0; round < 50; round += 1) {
      for (const observed of [20, 24, 60, 22, 90]) pace = nextEventInterval(pace, observed)
    }
    const usual = Math.round(pace ?? 0)
    for (let count = 0; count < 100; count += 1) pace = nextEventInterval(pace, 80)
    expect([usual, Math.round(pace ?? 0)]).toMatchInlineSnapshot(`
      [
        26,
        77,
      ]
    `)
  })

  it('is 1 or more and follows no pace beyond those observed', () => {
    const paces = fc.array(fc.double({ min: 1, max: 1_000, noNaN: true }), { minLength: 1 })
    fc.assert(
      fc.property(paces, observed => {
        let known: number | undefined
        for (const pace of observed) known = nextEventInterval(known, pace)
        expect(known).toBeGreaterThanOrEqual(Math.min(...observed) - 1e-9)
        expect(known).toBeLessThanOrEqual(Math.max(...observed) + 1e-9)
        expect(slownessFactor(known, baselineEventInterval(observed))).toBeGreaterThanOrEqual(1)
      }),
    )
  })
})
