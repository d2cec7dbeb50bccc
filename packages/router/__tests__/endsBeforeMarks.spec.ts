import { describe, expect, it } from 'vitest'
import type { CrashGossip, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, deferred, asId, endpointStart } from '@rackwalk/shared'
import type { Deferred, RequestFingerprint } from '@rackwalk/shared'

/**
 * An instance that was told of a break, and found the end before the mark of it came, forgot the break: the request went
 * on to the next engine of its hash.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
/** Nothing ever came from an endpoint. */
const UNHEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }

/** Two instances, of which the first one's news come at once; a look shows what the test decides. */
function setUp() {
  const clock = new VirtualClock()
  const looks: Deferred<ProbeResult>[] = []
  const guards: CrashGuard[] = []
  const createGuard = () =>
    new CrashGuard({
      clock,
      probe: () => {
        const look = deferred<ProbeResult>()
        looks.push(look)
        return look.promise
      },
      onCrash: () => {},
      onUnreachable: () => {},
      broadcast: (news: CrashGossip) => guards[1]?.applyNews(news),
      onVerdict: () => {},
    })
  guards.push(createGuard(), createGuard())
  const [first, second] = guards as [CrashGuard, CrashGuard]
  const breakOff = (guard: CrashGuard) => {
    const endpoint = {
      id: 'endpoint-1',
      start: endpointStart('endpoint-1', 1),
      service: 'models',
      address: '127.0.0.1:1',
      statePath: '/load',
      isPlannedShutdown: false,
      hasEnded: false,
      heard: () => UNHEARD,
    }
    const sentAt = clock.monotonic()
    return guard.noteReset(endpoint, { fingerprint: FINGERPRINT, wasIsolated: true, sentAt })
  }
  return { clock, looks, first, second, breakOff }
}

describe('a suspected request whose endpoint another instance has not judged yet', () => {
  it('is refused as soon as this instance knows the end, for as long as the other looks', async () => {
    const { clock, looks, first, second, breakOff } = setUp()
    void breakOff(first)
    await clock.advance(10)
    const isKnown = breakOff(second)
    looks[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect([second.verdict(FINGERPRINT), second.marksOf(FINGERPRINT)]).toEqual(['refuse', []])
    await clock.advance(1_000)
    expect(second.verdict(FINGERPRINT)).toBe('refuse')
    looks[0]?.resolve('no-connection')
    await clock.advance(1_000)
    expect(second.verdict(FINGERPRINT)).toBe('send')
  })

  it('is like any other as soon as the other instance tells that it lives', async () => {
    const { clock, looks, first, second, breakOff } = setUp()
    const isFirst = breakOff(first)
    await clock.advance(10)
    const isKnown = breakOff(second)
    looks[1]?.resolve('nobody-listens')
    await isKnown
    looks[0]?.resolve('lives')
    expect(await isFirst).toBe(false)
    expect(second.verdict(FINGERPRINT)).toBe('send')
  })
})
