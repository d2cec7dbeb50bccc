import { describe, expect, it } from 'vitest'
import { SeededRandom } from '@rackwalk/shared'
import { SAMPLE_INTERVAL_MILLISECONDS, ProcessorLoadShedder } from '@rackwalk/decisions'
import type { ProcessorSample, ShedRank } from '@rackwalk/decisions'

/**
 * The callers of one team stay with a weak instance and send twice what its processor can serve.
 * The load is replayed as one queue on virtual time; each request has its work and a goal after
 * which its answer is too late.
 */

const URGENT: ShedRank = { priority: 0, answerTokens: 30 }
const LONG: ShedRank = { priority: 2, answerTokens: 280 }
const PLAIN: ShedRank = { priority: 2, answerTokens: 0 }
const KINDS = [
  { name: 'urgent', rank: URGENT, workMilliseconds: 6, share: 0.3 },
  { name: 'plain', rank: PLAIN, workMilliseconds: 4, share: 0.4 },
  { name: 'long', rank: LONG, workMilliseconds: 14, share: 0.3 },
] as const
const GOAL_MILLISECONDS = 500
const RUN_MILLISECONDS = 20_000

/** A sample that shows nothing but the delay of a timer. */
function sampleOf(delayMilliseconds: number): ProcessorSample {
  return { delayMilliseconds, acceptMilliseconds: 0, abandonedShare: 0 }
}

interface Outcome {
  received: number
  inTime: number
  late: number
  refused: number
}

/**
 * Requests arrive at `load` times what the processor can serve; without a shedder all are admitted.
 */
function replay(load: number, shedder: ProcessorLoadShedder | undefined) {
  const random = new SeededRandom(7)
  const outcomes: Record<string, Outcome> = {}
  const meanWorkMilliseconds = KINDS.reduce(
    (sum, { workMilliseconds, share }) => sum + workMilliseconds * share,
    0,
  )
  const requestInterval = meanWorkMilliseconds / load
  let freeAt = 0
  let sampleAt = SAMPLE_INTERVAL_MILLISECONDS
  for (let now = 0; now < RUN_MILLISECONDS; now += requestInterval) {
    for (; sampleAt <= now; sampleAt += SAMPLE_INTERVAL_MILLISECONDS) {
      shedder?.noteSample(sampleOf(Math.max(0, freeAt - sampleAt)))
    }
    const drawn = random.next()
    const kind = drawn < 0.3 ? KINDS[0] : drawn < 0.7 ? KINDS[1] : KINDS[2]
    const outcome = (outcomes[kind.name] ??= { received: 0, inTime: 0, late: 0, refused: 0 })
    outcome.received += 1
    if (shedder?.admits(kind.rank, random.next()) === false) {
      outcome.refused += 1
      freeAt = Math.max(freeAt, now) + 1
      continue
    }
    freeAt = Math.max(freeAt, now) + kind.workMilliseconds
    if (freeAt - now <= GOAL_MILLISECONDS) outcome.inTime += 1
    else outcome.late += 1
  }
  return outcomes
}

function share(outcomes: Record<string, Outcome>, name: string, what: keyof Outcome): number {
  const outcome = outcomes[name]
  return outcome === undefined ? Number.NaN : outcome[what] / outcome.received
}

describe('a processor that gets twice the load it can serve', () => {
  it('serves urgent work in time, and refuses the longest of the least urgent work', () => {
    const outcomes = replay(2, new ProcessorLoadShedder())
    // Without a shedder all answers are late after the first second.
    expect(share(replay(2, undefined), 'urgent', 'inTime')).toBeLessThan(0.1)
    expect(share(outcomes, 'urgent', 'inTime')).toBeGreaterThan(0.8)
    expect(share(outcomes, 'plain', 'inTime')).toBeGreaterThan(0.5)
    expect(share(outcomes, 'long', 'refused')).toBeGreaterThan(0.6)
    expect(share(outcomes, 'urgent', 'refused')).toBeLessThan(0.1)
  })

  it('admits few requests whose answers come late', () => {
    const outcomes = replay(2, new ProcessorLoadShedder())
    for (const { name } of KINDS) expect(share(outcomes, name, 'late')).toBeLessThan(0.15)
  })
})

describe('a processor that can serve its load', () => {
  it('refuses nothing', () => {
    const outcomes = replay(0.7, new ProcessorLoadShedder())
    for (const { name } of KINDS) expect(share(outcomes, name, 'refused')).toBe(0)
  })

  it('refuses nothing after a single pause of the process', () => {
    const shedder = new ProcessorLoadShedder()
    for (const delay of [0, 0, 5_000, 0, 0, 0]) shedder.noteSample(sampleOf(delay))
    expect([shedder.shedShare, shedder.admits(LONG, 0)]).toEqual([0, true])
  })

  it('admits everything again after its recovery time without a queue', () => {
    const shedder = new ProcessorLoadShedder()
    for (let sample = 0; sample < 20; sample += 1) shedder.noteSample(sampleOf(300))
    const recovery = shedder.recoveryMilliseconds
    expect(shedder.shedShare).toBeGreaterThan(0.5)
    for (let time = 0; time < recovery; time += SAMPLE_INTERVAL_MILLISECONDS)
      shedder.noteSample(sampleOf(0))
    expect(shedder.shedShare).toBeCloseTo(0)
  })
})
