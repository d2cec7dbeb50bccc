import { describe, expect, it } from 'vitest'
import { WeakProcessorReplay } from '@rackwalk/stand-ins'
import type { WeakProcessorOutcome, WeakProcessorPolicy } from '@rackwalk/stand-ins'

/**
 * Guards against the collapse of a weak instance that can handle 78 requests per second and receives more. Requests wait in
 * the accept queue, invisible to the process, until their callers give up and try again.
 */

const CAPACITY_PER_SECOND = 78
const SEEDS = [1, 2, 3]
const WITHOUT_RULES: WeakProcessorPolicy = {
  seesDelay: true,
  seesAcceptWait: false,
  seesAbandoned: false,
  confirmsCallers: false,
  pausesListener: false,
  others: { count: 0, overloaded: 0 },
}
const WITH_RULES: WeakProcessorPolicy = {
  seesDelay: true,
  seesAcceptWait: true,
  seesAbandoned: true,
  confirmsCallers: true,
  pausesListener: true,
  others: { count: 0, overloaded: 0 },
}

const WITH_OTHER_INSTANCES: WeakProcessorPolicy = {
  ...WITH_RULES,
  others: { count: 7, overloaded: 0 },
}

/** Returns the outcomes per second at the given multiples of the capacity, averaged over seeds. */
function play(policy: WeakProcessorPolicy, times: number, laterTimes = times, callersMove = true) {
  const load = {
    burst: CAPACITY_PER_SECOND * times,
    burstMilliseconds: 4_000,
    usual: CAPACITY_PER_SECOND * laterTimes,
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

describe('an instance that receives more than its processor can handle', () => {
  it('serves as many requests as without the rules if it is not overloaded', () => {
    const [before, now] = [play(WITHOUT_RULES, 0.9), play(WITH_RULES, 0.9)]
    // The instance's five probe connections per second use a part of its processor.
    expect(now.served).toBeGreaterThan(0.98 * before.served)
    expect([now.refused, now.left, now.sentInVain]).toEqual([0, 0, 0])
  })

  it('keeps serving at twice its capacity and forwards almost no abandoned requests', () => {
    expect([play(WITHOUT_RULES, 2), play(WITH_RULES, 2)]).toMatchInlineSnapshot(`
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
    expect(play(WITH_RULES, 2).served).toBeGreaterThanOrEqual(0.35 * CAPACITY_PER_SECOND)
    expect(play(WITH_RULES, 2).left).toBeLessThan(0.02 * CAPACITY_PER_SECOND * 2)
    expect(play(WITH_RULES, 2).sentInVain).toBeLessThan(0.02 * CAPACITY_PER_SECOND * 2)
  })

  it('recovers after an overload', () => {
    const usual = 0.8
    expect([play(WITHOUT_RULES, 4, usual), play(WITH_RULES, 4, usual)]).toMatchInlineSnapshot(`
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
    expect(play(WITH_RULES, 4, usual).served).toBeGreaterThan(0.9 * usual * CAPACITY_PER_SECOND)
  })
})

describe('a team whose callers all stay with one weak instance', () => {
  /** Returns the share of requests that any instance serves, at the given multiple of the capacity. */
  function servedShare(policy: WeakProcessorPolicy, times: number): number {
    const load = {
      burst: CAPACITY_PER_SECOND * times,
      burstMilliseconds: 4_000,
      usual: CAPACITY_PER_SECOND * times,
      callersMove: true,
    }
    const outcomes = SEEDS.map(seed => new WeakProcessorReplay(policy, load, seed).run())
    const sum = (of: (outcome: WeakProcessorOutcome) => number) =>
      outcomes.reduce((total, outcome) => total + of(outcome), 0)
    const share =
      sum(({ served, servedElsewhere }) => served + servedElsewhere) / sum(({ asked }) => asked)
    // Requests that were waiting at the start of the counted time may be served within it, so the share may exceed 1.
    return Math.min(1, Number(share.toFixed(2)))
  }

  it('is served while other instances have capacity', () => {
    const times = [1, 2, 4]
    const stays = times.map(count =>
      servedShare({ ...WITH_OTHER_INSTANCES, pausesListener: false }, count),
    )
    const moves = times.map(count => servedShare(WITH_OTHER_INSTANCES, count))
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

  it('does not fill the link with bodies of refused requests', () => {
    const inVain = (policy: WeakProcessorPolicy) => {
      const { refused, left } = play(policy, 2)
      return refused + left
    }
    const stays = inVain({ ...WITH_OTHER_INSTANCES, pausesListener: false })
    expect({ stays, moves: inVain(WITH_OTHER_INSTANCES) }).toMatchInlineSnapshot(`
      {
        "moves": 12,
        "stays": 279,
      }
    `)
    expect(inVain(WITH_OTHER_INSTANCES)).toBeLessThan(0.1 * stays)
  })

  it('is served up to the capacity of that instance even if its callers stay', () => {
    const served = (policy: WeakProcessorPolicy, times: number) =>
      play(policy, times, times, false).served
    const figures = [1, 2, 4].map(times => ({
      times,
      refused: served({ ...WITH_OTHER_INSTANCES, pausesListener: false }, times),
      turnedAway: served(WITH_OTHER_INSTANCES, times),
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
    for (const { turnedAway } of figures)
      expect(turnedAway).toBeGreaterThan(0.8 * CAPACITY_PER_SECOND)
  })

  it('is served as without pauses of the listener if no other instance has capacity', () => {
    const alone = [
      { ...WITH_RULES, others: { count: 0, overloaded: 0 } },
      { ...WITH_RULES, others: { count: 7, overloaded: 4 } },
    ]
    const without = { ...WITH_RULES, pausesListener: false }
    for (const policy of alone) {
      expect(servedShare(policy, 2)).toBe(servedShare(without, 2))
    }
  })
})
