import { describe, expect, it } from 'vitest'
import type { CrashMark, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/**
 * Faults guarded against: the suspicion of a request was forgotten too early, or a crash was attributed to a
 * request that had no part in it.
 */

const START = endpointStart('endpoint-1', 1)
const SUSPECT = asId<RequestFingerprint>('suspect-fingerprint')
/** Nothing was ever received from the endpoint. */
const NEVER_HEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }

/** One instance; the test sets the result of its probes, or they never complete. */
function setUp(result: ProbeResult | 'pending') {
  const clock = new VirtualClock()
  const probe: { result: ProbeResult | 'pending' } = { result }
  const guard = new CrashGuard({
    clock,
    probe: () =>
      probe.result === 'pending' ? new Promise(() => {}) : Promise.resolve(probe.result),
    onCrash: () => {},
    onUnreachable: () => {},
    broadcast: () => {},
    onVerdict: () => {},
  })
  const reset = (fingerprint = SUSPECT, wasIsolated = false) => {
    const endpoint = {
      id: 'endpoint-1',
      start: START,
      service: 'models',
      address: '127.0.0.1:1',
      statePath: '/load',
      isPlannedShutdown: false,
      hasEnded: false,
      heard: () => NEVER_HEARD,
    }
    return guard.noteReset(endpoint, { fingerprint, wasIsolated, sentAt: clock.monotonic() })
  }
  const receive = (gossip: { marks?: readonly CrashMark[]; away?: readonly (typeof START)[] }) => {
    guard.applyGossip({ marks: [], cleared: [], ...gossip })
  }
  return { clock, probe, guard, reset, receive }
}

describe('an unsuspected request whose endpoint is still being probed', () => {
  it('stays isolated if another instance reports the termination first', async () => {
    const { clock, guard, reset, receive } = setUp('pending')
    void reset()
    await clock.advance(10)
    receive({ away: [START] })
    expect(guard.verdict(SUSPECT)).toBe('isolate')
  })

  it('stays isolated if the mark of another request at that start arrives first', async () => {
    const { clock, guard, reset, receive } = setUp('pending')
    void reset()
    await clock.advance(10)
    const fingerprint = asId<RequestFingerprint>('another-fingerprint')
    receive({ marks: [{ fingerprint, start: START, wasIsolated: false }] })
    expect(guard.verdict(SUSPECT)).toBe('isolate')
  })
})

describe('a suspected request that a cut link reset', () => {
  it('is not refused for a termination that another instance reports four seconds later', async () => {
    const { clock, guard, reset, receive } = setUp('no-connection')
    await reset(SUSPECT, true)
    await clock.advance(4_000)
    receive({ away: [START] })
    expect(guard.verdict(SUSPECT)).toBe('send')
  })
})

describe('requests that a failing endpoint reset while probes found it alive', () => {
  it('are not announced to new instances', async () => {
    const { clock, probe, guard, reset } = setUp('lives')
    for (let count = 0; count < 100; count += 1) {
      await reset(asId<RequestFingerprint>(`innocent-${count}`))
      await clock.advance(10)
    }
    probe.result = 'pending'
    void reset()
    await clock.advance(0)
    expect(guard.gossipSnapshot.suspected).toEqual([
      { fingerprint: SUSPECT, start: START, wasIsolated: false },
    ])
  })
})
