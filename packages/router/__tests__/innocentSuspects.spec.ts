import { describe, expect, it } from 'vitest'
import type { CrashMark, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** What is believed of a request was forgotten too early, or held against it for an end that it had no part in. */

const START = endpointStart('endpoint-1', 1)
const SUSPECT = asId<RequestFingerprint>('suspect-fingerprint')
/** Nothing ever came from the endpoint. */
const UNHEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }

/** One instance; its looks show what the test decides, or are never over. */
function setUp(sign: ProbeResult | 'pending') {
  const clock = new VirtualClock()
  const looks: { sign: ProbeResult | 'pending' } = { sign }
  const guard = new CrashGuard({
    clock,
    probe: () => (looks.sign === 'pending' ? new Promise(() => {}) : Promise.resolve(looks.sign)),
    onCrash: () => {},
    onUnreachable: () => {},
    broadcast: () => {},
    onVerdict: () => {},
  })
  const breakOff = (fingerprint = SUSPECT, wasIsolated = false) => {
    const endpoint = {
      id: 'endpoint-1',
      start: START,
      service: 'models',
      address: '127.0.0.1:1',
      statePath: '/load',
      isPlannedShutdown: false,
      hasEnded: false,
      heard: () => UNHEARD,
    }
    return guard.noteReset(endpoint, { fingerprint, wasIsolated, sentAt: clock.monotonic() })
  }
  const hear = (news: { marks?: readonly CrashMark[]; away?: readonly (typeof START)[] }) => {
    guard.applyNews({ marks: [], cleared: [], ...news })
  }
  return { clock, looks, guard, breakOff, hear }
}

describe('a request that was sent as any other and is still looked at', () => {
  it('stays isolated where another instance tells of the end first', async () => {
    const { clock, guard, breakOff, hear } = setUp('pending')
    void breakOff()
    await clock.advance(10)
    hear({ away: [START] })
    expect(guard.verdict(SUSPECT)).toBe('isolate')
  })

  it('stays isolated where the mark of another request of that start comes first', async () => {
    const { clock, guard, breakOff, hear } = setUp('pending')
    void breakOff()
    await clock.advance(10)
    const fingerprint = asId<RequestFingerprint>('another-fingerprint')
    hear({ marks: [{ fingerprint, start: START, wasIsolated: false }] })
    expect(guard.verdict(SUSPECT)).toBe('isolate')
  })
})

describe('a suspected request that a cut broke off', () => {
  it('is not refused for an end that another instance tells of four seconds later', async () => {
    const { clock, guard, breakOff, hear } = setUp('no-connection')
    await breakOff(SUSPECT, true)
    await clock.advance(4_000)
    hear({ away: [START] })
    expect(guard.verdict(SUSPECT)).toBe('send')
  })
})

describe('what a grey endpoint broke off while looks showed that it lives', () => {
  it('is not told to newcomers', async () => {
    const { clock, looks, guard, breakOff } = setUp('lives')
    for (let count = 0; count < 100; count += 1) {
      await breakOff(asId<RequestFingerprint>(`innocent-${count}`))
      await clock.advance(10)
    }
    looks.sign = 'pending'
    void breakOff()
    await clock.advance(0)
    expect(guard.newsSnapshot.suspected).toEqual([
      { fingerprint: SUSPECT, start: START, wasIsolated: false },
    ])
  })
})
