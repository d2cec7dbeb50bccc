import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { NO_ADVICE_HEADERS, parseAdvice } from '@rackwalk/decisions'
import type { RateQuota } from '@rackwalk/decisions'
import { EndpointAdviceStore, SendHistory, SendAdmission } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointStart } from '@rackwalk/shared'

/** Whether an endpoint may be sent a request, after any advice and any time without contact. */

const LONGEST_REST_MILLISECONDS = 60_000
const ENDPOINTS = ['endpoint-1', 'endpoint-2', 'endpoint-3'].map(id => asId<EndpointStart>(id))

function create() {
  const clock = new VirtualClock()
  const advices = new EndpointAdviceStore({ clock, onChange: () => {}, broadcast: () => {} })
  const instances = ['instance-1', 'instance-2', 'instance-3']
  const admission = new SendAdmission({
    clock,
    advices,
    instance: () => 'instance-1',
    recordedInstances: () => instances.map(instance => ({ instance, isWorking: true })),
    boundsOf: () => undefined,
  })
  const targets = ENDPOINTS.map(start => {
    const sends = new SendHistory(clock)
    const waitFor = (quota: RateQuota) => sends.waitFor(quota)
    return { start, service: 'models', coldMilliseconds: 0, waitFor, sends }
  })
  return { clock, advices, admission, targets }
}

/** Headers that endpoints may send, valid or not. */
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

describe('endpoints with arbitrary advice', () => {
  it('block an instance for no longer than is allowed', async () => {
    const property = fc.asyncProperty(fc.array(heads, { maxLength: 12 }), async all => {
      const { clock, advices, admission, targets } = create()
      for (const { endpoint, rates, rest, pause } of all) {
        const start = ENDPOINTS[endpoint]
        if (start === undefined) continue
        const context = {
          wallTime: clock.wallTime(),
          longestRestMilliseconds: LONGEST_REST_MILLISECONDS,
        }
        advices.note(start, parseAdvice({ ...NO_ADVICE_HEADERS, rates, rest }, context), true)
        targets[endpoint]?.sends.note()
        await clock.advance(pause)
      }
      // Any instance that shares a rate may send a request after a while without contact.
      await clock.advance(LONGEST_REST_MILLISECONDS + 12_000)
      expect(targets.every(target => admission.allows(target))).toBe(true)
    })
    await fc.assert(property, { seed: 7, numRuns: 60 })
  })

  it('are sent a request again after the wait that a refusal names', async () => {
    const { clock, advices, admission, targets } = create()
    const [target] = targets
    if (target === undefined) return
    const context = { wallTime: 0, longestRestMilliseconds: LONGEST_REST_MILLISECONDS }
    advices.note(target.start, parseAdvice({ ...NO_ADVICE_HEADERS, rest: '3' }, context), false)
    const refusal = admission.refusalOf(target)
    expect(refusal).toEqual({ kind: 'rest', waitMilliseconds: 3_000 })
    await clock.advance(refusal?.waitMilliseconds ?? 0)
    expect(admission.allows(target)).toBe(true)
    target.sends.note()
    expect(admission.allows(target)).toBe(false)
    advices.note(target.start, parseAdvice(NO_ADVICE_HEADERS, context), true)
    expect(admission.allows(target)).toBe(true)
  })

  it('stay blocked for longer if the machine was suspended meanwhile', () => {
    const { clock, advices, admission, targets } = create()
    const [target] = targets
    if (target === undefined) return
    const context = { wallTime: 0, longestRestMilliseconds: LONGEST_REST_MILLISECONDS }
    advices.note(target.start, parseAdvice({ ...NO_ADVICE_HEADERS, rest: '3' }, context), false)
    clock.suspend(10_000)
    expect(admission.allows(target)).toBe(false)
  })
})
