import { describe, expect, it } from 'vitest'
import type { CrashGossip, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, deferred, asId, endpointStart } from '@rackwalk/shared'
import type { Deferred, RequestFingerprint } from '@rackwalk/shared'

/**
 * An instance that received an announcement of a reset and detected the crash before the crash mark arrived
 * forgot the reset. The request then went on to the next engine of its hash.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
/** Nothing was ever received from the endpoint. */
const NEVER_HEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }

/** Two instances with instant gossip from the first to the second; the test resolves each probe. */
function setUp() {
  const clock = new VirtualClock()
  const probes: Deferred<ProbeResult>[] = []
  const guards: CrashGuard[] = []
  const createGuard = () =>
    new CrashGuard({
      clock,
      probe: () => {
        const probe = deferred<ProbeResult>()
        probes.push(probe)
        return probe.promise
      },
      onCrash: () => {},
      onUnreachable: () => {},
      broadcast: (gossip: CrashGossip) => guards[1]?.applyGossip(gossip),
      onVerdict: () => {},
    })
  guards.push(createGuard(), createGuard())
  const [first, second] = guards as [CrashGuard, CrashGuard]
  const reset = (guard: CrashGuard) => {
    const endpoint = {
      id: 'endpoint-1',
      start: endpointStart('endpoint-1', 1),
      service: 'models',
      address: '127.0.0.1:1',
      statePath: '/load',
      isPlannedShutdown: false,
      hasEnded: false,
      heard: () => NEVER_HEARD,
    }
    const sentAt = clock.monotonic()
    return guard.noteReset(endpoint, { fingerprint: FINGERPRINT, wasIsolated: true, sentAt })
  }
  return { clock, probes, first, second, reset }
}

describe('a suspected request whose endpoint another instance is still probing', () => {
  it('is refused as soon as this instance knows of the crash, for as long as the other one probes', async () => {
    const { clock, probes, first, second, reset } = setUp()
    void reset(first)
    await clock.advance(10)
    const isKnown = reset(second)
    probes[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect([second.verdict(FINGERPRINT), second.marksOf(FINGERPRINT)]).toEqual(['refuse', []])
    await clock.advance(1_000)
    expect(second.verdict(FINGERPRINT)).toBe('refuse')
    probes[0]?.resolve('no-connection')
    await clock.advance(1_000)
    expect(second.verdict(FINGERPRINT)).toBe('send')
  })

  it('is cleared as soon as the other instance finds the endpoint alive', async () => {
    const { clock, probes, first, second, reset } = setUp()
    const isFirst = reset(first)
    await clock.advance(10)
    const isKnown = reset(second)
    probes[1]?.resolve('nobody-listens')
    await isKnown
    probes[0]?.resolve('lives')
    expect(await isFirst).toBe(false)
    expect(second.verdict(FINGERPRINT)).toBe('send')
  })
})
