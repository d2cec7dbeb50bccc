import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { NO_ADVICE_HEADERS, parseAdvice } from '@rackwalk/decisions'
import type { RateQuota } from '@rackwalk/decisions'
import { EndpointAdviceStore, SendHistory, SendAdmission } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointStart } from '@rackwalk/shared'

/** Whether an endpoint may be sent something, after whatever it said and however long nobody heard of it. */

const LONGEST_REST_MILLISECONDS = 60_000
const ENDPOINTS = ['endpoint-1', 'endpoint-2', 'endpoint-3'].map(id => asId<EndpointStart>(id))

function create() {
  const clock = new VirtualClock()
  const advices = new EndpointAdviceStore({ clock, onChange: () => {}, broadcast: () => {} })
  const instances = ['instance-1', 'instance-2', 'instance-3']
  const permits = new SendAdmission({
    clock,
    advices,
    instance: () => 'instance-1',
    recordedInstances: () => instances.map(instance => ({ instance, isWorking: true })),
    boundsOf: () => undefined,
  })
  const subjects = ENDPOINTS.map(start => {
    const sends = new SendHistory(clock)
    const waitFor = (licence: RateQuota) => sends.waitFor(licence)
    return { start, service: 'models', coldMilliseconds: 0, waitFor, sends }
  })
  return { clock, advices, permits, subjects }
}

/** What endpoints may write, sense and nonsense. */
const heads = fc.record({
  endpoint: fc.nat(ENDPOINTS.length - 1),
  rates: fc.array(
    fc.record({
      text: fc.constantFrom('0', '0.01', '1.3', '1e9', 'x', ''),
      windowSeconds: fc.constant(1),
    }),
    { maxLength: 2 },
  ),
  rest: fc.option(fc.constantFrom('3', '604800', '-1', 'x', '99999999999'), { nil: undefined }),
  pause: fc.nat(5_000),
})

describe('endpoints that ask for whatever they like', () => {
  it('shut an instance out for no longer than is allowed', async () => {
    const property = fc.asyncProperty(fc.array(heads, { maxLength: 12 }), async all => {
      const { clock, advices, permits, subjects } = create()
      for (const { endpoint, rates, rest, pause } of all) {
        const start = ENDPOINTS[endpoint]
        if (start === undefined) continue
        const context = {
          wallTime: clock.wallTime(),
          longestRestMilliseconds: LONGEST_REST_MILLISECONDS,
        }
        advices.note(start, parseAdvice({ ...NO_ADVICE_HEADERS, rates, rest }, context), true)
        subjects[endpoint]?.sends.note()
        await clock.advance(pause)
      }
      // Each in the order of those that share a rate may ask after a while without a word.
      await clock.advance(LONGEST_REST_MILLISECONDS + 12_000)
      expect(subjects.every(subject => permits.allows(subject))).toBe(true)
    })
    await fc.assert(property, { seed: 7, numRuns: 60 })
  })

  it('are asked again at the time that a refusal tells', async () => {
    const { clock, advices, permits, subjects } = create()
    const [subject] = subjects
    if (subject === undefined) return
    const context = { wallTime: 0, longestRestMilliseconds: LONGEST_REST_MILLISECONDS }
    advices.note(subject.start, parseAdvice({ ...NO_ADVICE_HEADERS, rest: '3' }, context), false)
    const refusal = permits.refusalOf(subject)
    expect(refusal).toEqual({ kind: 'rest', waitMilliseconds: 3_000 })
    await clock.advance(refusal?.waitMilliseconds ?? 0)
    expect(permits.allows(subject)).toBe(true)
    subject.sends.note()
    expect(permits.allows(subject)).toBe(false)
    advices.note(subject.start, parseAdvice(NO_ADVICE_HEADERS, context), true)
    expect(permits.allows(subject)).toBe(true)
  })

  it('get nothing for longer where the machine was suspended meanwhile', () => {
    const { clock, advices, permits, subjects } = create()
    const [subject] = subjects
    if (subject === undefined) return
    const context = { wallTime: 0, longestRestMilliseconds: LONGEST_REST_MILLISECONDS }
    advices.note(subject.start, parseAdvice({ ...NO_ADVICE_HEADERS, rest: '3' }, context), false)
    clock.suspend(10_000)
    expect(permits.allows(subject)).toBe(false)
  })
})
