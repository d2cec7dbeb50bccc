import { describe, expect, it } from 'vitest'
import type { CrashGossip, LastContactTimes } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, asId, endpointOf, endpointStart } from '@rackwalk/shared'
import type { EndpointStart, RequestFingerprint } from '@rackwalk/shared'

/**
 * Guards against a request that crashed every start of an engine: it met the next start while the one before
 * was still announced as unresponsive, and no crash after the first was attributed to it.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const INNOCENT = asId<RequestFingerprint>('innocent-of-it')
const NEVER_HEARD: LastContactTimes = {
  askedAt: Number.NEGATIVE_INFINITY,
  readAt: Number.NEGATIVE_INFINITY,
}
const ENDPOINT = 'endpoint-1'
/** Maximum number of starts that the request may meet. */
const STARTS = 6
/** The request crashes an engine that runs it after this time. */
const RUN_MILLISECONDS = 5
/** A crash is detected after this time. */
const DETECTION_MILLISECONDS = 100

/** Instances with instant gossip, and engines behind a front that accepts connections and never answers. */
function setUp(count: number) {
  const clock = new VirtualClock()
  const unresponsive: EndpointStart[] = []
  const guards: CrashGuard[] = []
  const createGuard = (own: number) =>
    new CrashGuard({
      clock,
      probe: () => Promise.resolve('does-not-answer'),
      onCrash: () => {},
      onUnreachable: () => {},
      broadcast: (gossip: CrashGossip) => {
        unresponsive.push(...(gossip.away ?? []))
        guards.forEach((guard, index) => index !== own && guard.applyGossip(gossip))
      },
      onVerdict: () => {},
    })
  for (let own = 0; own < count; own += 1) guards.push(createGuard(own))
  const stop = () => guards.forEach(guard => guard.stop())
  return { clock, guards, unresponsive, stop }
}

type Setup = ReturnType<typeof setUp>

function endpointOfStart(start: EndpointStart) {
  const address = '127.0.0.1:1'
  const known = { isPlannedShutdown: false, hasEnded: false, heard: () => NEVER_HEARD }
  return { id: ENDPOINT, start, service: 'models', address, statePath: '/load', ...known }
}

/** Sends the request to a start that the platform reports, and which it crashes. */
async function crashStart({ clock, guards }: Setup, born: number, fingerprint = FINGERPRINT) {
  const guard = guards[born % guards.length]
  const wasIsolated = guard?.verdict(fingerprint) === 'isolate'
  const sentAt = clock.monotonic()
  await clock.advance(RUN_MILLISECONDS)
  const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, born)), isStartReported: true }
  void guard?.noteReset(endpoint, { fingerprint, wasIsolated, sentAt })
  await clock.advance(DETECTION_MILLISECONDS)
}

/**
 * Number of starts that the request crashes, if each one is listed for this long before the request arrives.
 */
async function crashedStarts(setup: Setup, listedMilliseconds: number): Promise<number> {
  const { clock, guards } = setup
  let born = 0
  while (born < STARTS && guards.every(guard => guard.verdict(FINGERPRINT) !== 'refuse')) {
    await crashStart(setup, born)
    for (const guard of guards) guard.noteReplaced(endpointStart(ENDPOINT, born))
    born += 1
    await clock.advance(listedMilliseconds)
  }
  return born
}

describe('a request that crashes each start of an engine', () => {
  it.each([
    [20, 1],
    [200, 1],
    [20, 2],
    [200, 2],
  ])(
    'is refused after two crashes if it arrives %d ms after the next start was listed, at %d instances',
    async (listed, count) => {
      const setup = setUp(count)
      expect(await crashedStarts(setup, listed)).toBe(2)
      setup.stop()
      expect(setup.guards.map(guard => guard.verdict(FINGERPRINT))).toEqual(
        setup.guards.map(() => 'refuse'),
      )
    },
  )

  it('is suspected from the reset of the second start on', async () => {
    const setup = setUp(2)
    await crashStart(setup, 0, INNOCENT)
    for (const guard of setup.guards) guard.noteReplaced(endpointStart(ENDPOINT, 0))
    await setup.clock.advance(20)
    const [first, second] = setup.guards
    const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, 1)), isStartReported: true }
    const request = { fingerprint: FINGERPRINT, wasIsolated: false }
    void first?.noteReset(endpoint, { ...request, sentAt: setup.clock.monotonic() })
    expect(second?.verdict(FINGERPRINT)).toBe('isolate')
    setup.stop()
  })

  it('is refused if only state reports of the engine show its return', async () => {
    const { clock, guards, stop } = setUp(1)
    const [guard] = guards
    let crashes = 0
    let heard = NEVER_HEARD
    while (crashes < STARTS && guard?.verdict(FINGERPRINT) !== 'refuse') {
      const wasIsolated = guard?.verdict(FINGERPRINT) === 'isolate'
      const sentAt = clock.monotonic()
      await clock.advance(RUN_MILLISECONDS)
      const announced = guard?.startOf(asId(ENDPOINT), heard)
      const start = announced ?? endpointStart(ENDPOINT, Math.floor(clock.monotonic()))
      const endpoint = { ...endpointOfStart(start), heard: () => heard }
      void guard?.noteReset(endpoint, { fingerprint: FINGERPRINT, wasIsolated, sentAt })
      crashes += 1
      await clock.advance(DETECTION_MILLISECONDS)
      heard = { ...NEVER_HEARD, askedAt: clock.monotonic() }
      await clock.advance(20)
    }
    stop()
    expect(crashes).toBe(2)
  })
})

describe('the start before the one that is listed', () => {
  it('is no longer announced as unresponsive, and late resets by its front still leave crash marks', async () => {
    const setup = setUp(1)
    const { clock, guards, unresponsive } = setup
    const [guard] = guards
    const start = endpointStart(ENDPOINT, 0)
    await clock.advance(50)
    await crashStart(setup, 0)
    await clock.advance(1_000)
    const announced = unresponsive.length
    expect(announced).toBe(3)
    guard?.noteReplaced(start)
    await clock.advance(5_000)
    expect(unresponsive).toHaveLength(announced)
    const endpoint = { ...endpointOfStart(start), hasEnded: true, isStartReported: true }
    const request = { fingerprint: INNOCENT, wasIsolated: false }
    expect(await guard?.noteReset(endpoint, { ...request, sentAt: 10 })).toBe(true)
    expect(guard?.marksOf(INNOCENT).map(mark => endpointOf(mark.start))).toEqual([ENDPOINT])
  })

  it('is no longer announced as unresponsive once the engine reports its state again', async () => {
    const { clock, guards, unresponsive } = setUp(1)
    let heard = NEVER_HEARD
    const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, 0)), heard: () => heard }
    const request = { fingerprint: FINGERPRINT, wasIsolated: false, sentAt: 0 }
    void guards[0]?.noteReset(endpoint, request)
    await clock.advance(1_100)
    const announced = unresponsive.length
    expect(announced).toBe(3)
    heard = { ...NEVER_HEARD, askedAt: clock.monotonic() }
    await clock.advance(5_000)
    expect(unresponsive).toHaveLength(announced)
  })
})
