import { describe, expect, it } from 'vitest'
import type { CrashGossip, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard } from '@rackwalk/router'
import { VirtualClock, deferred, asId, endpointOf, endpointStart } from '@rackwalk/shared'
import type { Deferred, EndpointId, RequestFingerprint } from '@rackwalk/shared'

/**
 * A request that ends engines came again while it was looked at the first one, and cost another engine with each try, since it
 * was suspected only when the look was over.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
/** Nothing ever came from an endpoint. */
const UNHEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
const SCOPE = FINGERPRINT.slice(0, 6)

/** Two instances that tell each other at once; a look shows what the test decides. */
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
  const breakOff = (
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
      heard: () => UNHEARD,
    }
    const sentAt = clock.monotonic()
    return { first, second }[guard].noteReset(endpoint, { fingerprint, wasIsolated, sentAt })
  }
  const verdicts = () => [first.verdict(FINGERPRINT), second.verdict(FINGERPRINT)]
  return { clock, looks, first, second, breakOff, verdicts }
}

describe('a request that an endpoint broke off', () => {
  it('is suspected everywhere from then on, and not from the end of the look on', () => {
    const { second, breakOff, verdicts } = setUp()
    expect([verdicts(), second.hasSuspectsInScope(SCOPE)]).toEqual([['send', 'send'], false])
    void breakOff('endpoint-1', false)
    expect([verdicts(), second.hasSuspectsInScope(SCOPE)]).toEqual([['isolate', 'isolate'], true])
  })

  it('is refused when the look shows that the endpoint ended under it as suspected, and not before', async () => {
    const { looks, breakOff, verdicts } = setUp()
    const isKnown = breakOff('endpoint-1', true)
    expect(verdicts()).toEqual(['isolate', 'isolate'])
    looks[0]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(verdicts()).toEqual(['refuse', 'refuse'])
  })

  it('is like any other when its endpoint lives, at once everywhere', async () => {
    const { clock, looks, breakOff, verdicts } = setUp()
    const isKnown = breakOff('endpoint-1', true)
    looks[0]?.resolve('lives')
    expect(await isKnown).toBe(false)
    expect(verdicts()).toEqual(['send', 'send'])
    await clock.advance(1_000)
    expect(verdicts()).toEqual(['send', 'send'])
  })
})

describe('a request whose endpoint could not be judged', () => {
  const start = endpointStart('endpoint-1', 1)

  // A look without a proof took suspicion and doubt away: the next try went to another endpoint as any other.
  it('stays suspected, and its endpoint in doubt, for a second after it was last told of', async () => {
    const { clock, looks, first, second, breakOff, verdicts } = setUp()
    const isKnown = breakOff('endpoint-1', false)
    looks[0]?.resolve('no-connection')
    expect(await isKnown).toBe(false)
    const doubts = () => [first, second].map(guard => guard.isSuspect(start))
    await clock.advance(999)
    expect([verdicts(), doubts()]).toEqual([
      ['isolate', 'isolate'],
      [true, true],
    ])
    await clock.advance(1)
    expect([verdicts(), doubts()]).toEqual([
      ['send', 'send'],
      [false, false],
    ])
  })
})

describe('a request that was sent after another instance had told of a break there', () => {
  const innocent = asId<RequestFingerprint>('innocent-of-it')

  it('met the front of the end, so nothing is held against it', async () => {
    const { clock, looks, second, breakOff } = setUp()
    void breakOff('endpoint-1', false)
    await clock.advance(10)
    const isKnown = breakOff('endpoint-1', false, { guard: 'second', fingerprint: innocent })
    expect(second.verdict(innocent)).toBe('send')
    looks[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(second.marksOf(innocent)).toEqual([])
  })

  it('is held for it as any other where nothing was told of that for a second', async () => {
    const { clock, looks, second, breakOff } = setUp()
    const isUnknown = breakOff('endpoint-1', false)
    looks[0]?.resolve('no-connection')
    expect(await isUnknown).toBe(false)
    await clock.advance(1_000)
    const isKnown = breakOff('endpoint-1', false, { guard: 'second', fingerprint: innocent })
    looks[1]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(second.marksOf(innocent)).toHaveLength(1)
  })
})

describe('an endpoint that broke a request off', () => {
  const start = endpointStart('endpoint-1', 1)
  const other = endpointStart('endpoint-2', 1)
  const doubtsOf = ({ first, second }: ReturnType<typeof setUp>) => [
    first.isSuspect(start),
    second.isSuspect(start),
    second.isEndpointSuspect(endpointOf(start)),
    second.isSuspect(other),
  ]

  it('is in doubt everywhere until the look shows life', async () => {
    const played = setUp()
    const isKnown = played.breakOff('endpoint-1', false)
    expect(doubtsOf(played)).toEqual([true, true, true, false])
    played.looks[0]?.resolve('lives')
    await isKnown
    expect(doubtsOf(played)).toEqual([false, false, false, false])
  })

  it('is in doubt, and its request suspected, for as long as the look takes', async () => {
    const played = setUp()
    void played.breakOff('endpoint-1', false)
    await played.clock.advance(4_600)
    expect(doubtsOf(played)).toEqual([true, true, true, false])
    expect(played.verdicts()).toEqual(['isolate', 'isolate'])
  })

  it('is in doubt no longer than it is told', async () => {
    const played = setUp()
    const isKnown = played.breakOff('endpoint-1', false)
    played.looks[0]?.resolve('nobody-listens')
    await isKnown
    expect(doubtsOf(played)).toEqual([true, true, true, false])
    await played.clock.advance(1_000)
    expect(doubtsOf(played)).toEqual([false, false, false, false])
  })
})

describe('breaks of an endpoint whose platform does not tell its starts', () => {
  const endpoint = asId<EndpointId>('endpoint-1')
  const start = endpointStart(endpoint, 1)

  it('belong to one start everywhere, for as long as it is spoken of', async () => {
    const { clock, looks, first, second, breakOff } = setUp()
    const startsOf = () => [first, second].map(guard => guard.startOf(endpoint, UNHEARD))
    expect(startsOf()).toEqual([undefined, undefined])
    const isKnown = breakOff(endpoint, false)
    await clock.advance(1_400)
    expect(startsOf()).toEqual([start, start])
    looks[0]?.resolve('nobody-listens')
    expect(await isKnown).toBe(true)
    expect(startsOf()).toEqual([start, start])
    await clock.advance(1_000)
    expect(startsOf()).toEqual([undefined, undefined])
  })

  it('belong to a new one once it certainly lived', async () => {
    const { clock, first, second, breakOff } = setUp()
    await clock.advance(100)
    void breakOff(endpoint, false)
    const heard = { ...UNHEARD, askedAt: 101 }
    expect(first.startOf(endpoint, heard)).toBeUndefined()
    expect(second.startOf(endpoint, heard)).toBeUndefined()
    expect(second.startOf(endpoint, { ...UNHEARD, askedAt: 100 })).toBe(start)
  })
})
