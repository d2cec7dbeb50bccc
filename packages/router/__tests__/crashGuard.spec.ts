import { describe, expect, it } from 'vitest'
import type { CrashGossip, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, deferred, asId, endpointOf, endpointStart } from '@rackwalk/shared'
import type { Deferred, EndpointId, RequestFingerprint } from '@rackwalk/shared'

/**
 * A crash-inducing request must be suspected from its first reset on. When it was suspected only after the
 * probe had completed, each retry during the probe crashed another engine.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
/** Nothing was ever received from the endpoint. */
const NEVER_HEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
const SCOPE = FINGERPRINT.slice(0, 6)

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
  const reset = (
    id: string,
    wasIsolated: boolean,
    { guard = 'first' as 'first' | 'second', fingerprint = FINGERPRINT } = {},
  ) => {
    const endpoint = {
      id,
      start: endpointStart(id, 1),
      service: 'models',
      address: '127.0.0.1:1',
      statePath: '/load',
      isPlannedShutdown: false,
      hasEnded: false,
      heard: () => NEVER_HEARD,
    }
    const sentAt = clock.monotonic()
    return { first, second }[guard].noteReset(endpoint, { fingerprint, wasIsolated, sentAt })
  }
  const verdicts = () => [first.verdict(FINGERPRINT), second.verdict(FINGERPRINT)]
  return { clock, probes, first, second, reset, verdicts }
}

describe('a request that an endpoint reset', () => {
  it('is suspected at all instances at once, not only after the probe', () => {
    const { second, reset, verdicts } = setUp()
    expect([verdicts(), second.hasSuspectsInScope(SCOPE)]).toEqual([['send', 'send'], false])
    void reset('endpoint-1', false)
    expect([verdicts(), second.hasSuspectsInScope(SCOPE)]).toEqual([['isolate', 'isolate'], true])
  })

  it('is refused once the probe shows that it crashed the endpoint as a suspected request', async () => {
    const { probes, reset, verdicts } = setUp()
    const isKnown = reset('endpoint-1', true)
    expect(verdicts()).toEqual(['isolate', 'isolate'])
    probes[0]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(verdicts()).toEqual(['refuse', 'refuse'])
  })

  it('is cleared at all instances at once when its endpoint is alive', async () => {
    const { clock, probes, reset, verdicts } = setUp()
    const isKnown = reset('endpoint-1', true)
    probes[0]?.resolve('lives')
    expect(await isKnown).toBe(false)
    expect(verdicts()).toEqual(['send', 'send'])
    await clock.advance(1_000)
    expect(verdicts()).toEqual(['send', 'send'])
  })
})

describe('a request whose endpoint was probed without a result', () => {
  const start = endpointStart('endpoint-1', 1)

  // An inconclusive probe once cleared the suspicion, so that the next try went to another endpoint like an
  // unsuspected request.
  it('stays suspected, like its endpoint, for a second after the last announcement', async () => {
    const { clock, probes, first, second, reset, verdicts } = setUp()
    const isKnown = reset('endpoint-1', false)
    probes[0]?.resolve('no-connection')
    expect(await isKnown).toBe(false)
    const suspects = () => [first, second].map(guard => guard.isSuspect(start))
    await clock.advance(999)
    expect([verdicts(), suspects()]).toEqual([
      ['isolate', 'isolate'],
      [true, true],
    ])
    await clock.advance(1)
    expect([verdicts(), suspects()]).toEqual([
      ['send', 'send'],
      [false, false],
    ])
  })
})

describe('a request that was sent after another instance had announced a reset there', () => {
  const innocent = asId<RequestFingerprint>('innocent-of-it')

  it('met only the front of the crashed engine, so it gets no crash mark', async () => {
    const { clock, probes, second, reset } = setUp()
    void reset('endpoint-1', false)
    await clock.advance(10)
    const isKnown = reset('endpoint-1', false, { guard: 'second', fingerprint: innocent })
    expect(second.verdict(innocent)).toBe('send')
    probes[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(second.marksOf(innocent)).toEqual([])
  })

  it('gets a crash mark like any other if nothing was announced for a second', async () => {
    const { clock, probes, second, reset } = setUp()
    const isUnknown = reset('endpoint-1', false)
    probes[0]?.resolve('no-connection')
    expect(await isUnknown).toBe(false)
    await clock.advance(1_000)
    const isKnown = reset('endpoint-1', false, { guard: 'second', fingerprint: innocent })
    probes[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(second.marksOf(innocent)).toHaveLength(1)
  })
})

describe('an endpoint that reset a request', () => {
  const start = endpointStart('endpoint-1', 1)
  const other = endpointStart('endpoint-2', 1)
  const suspectsOf = ({ first, second }: ReturnType<typeof setUp>) => [
    first.isSuspect(start),
    second.isSuspect(start),
    second.isEndpointSuspect(endpointOf(start)),
    second.isSuspect(other),
  ]

  it('is suspect at all instances until the probe shows that it is alive', async () => {
    const setup = setUp()
    const isKnown = setup.reset('endpoint-1', false)
    expect(suspectsOf(setup)).toEqual([true, true, true, false])
    setup.probes[0]?.resolve('lives')
    await isKnown
    expect(suspectsOf(setup)).toEqual([false, false, false, false])
  })

  it('is suspect, like its request, for as long as the probe takes', async () => {
    const setup = setUp()
    void setup.reset('endpoint-1', false)
    await setup.clock.advance(4_600)
    expect(suspectsOf(setup)).toEqual([true, true, true, false])
    expect(setup.verdicts()).toEqual(['isolate', 'isolate'])
  })

  it('is suspect for a second after the last announcement of its crash', async () => {
    const setup = setUp()
    const isKnown = setup.reset('endpoint-1', false)
    setup.probes[0]?.resolve('nobody-listens')
    await isKnown
    expect(suspectsOf(setup)).toEqual([true, true, true, false])
    await setup.clock.advance(1_000)
    expect(suspectsOf(setup)).toEqual([false, false, false, false])
  })
})

describe('resets of an endpoint whose platform does not report its starts', () => {
  const endpoint = asId<EndpointId>('endpoint-1')
  const start = endpointStart(endpoint, 1)

  it('are attributed to one start at all instances while it is announced', async () => {
    const { clock, probes, first, second, reset } = setUp()
    const startsOf = () => [first, second].map(guard => guard.startOf(endpoint, NEVER_HEARD))
    expect(startsOf()).toEqual([undefined, undefined])
    const isKnown = reset(endpoint, false)
    await clock.advance(1_400)
    expect(startsOf()).toEqual([start, start])
    probes[0]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(startsOf()).toEqual([start, start])
    await clock.advance(1_000)
    expect(startsOf()).toEqual([undefined, undefined])
  })

  it('are attributed to a new start once the endpoint was certainly alive', async () => {
    const { clock, first, second, reset } = setUp()
    await clock.advance(100)
    void reset(endpoint, false)
    const heard = { ...NEVER_HEARD, askedAt: 101 }
    expect(first.startOf(endpoint, heard)).toBeUndefined()
    expect(second.startOf(endpoint, heard)).toBeUndefined()
    expect(second.startOf(endpoint, { ...NEVER_HEARD, askedAt: 100 })).toBe(start)
  })
})
