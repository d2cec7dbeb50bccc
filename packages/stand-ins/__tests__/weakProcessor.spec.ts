import { describe, expect, it } from 'vitest'
import { WeakProcessorReplay } from '@rackwalk/stand-ins'
import type { WeakProcessorOutcome, WeakProcessorPolicy } from '@rackwalk/stand-ins'

/**
 * The callers of a team stay with one weak instance, which bears 78 requests a second: more come than that,
 * wait unseen before the instance, leave and come again.
 */

const BORNE = 78
const SEEDS = [1, 2, 3]
const BEFORE: WeakProcessorPolicy = {
  seesDelay: true,
  seesAcceptWait: false,
  seesAbandoned: false,
  confirmsCallers: false,
  pausesListener: false,
  others: { count: 0, overloaded: 0 },
}
const NOW: WeakProcessorPolicy = {
  seesDelay: true,
  seesAcceptWait: true,
  seesAbandoned: true,
  confirmsCallers: true,
  pausesListener: true,
  others: { count: 0, overloaded: 0 },
}

const BESIDE_OTHERS: WeakProcessorPolicy = { ...NOW, others: { count: 7, overloaded: 0 } }

/** What became of requests at so many times what is borne, summed over seeds. */
function play(policy: WeakProcessorPolicy, times: number, laterTimes = times, callersMove = true) {
  const load = {
    burst: BORNE * times,
    burstMilliseconds: 4_000,
    usual: BORNE * laterTimes,
    callersMove,
  }
  const outcomes = SEEDS.map(seed => new WeakProcessorReplay(policy, load, seed).run())
  const total = (what: keyof WeakProcessorOutcome) =>
    outcomes.reduce((sum, outcome) => sum + outcome[what], 0)
  const perSecond = (what: keyof WeakProcessorOutcome) =>
    Math.round(total(what) / (12 * SEEDS.length))
  return {
    served: perSecond('served'),
    refused: perSecond('refused'),
    left: perSecond('left'),
    sentInVain: perSecond('sentInVain'),
  }
}

describe('an instance that gets more than its processor bears', () => {
  it('serves as before what it bears', () => {
    const [before, now] = [play(BEFORE, 0.9), play(NOW, 0.9)]
    // Five connections a second to itself take a part of its processor.
    expect(now.served).toBeGreaterThan(0.98 * before.served)
    expect([now.refused, now.left, now.sentInVain]).toEqual([0, 0, 0])
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
          "left": 0,
          "refused": 279,
          "sentInVain": 0,
          "served": 28,
        },
      ]
    `)
    expect(play(NOW, 2).served).toBeGreaterThanOrEqual(0.35 * BORNE)
    expect(play(NOW, 2).left).toBeLessThan(0.02 * BORNE * 2)
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
          "left": 0,
          "refused": 36,
          "sentInVain": 0,
          "served": 63,
        },
      ]
    `)
    expect(play(NOW, 4, usual).served).toBeGreaterThan(0.9 * usual * BORNE)
  })
})

describe('a team whose callers all stay with one weak instance', () => {
  /** The share of its requests that some instance serves, at so many times what that instance bears. */
  function servedShare(policy: WeakProcessorPolicy, times: number): number {
    const load = {
      burst: BORNE * times,
      burstMilliseconds: 4_000,
      usual: BORNE * times,
      callersMove: true,
    }
    const outcomes = SEEDS.map(seed => new WeakProcessorReplay(policy, load, seed).run())
    const sum = (of: (outcome: WeakProcessorOutcome) => number) =>
      outcomes.reduce((total, outcome) => total + of(outcome), 0)
    const share =
      sum(({ served, servedElsewhere }) => served + servedElsewhere) / sum(({ asked }) => asked)
    // Callers that waited as the counted time began are served within it.
    return Math.min(1, Number(share.toFixed(2)))
  }

  it('is not starved while other instances have room', () => {
    const times = [1, 2, 4]
    const stays = times.map(count =>
      servedShare({ ...BESIDE_OTHERS, pausesListener: false }, count),
    )
    const moves = times.map(count => servedShare(BESIDE_OTHERS, count))
    expect({ stays, moves }).toMatchInlineSnapshot(`
      {
        "moves": [
          1,
          0.97,
          1,
        ],
        "stays": [
          0.98,
          0.18,
          0,
        ],
      }
    `)
    expect(Math.min(...moves)).toBeGreaterThan(0.9)
  })

  it('does not fill the link with bodies of requests that are refused', () => {
    const inVain = (policy: WeakProcessorPolicy) => {
      const { refused, left } = play(policy, 2)
      return refused + left
    }
    const stays = inVain({ ...BESIDE_OTHERS, pausesListener: false })
    expect({ stays, moves: inVain(BESIDE_OTHERS) }).toMatchInlineSnapshot(`
      {
        "moves": 12,
        "stays": 279,
      }
    `)
    expect(inVain(BESIDE_OTHERS)).toBeLessThan(0.1 * stays)
  })

  it('is served what that instance bears though its callers stay', () => {
    const served = (policy: WeakProcessorPolicy, times: number) =>
      play(policy, times, times, false).served
    const figures = [1, 2, 4].map(times => ({
      times,
      refused: served({ ...BESIDE_OTHERS, pausesListener: false }, times),
      turnedAway: served(BESIDE_OTHERS, times),
    }))
    expect(figures).toMatchInlineSnapshot(`
      [
        {
          "refused": 76,
          "times": 1,
          "turnedAway": 76,
        },
        {
          "refused": 28,
          "times": 2,
          "turnedAway": 70,
        },
        {
          "refused": 0,
          "times": 4,
          "turnedAway": 69,
        },
      ]
    `)
    for (const { turnedAway } of figures) expect(turnedAway).toBeGreaterThan(0.8 * BORNE)
  })

  it('is served as before where nobody else has room', () => {
    const alone = [
      { ...NOW, others: { count: 0, overloaded: 0 } },
      { ...NOW, others: { count: 7, overloaded: 4 } },
    ]
    const without = { ...NOW, pausesListener: false }
    for (const policy of alone) {
      expect(servedShare(policy, 2)).toBe(servedShare(without, 2))
    }
  })
})
