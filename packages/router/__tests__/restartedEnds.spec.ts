import { describe, expect, it } from 'vitest'
import type { CrashGossip, LastContactTimes } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, asId, endpointOf, endpointStart } from '@rackwalk/shared'
import type { EndpointStart, RequestFingerprint } from '@rackwalk/shared'

/**
 * A request that ends engines met the next start of an engine while the one before was still told of as away, and no end after
 * the first was held against it: it ended every start.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const INNOCENT = asId<RequestFingerprint>('innocent-of-it')
const UNHEARD: LastContactTimes = {
  askedAt: Number.NEGATIVE_INFINITY,
  readAt: Number.NEGATIVE_INFINITY,
}
const ENDPOINT = 'endpoint-1'
/** Starts that the request may meet. */
const STARTS = 6
/** It ends what begins to run it after this time, */
const RUN_MILLISECONDS = 5
/** and its end is known after this time. */
const KNOWN_MILLISECONDS = 100

/** Instances that tell each other at once, about engines behind a front that takes connections and answers nothing. */
function setUp(count: number) {
  const clock = new VirtualClock()
  const away: EndpointStart[] = []
  const guards: CrashGuard[] = []
  const createGuard = (own: number) =>
    new CrashGuard({
      clock,
      probe: () => Promise.resolve('does-not-answer'),
      onCrash: () => {},
      onUnreachable: () => {},
      broadcast: (news: CrashGossip) => {
        away.push(...(news.away ?? []))
        guards.forEach((guard, index) => index !== own && guard.applyNews(news))
      },
      onVerdict: () => {},
    })
  for (let own = 0; own < count; own += 1) guards.push(createGuard(own))
  const stop = () => guards.forEach(guard => guard.stop())
  return { clock, guards, away, stop }
}

type Played = ReturnType<typeof setUp>

function endpointOfStart(start: EndpointStart) {
  const address = '127.0.0.1:1'
  const known = { isPlannedShutdown: false, hasEnded: false, heard: () => UNHEARD }
  return { id: ENDPOINT, start, service: 'models', address, statePath: '/load', ...known }
}

/** Sends the request to a start that the platform tells of, which ends under it. */
async function endStart({ clock, guards }: Played, born: number, fingerprint = FINGERPRINT) {
  const guard = guards[born % guards.length]
  const wasIsolated = guard?.verdict(fingerprint) === 'isolate'
  const sentAt = clock.monotonic()
  await clock.advance(RUN_MILLISECONDS)
  const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, born)), isStartReported: true }
  void guard?.noteReset(endpoint, { fingerprint, wasIsolated, sentAt })
  await clock.advance(KNOWN_MILLISECONDS)
}

/** The starts that the request ends where each is listed so long before it comes. */
async function endedStarts(played: Played, listedMilliseconds: number): Promise<number> {
  const { clock, guards } = played
  let born = 0
  while (born < STARTS && guards.every(guard => guard.verdict(FINGERPRINT) !== 'refuse')) {
    await endStart(played, born)
    for (const guard of guards) guard.noteReplaced(endpointStart(ENDPOINT, born))
    born += 1
    await clock.advance(listedMilliseconds)
  }
  return born
}

describe('a request that ends each start of an engine', () => {
  it.each([
    [20, 1],
    [200, 1],
    [20, 2],
    [200, 2],
  ])(
    'is refused after two, if it comes %d ms after the next was listed, at %d instances',
    async (listed, count) => {
      const played = setUp(count)
      expect(await endedStarts(played, listed)).toBe(2)
      played.stop()
      expect(played.guards.map(guard => guard.verdict(FINGERPRINT))).toEqual(
        played.guards.map(() => 'refuse'),
      )
    },
  )

  it('is suspected from the break of the second start on', async () => {
    const played = setUp(2)
    await endStart(played, 0, INNOCENT)
    for (const guard of played.guards) guard.noteReplaced(endpointStart(ENDPOINT, 0))
    await played.clock.advance(20)
    const [first, second] = played.guards
    const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, 1)), isStartReported: true }
    const request = { fingerprint: FINGERPRINT, wasIsolated: false }
    void first?.noteReset(endpoint, { ...request, sentAt: played.clock.monotonic() })
    expect(second?.verdict(FINGERPRINT)).toBe('isolate')
    played.stop()
  })

  it('is refused where only the state that the engine tells is known of its return', async () => {
    const { clock, guards, stop } = setUp(1)
    const [guard] = guards
    let ends = 0
    let heard = UNHEARD
    while (ends < STARTS && guard?.verdict(FINGERPRINT) !== 'refuse') {
      const wasIsolated = guard?.verdict(FINGERPRINT) === 'isolate'
      const sentAt = clock.monotonic()
      await clock.advance(RUN_MILLISECONDS)
      const told = guard?.startOf(asId(ENDPOINT), heard)
      const start = told ?? endpointStart(ENDPOINT, Math.floor(clock.monotonic()))
      const endpoint = { ...endpointOfStart(start), heard: () => heard }
      void guard?.noteReset(endpoint, { fingerprint: FINGERPRINT, wasIsolated, sentAt })
      ends += 1
      await clock.advance(KNOWN_MILLISECONDS)
      heard = { ...UNHEARD, askedAt: clock.monotonic() }
      await clock.advance(20)
    }
    stop()
    expect(ends).toBe(2)
  })
})

describe('the start before the one that is listed', () => {
  it('is told of as away no more, and what its front lets go of late is still held', async () => {
    const played = setUp(1)
    const { clock, guards, away } = played
    const [guard] = guards
    const start = endpointStart(ENDPOINT, 0)
    await clock.advance(50)
    await endStart(played, 0)
    await clock.advance(1_000)
    const told = away.length
    expect(told).toBe(3)
    guard?.noteReplaced(start)
    await clock.advance(5_000)
    expect(away).toHaveLength(told)
    const endpoint = { ...endpointOfStart(start), hasEnded: true, isStartReported: true }
    const request = { fingerprint: INNOCENT, wasIsolated: false }
    expect(await guard?.noteReset(endpoint, { ...request, sentAt: 10 })).toBe(true)
    expect(guard?.marksOf(INNOCENT).map(mark => endpointOf(mark.start))).toEqual([ENDPOINT])
  })

  it('is told of as away no more once the engine told its state again', async () => {
    const { clock, guards, away } = setUp(1)
    let heard = UNHEARD
    const endpoint = { ...endpointOfStart(endpointStart(ENDPOINT, 0)), heard: () => heard }
    const request = { fingerprint: FINGERPRINT, wasIsolated: false, sentAt: 0 }
    void guards[0]?.noteReset(endpoint, request)
    await clock.advance(1_100)
    const told = away.length
    expect(told).toBe(3)
    heard = { ...UNHEARD, askedAt: clock.monotonic() }
    await clock.advance(5_000)
    expect(away).toHaveLength(told)
  })
})
