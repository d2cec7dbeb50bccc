import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { AdviceGossip, EndpointAdvice } from '@rackwalk/decisions'
import { EndpointAdviceStore } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointStart } from '@rackwalk/shared'

/** What an instance remembers of what endpoints said, and what it tells the others. */

const START = asId<EndpointStart>('endpoint-1')
const SAYS_NOTHING: EndpointAdvice = {
  rate: 'none',
  isLeaving: false,
  restMilliseconds: undefined,
  faults: [],
}

function create() {
  const clock = new VirtualClock()
  const told: AdviceGossip[] = []
  const changes: (string | undefined)[] = []
  const advices = new EndpointAdviceStore({
    clock,
    onChange: (_, said) => changes.push(said),
    broadcast: news => told.push(news),
  })
  return { clock, advices, told, changes }
}

function rate(requestsPerSecond: number): EndpointAdvice {
  return { ...SAYS_NOTHING, rate: requestsPerSecond }
}

describe('a rate that is remembered', () => {
  it('ends with an answer of its endpoint that names none, and the others are told', () => {
    const { advices, told, changes } = create()
    advices.note(START, rate(1.3), true)
    advices.note(START, SAYS_NOTHING, true)
    expect(advices.of(START)?.requestsPerSecond).toBeUndefined()
    expect(told.map(({ requestsPerSecond }) => requestsPerSecond)).toEqual([1.3, undefined])
    expect(changes).toEqual(['takes 1.3 a second', undefined])
  })

  it('does not end with what is no answer of the endpoint, or can not be read', () => {
    const { advices } = create()
    advices.note(START, rate(1.3), true)
    advices.note(START, SAYS_NOTHING, false)
    advices.note(START, { ...SAYS_NOTHING, rate: 'unreadable', faults: ['rate'] }, true)
    expect(advices.of(START)?.requestsPerSecond).toBe(1.3)
  })

  it('ends with the start, and a row that comes again changes nothing', () => {
    const { advices } = create()
    advices.note(START, rate(1.3), true)
    advices.forget(START)
    expect(advices.of(START)).toBeUndefined()
  })

  it('is told once where it stays, at once where it is stricter, and else now and then', async () => {
    const { clock, advices, told } = create()
    for (let count = 0; count < 100; count += 1) {
      advices.note(START, rate(2 + count / 100), true)
      await clock.advance(10)
    }
    expect(told.length).toBeLessThanOrEqual(3)
    const before = told.length
    advices.note(START, rate(0.5), true)
    advices.note(START, rate(0.5), true)
    expect(told.slice(before).map(({ requestsPerSecond }) => requestsPerSecond)).toEqual([0.5])
  })

  it('is what the newest answer said, in whatever order news of answers come', () => {
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
        // The own answer is the newest, or else one of the same moment.
        const newest = all.find(({ ageMilliseconds }) => ageMilliseconds === 0)
        const expected = newest === undefined ? 5 : newest.requestsPerSecond
        expect(advices.of(START)?.requestsPerSecond).toBe(expected)
      }),
      { seed: 7 },
    )
  })

  it('fills no memory without bound', () => {
    const { advices } = create()
    for (let count = 0; count < 10_000; count += 1) {
      advices.note(asId(`endpoint-${count}`), rate(1), true)
    }
    expect(advices.rateLimitedCount).toBeLessThanOrEqual(4_096)
  })
})
