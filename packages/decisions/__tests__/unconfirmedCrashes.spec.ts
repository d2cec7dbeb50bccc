import { describe, expect, it } from 'vitest'
import { UnconfirmedCrashes } from '@rackwalk/decisions'
import { asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const OTHER = asId<RequestFingerprint>('another-fingerprint')
const START = endpointStart('endpoint-1', 7)
const SECOND_START = endpointStart('endpoint-2', 8)
const MARK = { fingerprint: FINGERPRINT, start: START, wasIsolated: false }

/**
 * A crash-inducing request that is sent again while its endpoint is still being probed would pass for a harmless one,
 * and each retry would crash one more endpoint.
 */

describe('resets whose endpoint is being probed', () => {
  it('make their request and its scope suspect until the probe has a result', () => {
    const resets = new UnconfirmedCrashes()
    const state = (now: number) => [
      resets.has(FINGERPRINT, now),
      resets.hasSuspectsInScope('finger', now),
      resets.has(OTHER, now),
    ]
    expect(state(0)).toEqual([false, false, false])
    resets.noteReset(MARK, 0)
    expect(state(0)).toEqual([true, true, false])
    resets.forget(SECOND_START)
    expect(state(0)).toEqual([true, true, false])
    resets.forget(START)
    expect(state(0)).toEqual([false, false, false])
  })

  it('are forgotten after a second', () => {
    const resets = new UnconfirmedCrashes()
    resets.noteReset(MARK, 0)
    resets.noteReset({ ...MARK, start: SECOND_START }, 500)
    expect([999, 1_000, 1_500].map(now => resets.has(FINGERPRINT, now))).toEqual([
      true,
      true,
      false,
    ])
  })

  it('are bounded in number', () => {
    const resets = new UnconfirmedCrashes()
    resets.noteReset(MARK, 0)
    for (let count = 0; count < 1_024; count += 1) {
      resets.noteReset({ fingerprint: OTHER, start: SECOND_START, wasIsolated: false }, 1)
    }
    expect([resets.has(FINGERPRINT, 2), resets.has(OTHER, 2)]).toEqual([false, true])
  })

  it('refuse an isolated request once its endpoint start has terminated, and no other request', () => {
    const resets = new UnconfirmedCrashes()
    resets.noteReset({ ...MARK, wasIsolated: true }, 0)
    resets.noteReset({ ...MARK, fingerprint: OTHER }, 0)
    const verdicts = (now: number) =>
      [FINGERPRINT, OTHER].map(fingerprint => resets.verdict(fingerprint, now))
    expect(verdicts(0)).toEqual(['isolate', 'isolate'])
    resets.noteTerminated(SECOND_START, 1)
    expect(verdicts(1)).toEqual(['isolate', 'isolate'])
    resets.noteTerminated(START, 500)
    expect(verdicts(1_499)).toEqual(['refuse', 'send'])
    expect(verdicts(1_500)).toEqual(['send', 'send'])
  })

  it('refuse a request as long as its reset is reported after the termination, until the request is cleared', () => {
    const resets = new UnconfirmedCrashes()
    const suspected = { ...MARK, wasIsolated: true }
    resets.noteReset(suspected, 0)
    resets.noteTerminated(START, 100)
    resets.noteReset(suspected, 900)
    expect(resets.verdict(FINGERPRINT, 1_800)).toBe('refuse')
    resets.clear(OTHER, [START])
    resets.clear(FINGERPRINT, [SECOND_START])
    expect(resets.verdict(FINGERPRINT, 1_800)).toBe('refuse')
    resets.clear(FINGERPRINT, [START])
    expect(resets.verdict(FINGERPRINT, 1_800)).toBe('send')
  })
})
