import { describe, expect, it } from 'vitest'
import { UnconfirmedCrashes } from '@rackwalk/decisions'
import { asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const OTHER = asId<RequestFingerprint>('another-fingerprint')
const START = endpointStart('endpoint-1', 7)
const SECOND_START = endpointStart('endpoint-2', 8)
const MARK = { fingerprint: FINGERPRINT, start: START, wasIsolated: false }

describe('breaks at which it is looked', () => {
  it('concern their request and its scope until they are known', () => {
    const breaks = new UnconfirmedCrashes()
    const beliefs = (now: number) => [
      breaks.has(FINGERPRINT, now),
      breaks.hasSuspectsInScope('finger', now),
      breaks.has(OTHER, now),
    ]
    expect(beliefs(0)).toEqual([false, false, false])
    breaks.noteReset(MARK, 0)
    expect(beliefs(0)).toEqual([true, true, false])
    breaks.forget(SECOND_START)
    expect(beliefs(0)).toEqual([true, true, false])
    breaks.forget(START)
    expect(beliefs(0)).toEqual([false, false, false])
  })

  it('are forgotten after a second', () => {
    const breaks = new UnconfirmedCrashes()
    breaks.noteReset(MARK, 0)
    breaks.noteReset({ ...MARK, start: SECOND_START }, 500)
    expect([999, 1_000, 1_500].map(now => breaks.has(FINGERPRINT, now))).toEqual([
      true,
      true,
      false,
    ])
  })

  it('are bounded in number', () => {
    const breaks = new UnconfirmedCrashes()
    breaks.noteReset(MARK, 0)
    for (let count = 0; count < 1_024; count += 1) {
      breaks.noteReset({ fingerprint: OTHER, start: SECOND_START, wasIsolated: false }, 1)
    }
    expect([breaks.has(FINGERPRINT, 2), breaks.has(OTHER, 2)]).toEqual([false, true])
  })

  it('refuse what was sent as suspected once their start has ended, and nothing else', () => {
    const breaks = new UnconfirmedCrashes()
    breaks.noteReset({ ...MARK, wasIsolated: true }, 0)
    breaks.noteReset({ ...MARK, fingerprint: OTHER }, 0)
    const verdicts = (now: number) => [FINGERPRINT, OTHER].map(one => breaks.verdict(one, now))
    expect(verdicts(0)).toEqual(['isolate', 'isolate'])
    breaks.noteTerminated(SECOND_START, 1)
    expect(verdicts(1)).toEqual(['isolate', 'isolate'])
    breaks.noteTerminated(START, 500)
    expect(verdicts(1_499)).toEqual(['refuse', 'send'])
    expect(verdicts(1_500)).toEqual(['send', 'send'])
  })

  it('are refused for as long as they are told of after their end, until they are cleared', () => {
    const breaks = new UnconfirmedCrashes()
    const suspected = { ...MARK, wasIsolated: true }
    breaks.noteReset(suspected, 0)
    breaks.noteTerminated(START, 100)
    breaks.noteReset(suspected, 900)
    expect(breaks.verdict(FINGERPRINT, 1_800)).toBe('refuse')
    breaks.clear(OTHER, [START])
    breaks.clear(FINGERPRINT, [SECOND_START])
    expect(breaks.verdict(FINGERPRINT, 1_800)).toBe('refuse')
    breaks.clear(FINGERPRINT, [START])
    expect(breaks.verdict(FINGERPRINT, 1_800)).toBe('send')
  })
})
