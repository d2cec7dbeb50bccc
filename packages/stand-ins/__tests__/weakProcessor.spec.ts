import { describe, expect, it } from 'vitest'
import { WeakProcessorReplay } from '@rackwalk/stand-ins'
import type { WeakProcessorPolicy } from '@rackwalk/stand-ins'

/**
 * The callers of a team stay with one weak instance, which bears 78 requests a second: more come than that,
 * wait unseen before the instance, leave and come again.
 */

const BORNE = 78
const SEEDS = [1, 2, 3]
const BEFORE: WeakProcessorPolicy = {
  seesDelay: true,
  seesAbandoned: false,
  confirmsCallers: false,
}
const NOW: WeakProcessorPolicy = { seesDelay: true, seesAbandoned: true, confirmsCallers: true }

/** What became of requests at so many times what is borne, summed over seeds. */
function play(policy: WeakProcessorPolicy, times: number, laterTimes = times) {
  const load = { burst: BORNE * times, burstMilliseconds: 4_000, usual: BORNE * laterTimes }
  const outcomes = SEEDS.map(seed => new WeakProcessorReplay(policy, load, seed).run())
  const sum = (what: keyof (typeof outcomes)[number]) =>
    outcomes.reduce((total, outcome) => total + outcome[what], 0)
  const seconds = 12 * SEEDS.length
  const [served, refused, left, sentInVain] = [
    sum('served'),
    sum('refused'),
    sum('left'),
    sum('sentInVain'),
  ].map(count => Math.round(count / seconds))
  return { served, refused, left, sentInVain }
}

describe('an instance that gets more than its processor bears', () => {
  it('serves as before what it bears', () => {
    expect(play(NOW, 0.9)).toEqual(play(BEFORE, 0.9))
  })

  it('goes on serving at twice that, where it served nobody, and sends next to nothing on in vain', () => {
    expect([play(BEFORE, 2), play(NOW, 2)]).toMatchInlineSnapshot(`
      [
        {
          "left": 313,
          "refused": 0,
          "sentInVain": 114,
          "served": 0,
        },
        {
          "left": 143,
          "refused": 139,
          "sentInVain": 1,
          "served": 20,
        },
      ]
    `)
    expect(play(NOW, 2).served).toBeGreaterThanOrEqual(0.25 * BORNE)
    expect(play(NOW, 2).sentInVain).toBeLessThan(0.02 * BORNE * 2)
  })

  it('comes back when what came too much is over', () => {
    const usual = 0.8
    expect([play(BEFORE, 4, usual), play(NOW, 4, usual)]).toMatchInlineSnapshot(`
      [
        {
          "left": 127,
          "refused": 0,
          "sentInVain": 114,
          "served": 0,
        },
        {
          "left": 3,
          "refused": 3,
          "sentInVain": 0,
          "served": 73,
        },
      ]
    `)
    expect(play(NOW, 4, usual).served).toBeGreaterThan(0.9 * usual * BORNE)
  })
})
