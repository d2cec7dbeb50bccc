import { describe, expect, it } from 'vitest'
import { SeededRandom } from '@rackwalk/shared'
import { SAMPLE_INTERVAL_MILLISECONDS, ProcessorLoadShedder } from '@rackwalk/decisions'
import type { ProcessorSample, ShedRank } from '@rackwalk/decisions'

/**
 * The callers of one team stay with a weak instance and send twice what its processor bears: replayed as
 * one queue on virtual time, each request with its work and the time after which it helps nobody.
 */

const URGENT: ShedRank = { priority: 0, answerTokens: 30 }
const LONG: ShedRank = { priority: 2, answerTokens: 280 }
const PLAIN: ShedRank = { priority: 2, answerTokens: 0 }
const KINDS = [
  { name: 'urgent', rank: URGENT, work: 6, share: 0.3 },
  { name: 'plain', rank: PLAIN, work: 4, share: 0.4 },
  { name: 'long', rank: LONG, work: 14, share: 0.3 },
] as const
const GOAL_MILLISECONDS = 500
const RUN_MILLISECONDS = 20_000

/** A look that shows nothing but the delay of a timer. */
function lookOf(delayMilliseconds: number): ProcessorSample {
  return { delayMilliseconds, acceptMilliseconds: 0, abandonedShare: 0 }
}

interface Outcome {
  asked: number
  inTime: number
  late: number
  refused: number
}

/** Requests come at `load` times what the processor bears; without a budget all are taken. */
function replay(load: number, budget: ProcessorLoadShedder | undefined) {
  const random = new SeededRandom(7)
  const outcomes: Record<string, Outcome> = {}
  const meanWork = KINDS.reduce((sum, { work, share }) => sum + work * share, 0)
  const pause = meanWork / load
  let freeAt = 0
  let lookAt = SAMPLE_INTERVAL_MILLISECONDS
  for (let now = 0; now < RUN_MILLISECONDS; now += pause) {
    for (; lookAt <= now; lookAt += SAMPLE_INTERVAL_MILLISECONDS) {
      budget?.noteSample(lookOf(Math.max(0, freeAt - lookAt)))
    }
    const drawn = random.next()
    const kind = drawn < 0.3 ? KINDS[0] : drawn < 0.7 ? KINDS[1] : KINDS[2]
    const outcome = (outcomes[kind.name] ??= { asked: 0, inTime: 0, late: 0, refused: 0 })
    outcome.asked += 1
    if (budget?.admits(kind.rank, random.next()) === false) {
      outcome.refused += 1
      freeAt = Math.max(freeAt, now) + 1
      continue
    }
    freeAt = Math.max(freeAt, now) + kind.work
    if (freeAt - now <= GOAL_MILLISECONDS) outcome.inTime += 1
    else outcome.late += 1
  }
  return outcomes
}

function share(outcomes: Record<string, Outcome>, name: string, what: keyof Outcome): number {
  const outcome = outcomes[name]
  return outcome === undefined ? Number.NaN : outcome[what] / outcome.asked
}

describe('a processor to which twice comes what it bears', () => {
  it('serves urgent work in time, and lets the longest of the least urgent go', () => {
    const outcomes = replay(2, new ProcessorLoadShedder())
    // All are late after the first second where nothing is let go.
    expect(share(replay(2, undefined), 'urgent', 'inTime')).toBeLessThan(0.1)
    expect(share(outcomes, 'urgent', 'inTime')).toBeGreaterThan(0.8)
    expect(share(outcomes, 'plain', 'inTime')).toBeGreaterThan(0.5)
    expect(share(outcomes, 'long', 'refused')).toBeGreaterThan(0.6)
    expect(share(outcomes, 'urgent', 'refused')).toBeLessThan(0.1)
  })

  it('keeps few waiting for an answer that comes late', () => {
    const outcomes = replay(2, new ProcessorLoadShedder())
    for (const { name } of KINDS) expect(share(outcomes, name, 'late')).toBeLessThan(0.15)
  })
})

describe('a processor that bears what comes', () => {
  it('refuses nothing', () => {
    const outcomes = replay(0.7, new ProcessorLoadShedder())
    for (const { name } of KINDS) expect(share(outcomes, name, 'refused')).toBe(0)
  })

  it('refuses nothing because it was paused once', () => {
    const budget = new ProcessorLoadShedder()
    for (const delay of [0, 0, 5_000, 0, 0, 0]) budget.noteSample(lookOf(delay))
    expect([budget.shedShare, budget.admits(LONG, 0)]).toEqual([0, true])
  })

  it('takes everything again some time after a queue has gone', () => {
    const budget = new ProcessorLoadShedder()
    for (let look = 0; look < 20; look += 1) budget.noteSample(lookOf(300))
    const relief = budget.recoveryMilliseconds
    expect(budget.shedShare).toBeGreaterThan(0.5)
    for (let time = 0; time < relief; time += SAMPLE_INTERVAL_MILLISECONDS)
      budget.noteSample(lookOf(0))
    expect(budget.shedShare).toBeCloseTo(0)
  })
})
