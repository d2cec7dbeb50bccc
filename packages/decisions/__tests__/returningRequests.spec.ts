import { describe, expect, it } from 'vitest'
import { ProcessorLoadShedder, ReturningRequests } from '@rackwalk/decisions'
import { SeededRandom } from '@rackwalk/shared'

/**
 * Guards against callers that are refused twice: they have waited for nothing, while new callers are served in their
 * place.
 */

const WAIT_MILLISECONDS = 1_000
const REMAINING_MILLISECONDS = 10_000

function refusedAt(now: number, remaining = REMAINING_MILLISECONDS) {
  const returning = new ReturningRequests()
  returning.noteRefused('request', { wait: WAIT_MILLISECONDS, remaining }, now)
  return returning
}

describe('a request that was refused', () => {
  it('is recognized once its caller has waited as told, and only once', () => {
    const returning = refusedAt(0)
    expect(returning.takeReturning('request', 950)).toBe(true)
    expect(returning.takeReturning('request', 960)).toBe(false)
  })

  it('counts as new if its caller comes back earlier, or very late', () => {
    expect(refusedAt(0).takeReturning('request', 300)).toBe(false)
    expect(refusedAt(0).takeReturning('request', 7_000)).toBe(false)
  })

  it('is recognized earlier if its caller has less time than it was told to wait', () => {
    expect(refusedAt(0, 900).takeReturning('request', 300)).toBe(true)
  })

  it('is forgotten, the oldest first, in a flood of refusals', () => {
    const returning = refusedAt(0)
    for (let index = 0; index < 5_000; index += 1) {
      returning.noteRefused(`other ${index}`, { wait: WAIT_MILLISECONDS, remaining: 9_000 }, 1)
    }
    expect(returning.takeReturning('request', 1_000)).toBe(false)
    expect(returning.takeReturning('other 4999', 1_001)).toBe(true)
  })
})

interface Outcome {
  refusedTwice: number
  served: number
}

/**
 * Replays a load of which `refusedShare` can't be served: each refused caller comes back once, after a second. Without the
 * rule, a returning request is refused like a new one.
 */
function replay(refusedShare: number, hasRule: boolean): Outcome {
  const random = new SeededRandom(3)
  const shedder = new ProcessorLoadShedder()
  const returning = new ReturningRequests()
  const outcome = { refusedTwice: 0, served: 0 }
  while (shedder.shedShare < refusedShare) {
    shedder.noteSample({ delayMilliseconds: 100, acceptMilliseconds: 0, abandonedShare: 0 })
  }
  const back: { key: string; due: number }[] = []
  const ask = (key: string, now: number, isBack: boolean) => {
    const isReturning = hasRule && returning.takeReturning(key, now)
    if (shedder.admits({ priority: 0, answerTokens: 300, isReturning }, random.next())) {
      outcome.served += 1
      return
    }
    if (isBack) outcome.refusedTwice += 1
    else back.push({ key, due: now + WAIT_MILLISECONDS })
    returning.noteRefused(key, { wait: WAIT_MILLISECONDS, remaining: REMAINING_MILLISECONDS }, now)
  }
  for (let now = 0; now < 20_000; now += 10) {
    while ((back[0]?.due ?? Number.POSITIVE_INFINITY) <= now) {
      ask(back.shift()?.key ?? '', now, true)
    }
    ask(`request ${now}`, now, false)
  }
  return outcome
}

it.each([0.2, 0.4])(
  'callers of whom a share of %s is refused are hardly ever refused twice',
  share => {
    const [before, now] = [replay(share, false), replay(share, true)]
    expect(before.refusedTwice).toBeGreaterThan(0.5 * share * share * 2_000)
    expect(now.refusedTwice).toBeLessThan(0.1 * before.refusedTwice)
    expect(now.served).toBeGreaterThan(0.97 * before.served)
  },
)
