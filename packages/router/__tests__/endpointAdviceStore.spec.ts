import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { AdviceGossip, EndpointAdvice } from '@rackwalk/decisions'
import { EndpointAdviceStore } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointStart } from '@rackwalk/shared'

/** The advice of endpoints that an instance stores, and what it broadcasts. */

const START = asId<EndpointStart>('endpoint-1')
const NO_ADVICE: EndpointAdvice = {
  rate: 'none',
  isLeaving: false,
  restMilliseconds: undefined,
  faults: [],
}

function create() {
  const clock = new VirtualClock()
  const broadcasts: AdviceGossip[] = []
  const changes: (string | undefined)[] = []
  const advices = new EndpointAdviceStore({
    clock,
    onChange: (_, said) => changes.push(said),
    broadcast: gossip => broadcasts.push(gossip),
  })
  return { clock, advices, broadcasts, changes }
}

function rate(requestsPerSecond: number): EndpointAdvice {
  return { ...NO_ADVICE, rate: requestsPerSecond }
}

describe('a stored rate limit', () => {
  it('ends with an answer of its endpoint that names none, which is broadcast', () => {
    const { advices, broadcasts, changes } = create()
    advices.note(START, rate(1.3), true)
    advices.note(START, NO_ADVICE, true)
    expect(advices.of(START)?.requestsPerSecond).toBeUndefined()
    expect(broadcasts.map(({ requestsPerSecond }) => requestsPerSecond)).toEqual([1.3, undefined])
    expect(changes).toEqual(['takes 1.3 a second', undefined])
  })

  it("does not end with an answer that is not the endpoint's own, or with unreadable advice", () => {
    const { advices } = create()
    advices.note(START, rate(1.3), true)
    advices.note(START, NO_ADVICE, false)
    advices.note(START, { ...NO_ADVICE, rate: 'unreadable', faults: ['rate'] }, true)
    expect(advices.of(START)?.requestsPerSecond).toBe(1.3)
  })

  it('ends with the start', () => {
    const { advices } = create()
    advices.note(START, rate(1.3), true)
    advices.forget(START)
    expect(advices.of(START)).toBeUndefined()
  })

  it('is broadcast once if unchanged, at once if stricter, and at intervals otherwise', async () => {
    const { clock, advices, broadcasts } = create()
    for (let count = 0; count < 100; count += 1) {
      advices.note(START, rate(2 + count / 100), true)
      await clock.advance(10)
    }
    expect(broadcasts.length).toBeLessThanOrEqual(3)
    const before = broadcasts.length
    advices.note(START, rate(0.5), true)
    advices.note(START, rate(0.5), true)
    expect(broadcasts.slice(before).map(({ requestsPerSecond }) => requestsPerSecond)).toEqual([
      0.5,
    ])
  })

  it('is that of the newest answer, in whatever order gossip arrives', () => {
    const answers = fc.uniqueArray(
      fc.record({
        ageMilliseconds: fc.nat(5_000),
        requestsPerSecond: fc.option(fc.integer({ min: 1, max: 9 }), { nil: undefined }),
      }),
      { selector: ({ ageMilliseconds }) => ageMilliseconds, minLength: 1, maxLength: 8 },
    )
    fc.assert(
      fc.property(answers, all => {
        const { advices } = create()
        advices.note(START, rate(5), true)
        for (const answer of all) advices.observe({ start: START, ...answer })
        // The instance's own answer is the newest, or else gossip of the same moment.
        const newest = all.find(({ ageMilliseconds }) => ageMilliseconds === 0)
        const expected = newest === undefined ? 5 : newest.requestsPerSecond
        expect(advices.of(START)?.requestsPerSecond).toBe(expected)
      }),
      { seed: 7 },
    )
  })

  it('is kept for a bounded number of starts', () => {
    const { advices } = create()
    for (let count = 0; count < 10_000; count += 1) {
      advices.note(asId(`endpoint-${count}`), rate(1), true)
    }
    expect(advices.rateLimitedCount).toBeLessThanOrEqual(4_096)
  })
})
