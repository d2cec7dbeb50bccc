import { describe, expect, it } from 'vitest'
import { SuspectEndpoints } from '@rackwalk/decisions'
import type { ProbeResult } from '@rackwalk/decisions'
import {
  UNKNOWN_SOFTWARE_VERSION,
  VirtualClock,
  asId,
  endpointStart,
  sleep,
} from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'
import { EndpointDirectory, EndpointCrashDetector } from '@rackwalk/router'
import type { EndpointCrash, EndpointRecord } from '@rackwalk/router'

/** Whether a reset request shows that its endpoint has terminated. */

const FIRST = resetRequest('first')
/** Duration of one probe. */
const PROBE_MILLISECONDS = 10
const SECOND = resetRequest('second')

function resetRequest(fingerprint: string, sentAt = 0) {
  return { fingerprint: asId<RequestFingerprint>(fingerprint), wasIsolated: false, sentAt }
}

function recordOf(bornAt?: number): EndpointRecord {
  return {
    id: 'endpoint-1',
    start: endpointStart('endpoint-1', bornAt),
    service: 'models',
    address: '127.0.0.1:1',
    failureDomain: 'domain-a',
    softwareVersion: UNKNOWN_SOFTWARE_VERSION,
    slots: 8,
    isLeaving: false,
    coldMilliseconds: 0,
  }
}

function setUp(
  outcome: ProbeResult | ((probe: number) => ProbeResult),
  afterProbe?: (count: number) => void,
) {
  const clock = new VirtualClock()
  const heard = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
  const reported: EndpointCrash[] = []
  const unresponsiveAt: number[] = []
  const probedAts: number[] = []
  let probes = 0
  const suspects = new SuspectEndpoints()
  const detector = new EndpointCrashDetector({
    clock,
    suspects,
    probe: async () => {
      probes += 1
      if (afterProbe !== undefined) {
        await sleep(clock, PROBE_MILLISECONDS)
        afterProbe(probes)
      }
      return typeof outcome === 'string' ? outcome : outcome(probes)
    },
    onCrash: crash => reported.push(crash),
    onUnresponsive: (_, { lookedAt }) => {
      unresponsiveAt.push(clock.monotonic())
      probedAts.push(lookedAt)
    },
    onProbing: () => {},
    onProbed: () => {},
    onAlive: () => {},
  })
  const directory = new EndpointDirectory({
    clock,
    instances: () => 1,
    maximumConnections: () => 8,
    coldMilliseconds: () => 0,
    onChange: () => {},
    onReplaced: start => detector.noteReplaced(start),
  })
  directory.set(recordOf(1))
  const [state] = directory.available('models')
  /** The endpoint as known when it resets a request. */
  const endpoint = () => {
    const { record = recordOf(1), isPlannedShutdown = false, hasEnded = false } = state ?? {}
    return { ...record, isPlannedShutdown, hasEnded, statePath: undefined, heard: () => heard }
  }
  const unanswered = () =>
    reported.map(crash => crash.unanswered.map(request => request.fingerprint))
  return {
    clock,
    heard,
    detector,
    suspects,
    directory,
    endpoint,
    unanswered,
    unresponsiveAt,
    probedAts,
    probes: () => probes,
  }
}

describe('an endpoint that resets requests', () => {
  it('has terminated if its address refuses connections: one probe covers all unanswered requests', async () => {
    const { detector, endpoint, unanswered, probes } = setUp('nobody-listens')
    await Promise.all([
      detector.noteReset(endpoint(), FIRST),
      detector.noteReset(endpoint(), SECOND),
    ])
    expect(unanswered()).toEqual([['first', 'second']])
    await detector.noteReset(endpoint(), resetRequest('late'))
    expect(unanswered()).toEqual([['first', 'second'], ['late']])
    expect(probes()).toBe(1)
  })

  it('is not reported as crashed by requests that it reset long before, however many resets follow', async () => {
    const { clock, detector, endpoint, directory, unanswered } = setUp('lives')
    for (let count = 0; count < 60; count += 1) {
      await detector.noteReset(endpoint(), resetRequest(`refuted-${count}`, clock.monotonic()))
      await clock.advance(500)
    }
    directory.set(recordOf(2))
    const [held = []] = unanswered()
    expect(held.length).toBeGreaterThan(0)
    expect(held.length).toBeLessThanOrEqual(11)
    expect(held).not.toContain('refuted-0')
  })

  it('is not reported as crashed by requests sent after its first reset, which met only its front', async () => {
    const { clock, detector, endpoint, unanswered } = setUp('nobody-listens')
    await clock.advance(100)
    const known = [detector.noteReset(endpoint(), resetRequest('there', 90))]
    await clock.advance(10)
    known.push(detector.noteReset(endpoint(), resetRequest('sent to its front', 105)))
    expect(await Promise.all(known)).toEqual([true, true])
    expect(unanswered()).toEqual([['there']])
    await detector.noteReset(endpoint(), resetRequest('at the next end', 108))
    expect(unanswered()).toEqual([['there']])
  })

  it.each(['lives', 'no-connection'] as const)(
    'has not terminated if the probe results in %s',
    async probe => {
      const { detector, endpoint, unanswered } = setUp(probe)
      await detector.noteReset(endpoint(), FIRST)
      expect(unanswered()).toEqual([])
    },
  )

  it('has terminated once its row shows a new start, although its address accepts connections again', async () => {
    const { detector, directory, endpoint, unanswered } = setUp('lives')
    await detector.noteReset(endpoint(), FIRST)
    directory.set(recordOf(2))
    expect(unanswered()).toEqual([['first']])
  })

  it('terminates as planned if it announced that it leaves, or if its entry was removed before', async () => {
    const leaving = setUp('nobody-listens')
    leaving.directory.set({ ...recordOf(1), isLeaving: true })
    await leaving.detector.noteReset(leaving.endpoint(), FIRST)
    expect(leaving.unanswered()).toEqual([])
    const gone = setUp('nobody-listens')
    gone.directory.remove('endpoint-1')
    await gone.detector.noteReset(gone.endpoint(), FIRST)
    expect(gone.unanswered()).toEqual([])
  })
})

describe('a terminated endpoint whose address still accepts connections', () => {
  /**
   * Whether a termination is detected if this is received when the first or second probe completes; the reset
   * is at 100.
   */
  async function detectsTermination(
    heardOf: (now: number) => { askedAt?: number; readAt?: number },
    at: number,
  ) {
    const setup: ReturnType<typeof setUp> = setUp('does-not-answer', count => {
      if (count === at) Object.assign(setup.heard, heardOf(setup.clock.monotonic()))
    })
    await setup.clock.advance(100)
    const known = setup.detector.noteReset(setup.endpoint(), resetRequest('there', 90))
    await setup.clock.advance(1_000)
    return known
  }

  it.each([
    ['a report that was requested before the reset and arrived after it', 99, true],
    ['a report that was requested after the reset', 101, false],
  ] as const)('is judged by %s', async (_, askedAt, hasEnded) => {
    expect(await detectsTermination(() => ({ askedAt }), 1)).toBe(hasEnded)
    expect(await detectsTermination(() => ({ askedAt }), 2)).toBe(hasEnded)
  })

  it('has terminated although bytes sent before are read until the first probe completes', async () => {
    expect(await detectsTermination(readAt => ({ readAt }), 1)).toBe(true)
    expect(await detectsTermination(readAt => ({ readAt }), 2)).toBe(false)
  })
})

describe('an endpoint whose probe was inconclusive', () => {
  const { start } = recordOf(1)

  // A silent front resets no further request, so nothing started another probe and the suspicion expired.
  it('is probed again when a suspected request is sent there', async () => {
    const { clock, detector, endpoint, unanswered, probes } = setUp(probe => {
      return probe === 1 ? 'no-connection' : 'nobody-listens'
    })
    await detector.noteReset(endpoint(), FIRST)
    detector.noteSuspectSent(start)
    await clock.advance(99)
    expect([probes(), unanswered()]).toEqual([1, []])
    await clock.advance(1)
    expect([probes(), unanswered()]).toEqual([2, [['first']]])
  })

  it('does not stay suspect longer for that, and an endpoint that is alive or was not probed is not probed again', async () => {
    const unproven = setUp('no-connection', () => {})
    const isKnown = unproven.detector.noteReset(unproven.endpoint(), FIRST)
    await unproven.clock.advance(PROBE_MILLISECONDS)
    await isKnown
    for (let time = 0; time < 8; time += 1) {
      unproven.detector.noteSuspectSent(start)
      await unproven.clock.advance(120)
    }
    const isInDoubt = () => unproven.suspects.isSuspect(start, unproven.clock.monotonic())
    expect([unproven.probes(), isInDoubt()]).toEqual([9, true])
    await unproven.clock.advance(30)
    expect(isInDoubt()).toBe(false)
    const lives = setUp('lives')
    lives.detector.noteSuspectSent(start)
    await lives.detector.noteReset(lives.endpoint(), FIRST)
    lives.detector.noteSuspectSent(start)
    await lives.clock.advance(1_000)
    expect(lives.probes()).toBe(1)
  })
})

describe('an endpoint that another instance reports as terminated', () => {
  const { start } = recordOf(1)

  // An instance with inconclusive probes never reported its marks, and a mark that would have proved a
  // request to be crash-inducing was lost.
  it('was crashed by requests that it reset here, if the probe before or after the report was inconclusive', async () => {
    const before = setUp('no-connection')
    expect(await before.detector.noteReset(before.endpoint(), FIRST)).toBe(false)
    before.detector.notePeerReport(start)
    const during: ReturnType<typeof setUp> = setUp('no-connection', () =>
      during.detector.notePeerReport(start),
    )
    const isKnown = during.detector.noteReset(during.endpoint(), FIRST)
    await during.clock.advance(PROBE_MILLISECONDS)
    expect(await isKnown).toBe(true)
    expect([before.unanswered(), during.unanswered()]).toEqual([[['first']], [['first']]])
  })

  it('has not terminated if a probe found it alive, or it reported its state since', async () => {
    const lives = setUp('lives')
    await lives.detector.noteReset(lives.endpoint(), FIRST)
    lives.detector.notePeerReport(start)
    const heard = setUp('no-connection')
    await heard.detector.noteReset(heard.endpoint(), FIRST)
    heard.heard.askedAt = 1
    heard.detector.notePeerReport(start)
    expect([lives.unanswered(), heard.unanswered()]).toEqual([[], []])
  })
})

describe('an endpoint whose address refuses connections', () => {
  it('gets no request for a second, here or at instances that were told', async () => {
    const { directory, endpoint, clock } = setUp('nobody-listens')
    directory.noteUnreachable(endpoint().start)
    expect(directory.available('models')).toEqual([])
    await clock.advance(1_000)
    expect(directory.available('models')).toHaveLength(1)
  })

  it('does not affect its next start', () => {
    const { directory, endpoint } = setUp('nobody-listens')
    const { start } = endpoint()
    directory.set(recordOf(2))
    directory.noteUnreachable(start)
    expect(directory.available('models')).toHaveLength(1)
  })

  it('crashed under the requests in flight, however late its front resets them', async () => {
    const { clock, detector, endpoint, unanswered } = setUp('does-not-answer')
    await clock.advance(100)
    const known = detector.noteReset(endpoint(), resetRequest('first', 90))
    await clock.advance(25)
    await known
    await clock.advance(1_000)
    await detector.noteReset(endpoint(), resetRequest('held by the front', 95))
    await detector.noteReset(endpoint(), resetRequest('sent to the front', 200))
    detector.stop()
    expect(unanswered()).toEqual([['first'], ['held by the front']])
  })

  it('has not recovered because a probe could not connect', async () => {
    const probeResults: ProbeResult[] = [
      'does-not-answer',
      'does-not-answer',
      'no-connection',
      'lives',
    ]
    const { clock, detector, endpoint, unresponsiveAt, probedAts, probes } = setUp(
      probe => probeResults[probe - 1] ?? 'lives',
    )
    const known = detector.noteReset(endpoint(), FIRST)
    await clock.advance(25)
    await known
    await clock.advance(2_000)
    detector.stop()
    expect(unresponsiveAt).toEqual([25, 525])
    expect(probedAts).toEqual([25, 25])
    expect(probes()).toBe(4)
  })
})
