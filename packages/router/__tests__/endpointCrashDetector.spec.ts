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

/** When a broken request says that its endpoint has ended, and when it doesn't. */

const FIRST = broken('first')
/** What a look takes. */
const LOOK_MILLISECONDS = 10
const SECOND = broken('second')

function broken(fingerprint: string, sentAt = 0) {
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

function watch(
  outcome: ProbeResult | ((look: number) => ProbeResult),
  onLooked?: (count: number) => void,
) {
  const clock = new VirtualClock()
  const heard = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
  const told: EndpointCrash[] = []
  const away: number[] = []
  const lookedAts: number[] = []
  let probes = 0
  const starts = new SuspectEndpoints()
  const ends = new EndpointCrashDetector({
    clock,
    suspects: starts,
    probe: async () => {
      probes += 1
      if (onLooked !== undefined) {
        await sleep(clock, LOOK_MILLISECONDS)
        onLooked(probes)
      }
      return typeof outcome === 'string' ? outcome : outcome(probes)
    },
    onCrash: end => told.push(end),
    onUnresponsive: (_, { lookedAt }) => {
      away.push(clock.monotonic())
      lookedAts.push(lookedAt)
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
    onReplaced: start => ends.noteReplaced(start),
  })
  directory.set(recordOf(1))
  const [state] = directory.available('models')
  /** The endpoint as it is known when it breaks a request off. */
  const endpoint = () => {
    const { record = recordOf(1), isPlannedShutdown = false, hasEnded = false } = state ?? {}
    return { ...record, isPlannedShutdown, hasEnded, statePath: undefined, heard: () => heard }
  }
  const unanswered = () => told.map(end => end.unanswered.map(request => request.fingerprint))
  return {
    clock,
    heard,
    ends,
    broken: starts,
    directory,
    endpoint,
    unanswered,
    away,
    lookedAts,
    probes: () => probes,
  }
}

describe('an endpoint that breaks requests off', () => {
  it('has ended where nobody listens there: one look tells of all that it had not answered', async () => {
    const { ends, endpoint, unanswered, probes } = watch('nobody-listens')
    await Promise.all([ends.noteReset(endpoint(), FIRST), ends.noteReset(endpoint(), SECOND)])
    expect(unanswered()).toEqual([['first', 'second']])
    await ends.noteReset(endpoint(), broken('late'))
    expect(unanswered()).toEqual([['first', 'second'], ['late']])
    expect(probes()).toBe(1)
  })

  it('has not ended under what it broke off long before, however much it breaks off since', async () => {
    const { clock, ends, endpoint, directory, unanswered } = watch('lives')
    for (let count = 0; count < 60; count += 1) {
      await ends.noteReset(endpoint(), broken(`refuted-${count}`, clock.monotonic()))
      await clock.advance(500)
    }
    directory.set(recordOf(2))
    const [held = []] = unanswered()
    expect(held.length).toBeGreaterThan(0)
    expect(held.length).toBeLessThanOrEqual(11)
    expect(held).not.toContain('refuted-0')
  })

  it('has not ended under what was sent after its first break: that met its front', async () => {
    const { clock, ends, endpoint, unanswered } = watch('nobody-listens')
    await clock.advance(100)
    const known = [ends.noteReset(endpoint(), broken('there', 90))]
    await clock.advance(10)
    known.push(ends.noteReset(endpoint(), broken('sent to its front', 105)))
    expect(await Promise.all(known)).toEqual([true, true])
    expect(unanswered()).toEqual([['there']])
    await ends.noteReset(endpoint(), broken('at the next end', 108))
    expect(unanswered()).toEqual([['there']])
  })

  it.each(['lives', 'no-connection'] as const)(
    'has not ended where the look says %s',
    async look => {
      const { ends, endpoint, unanswered } = watch(look)
      await ends.noteReset(endpoint(), FIRST)
      expect(unanswered()).toEqual([])
    },
  )

  it('has ended also where it listens again, once its row tells of a new start', async () => {
    const { ends, directory, endpoint, unanswered } = watch('lives')
    await ends.noteReset(endpoint(), FIRST)
    directory.set(recordOf(2))
    expect(unanswered()).toEqual([['first']])
  })

  it('ends as planned where it said that it leaves, or where its entry went first', async () => {
    const leaving = watch('nobody-listens')
    leaving.directory.set({ ...recordOf(1), isLeaving: true })
    await leaving.ends.noteReset(leaving.endpoint(), FIRST)
    expect(leaving.unanswered()).toEqual([])
    const gone = watch('nobody-listens')
    gone.directory.remove('endpoint-1')
    await gone.ends.noteReset(gone.endpoint(), FIRST)
    expect(gone.unanswered()).toEqual([])
  })
})

describe('an endpoint behind whose address something goes on listening', () => {
  /** Whether an end is told, where this is heard when the first, second look is over; the break is at 100. */
  async function isEnd(
    heardOf: (now: number) => { askedAt?: number; readAt?: number },
    at: number,
  ) {
    const played: ReturnType<typeof watch> = watch('does-not-answer', count => {
      if (count === at) Object.assign(played.heard, heardOf(played.clock.monotonic()))
    })
    await played.clock.advance(100)
    const known = played.ends.noteReset(played.endpoint(), broken('there', 90))
    await played.clock.advance(1_000)
    return known
  }

  it.each([
    ['a report that was asked for before the break and came after it', 99, true],
    ['a report that was asked for after the break', 101, false],
  ] as const)('is judged by %s', async (_, askedAt, hasEnded) => {
    expect(await isEnd(() => ({ askedAt }), 1)).toBe(hasEnded)
    expect(await isEnd(() => ({ askedAt }), 2)).toBe(hasEnded)
  })

  it('has ended although bytes that left before are read until the first look is over', async () => {
    expect(await isEnd(readAt => ({ readAt }), 1)).toBe(true)
    expect(await isEnd(readAt => ({ readAt }), 2)).toBe(false)
  })
})

describe('an endpoint that no look could judge', () => {
  const { start } = recordOf(1)

  // A silent front breaks nothing more off, so nobody looked again and the suspicion lapsed.
  it('is looked at again when a suspected request is sent there', async () => {
    const { clock, ends, endpoint, unanswered, probes } = watch(look => {
      return look === 1 ? 'no-connection' : 'nobody-listens'
    })
    await ends.noteReset(endpoint(), FIRST)
    ends.noteSuspectSent(start)
    await clock.advance(99)
    expect([probes(), unanswered()]).toEqual([1, []])
    await clock.advance(1)
    expect([probes(), unanswered()]).toEqual([2, [['first']]])
  })

  it('is in doubt no longer for that, and one that lives or was not looked at is left alone', async () => {
    const unproven = watch('no-connection', () => {})
    const isKnown = unproven.ends.noteReset(unproven.endpoint(), FIRST)
    await unproven.clock.advance(LOOK_MILLISECONDS)
    await isKnown
    for (let time = 0; time < 8; time += 1) {
      unproven.ends.noteSuspectSent(start)
      await unproven.clock.advance(120)
    }
    const isInDoubt = () => unproven.broken.isSuspect(start, unproven.clock.monotonic())
    expect([unproven.probes(), isInDoubt()]).toEqual([9, true])
    await unproven.clock.advance(30)
    expect(isInDoubt()).toBe(false)
    const lives = watch('lives')
    lives.ends.noteSuspectSent(start)
    await lives.ends.noteReset(lives.endpoint(), FIRST)
    lives.ends.noteSuspectSent(start)
    await lives.clock.advance(1_000)
    expect(lives.probes()).toBe(1)
  })
})

describe('an endpoint that another instance tells of as ended', () => {
  const { start } = recordOf(1)

  // An instance whose looks showed nothing kept its marks untold, and one that proves a request was lost with them.
  it('has ended under what broke off here, where the look showed nothing before or shows nothing', async () => {
    const before = watch('no-connection')
    expect(await before.ends.noteReset(before.endpoint(), FIRST)).toBe(false)
    before.ends.notePeerReport(start)
    const during: ReturnType<typeof watch> = watch('no-connection', () =>
      during.ends.notePeerReport(start),
    )
    const isKnown = during.ends.noteReset(during.endpoint(), FIRST)
    await during.clock.advance(LOOK_MILLISECONDS)
    expect(await isKnown).toBe(true)
    expect([before.unanswered(), during.unanswered()]).toEqual([[['first']], [['first']]])
  })

  it('has not ended where a look showed life, or it told its state since', async () => {
    const lives = watch('lives')
    await lives.ends.noteReset(lives.endpoint(), FIRST)
    lives.ends.notePeerReport(start)
    const heard = watch('no-connection')
    await heard.ends.noteReset(heard.endpoint(), FIRST)
    heard.heard.askedAt = 1
    heard.ends.notePeerReport(start)
    expect([lives.unanswered(), heard.unanswered()]).toEqual([[], []])
  })
})

describe('an endpoint where nobody listens', () => {
  it('is left alone for a second, by whoever saw it or was told', async () => {
    const { directory, endpoint, clock } = watch('nobody-listens')
    directory.noteUnreachable(endpoint().start)
    expect(directory.available('models')).toEqual([])
    await clock.advance(1_000)
    expect(directory.available('models')).toHaveLength(1)
  })

  it('says nothing of the start that follows it', () => {
    const { directory, endpoint } = watch('nobody-listens')
    const { start } = endpoint()
    directory.set(recordOf(2))
    directory.noteUnreachable(start)
    expect(directory.available('models')).toHaveLength(1)
  })

  it('ended under what was there, however late its front lets go of that', async () => {
    const { clock, ends, endpoint, unanswered } = watch('does-not-answer')
    await clock.advance(100)
    const known = ends.noteReset(endpoint(), broken('first', 90))
    await clock.advance(25)
    await known
    await clock.advance(1_000)
    await ends.noteReset(endpoint(), broken('held by the front', 95))
    await ends.noteReset(endpoint(), broken('sent to the front', 200))
    ends.stop()
    expect(unanswered()).toEqual([['first'], ['held by the front']])
  })

  it('is not back for a look to which no connection came up', async () => {
    const looks: ProbeResult[] = ['does-not-answer', 'does-not-answer', 'no-connection', 'lives']
    const { clock, ends, endpoint, away, lookedAts, probes } = watch(
      look => looks[look - 1] ?? 'lives',
    )
    const known = ends.noteReset(endpoint(), FIRST)
    await clock.advance(25)
    await known
    await clock.advance(2_000)
    ends.stop()
    expect(away).toEqual([25, 525])
    expect(lookedAts).toEqual([25, 25])
    expect(probes()).toBe(4)
  })
})
