import { describe, expect, it } from 'vitest'
import { UnjudgedBreaks } from '@rackwalk/decisions'
import { asId, endpointStart } from '@rackwalk/shared'
import type { EndpointId, RequestFingerprint } from '@rackwalk/shared'

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const OTHER = asId<RequestFingerprint>('another-fingerprint')
const START = endpointStart('endpoint-1', 7)
const SECOND_START = endpointStart('endpoint-2', 8)

function noted(...isolations: readonly boolean[]): UnjudgedBreaks {
  const breaks = new UnjudgedBreaks()
  const starts = [START, SECOND_START]
  for (const [index, wasIsolated] of isolations.entries()) {
    breaks.note({ fingerprint: FINGERPRINT, start: starts[index] ?? START, wasIsolated }, 0)
  }
  return breaks
}

describe('breaks at which it is looked', () => {
  it('decide where their request goes', () => {
    expect({
      none: noted().verdict(FINGERPRINT, 0),
      'sent as any other': noted(false).verdict(FINGERPRINT, 0),
      'several, sent as any other': noted(false, false).verdict(FINGERPRINT, 0),
      'sent as suspected': noted(false, true).verdict(FINGERPRINT, 0),
      'of another request': noted(true).verdict(OTHER, 0),
      'some time ago': noted(true).verdict(FINGERPRINT, 1_000),
    }).toMatchInlineSnapshot(`
      {
        "none": "send",
        "of another request": "send",
        "sent as any other": "isolate",
        "sent as suspected": "wait",
        "several, sent as any other": "isolate",
        "some time ago": "send",
      }
    `)
  })

  it('concern their endpoint and the scope of their request until they are known', () => {
    const breaks = noted(false)
    const endpoint = asId<EndpointId>('endpoint-1')
    const beliefs = () => [breaks.concerns(endpoint, 0), breaks.mayConcern('finger', 0)]
    expect(beliefs()).toEqual([true, true])
    breaks.forget(SECOND_START)
    expect(beliefs()).toEqual([true, true])
    breaks.forget(START)
    expect(beliefs()).toEqual([false, false])
  })

  it('are bounded in number', () => {
    const breaks = noted(true)
    for (let count = 0; count < 1_024; count += 1) {
      breaks.note({ fingerprint: OTHER, start: SECOND_START, wasIsolated: false }, 1)
    }
    expect(breaks.verdict(FINGERPRINT, 2)).toBe('send')
    expect(breaks.verdict(OTHER, 2)).toBe('isolate')
  })
})
