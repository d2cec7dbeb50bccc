import { describe, expect, it } from 'vitest'
import type { CrashGossip, ProbeResult } from '@rackwalk/decisions'
import { CrashGuard, EndpointDirectory } from '@rackwalk/router'
import {
  UNKNOWN_SOFTWARE_VERSION,
  VirtualClock,
  asId,
  endpointStart,
  sleep,
} from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** All that was open at an endpoint was told to all instances, one by one, as often as the endpoint was told of as away. */

const START = endpointStart('endpoint-1', 1)
const UNHEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
/** Requests that are open there. */
const OPEN = 30
/** Time between two times that it is told of as away. */
const AWAY_MILLISECONDS = 500

/** What is open at the one endpoint that is listed. */
function exchangesAt(clock: VirtualClock) {
  const directory = new EndpointDirectory({
    clock,
    instances: () => 1,
    maximumConnections: () => 8,
    coldMilliseconds: () => 0,
    onChange: () => {},
  })
  const place = { id: 'endpoint-1', start: START, service: 'models', address: '127.0.0.1:1' }
  const state = {
    failureDomain: 'domain-a',
    softwareVersion: UNKNOWN_SOFTWARE_VERSION,
    slots: 8,
    isLeaving: false,
    coldMilliseconds: 0,
  }
  directory.set({ ...place, ...state })
  const [endpoint] = directory.available('models')
  if (endpoint === undefined) throw new Error('not listed')
  return endpoint.exchanges
}

/** Open exchanges with one start, and what is told of them to others; a look takes so long and shows this. */
function setUp(sign: ProbeResult, lookMilliseconds: number) {
  const clock = new VirtualClock()
  const news: CrashGossip[] = []
  const guard = new CrashGuard({
    clock,
    probe: async () => {
      await sleep(clock, lookMilliseconds)
      return sign
    },
    onCrash: () => {},
    onUnreachable: () => {},
    broadcast: told => news.push(told),
    onVerdict: () => {},
  })
  const exchanges = exchangesAt(clock)
  const known = {
    isPlannedShutdown: false,
    hasEnded: false,
    heard: () => UNHEARD,
    isStartReported: true,
  }
  const address = '127.0.0.1:1'
  const endpoint = { id: 'endpoint-1', start: START, service: 'models', address, ...known }
  const breaking = { ...endpoint, statePath: '/load' }
  for (let count = 0; count < OPEN; count += 1) {
    const fingerprint = asId<RequestFingerprint>(`fingerprint-${count}`)
    const request = { fingerprint, wasIsolated: false, sentAt: 0 }
    exchanges.add({
      open: {
        sentAt: 0,
        lastReceivedAt: 0,
        isRetryable: true,
        isReplyStarted: false,
        isPaused: false,
      },
      statePath: '/load',
      suspect: () => void guard.noteReset(breaking, request),
      end: () => {},
    })
  }
  const suspectAt = async (times: number) => {
    await clock.advance(1_000)
    for (let time = 0; time < times; time += 1) {
      exchanges.suspect(clock.monotonic())
      await clock.advance(AWAY_MILLISECONDS)
    }
    guard.stop()
  }
  const suspected = () => news.filter(told => (told.suspected ?? []).length > 0)
  const marks = () => news.flatMap(told => told.marks)
  return { guard, suspectAt, suspected, marks, news }
}

describe('requests that are open at an endpoint that is told of as away', () => {
  it('are told to others together, and once where the look shows an end', async () => {
    const { suspectAt, suspected, marks, news } = setUp('does-not-answer', 10)
    await suspectAt(5)
    expect(suspected()).toHaveLength(2)
    expect(suspected().flatMap(told => told.suspected)).toHaveLength(OPEN)
    expect(marks()).toHaveLength(OPEN)
    expect(news.filter(told => told.marks.length > 0)).toHaveLength(1)
  })

  it('are told again together, each once, for as long as the look takes', async () => {
    const { guard, suspectAt, suspected } = setUp('does-not-answer', 10_000)
    await suspectAt(4)
    expect(suspected().map(told => told.suspected?.length)).toEqual([
      1,
      OPEN - 1,
      OPEN,
      OPEN,
      OPEN,
      OPEN,
    ])
    expect(guard.verdict(asId(`fingerprint-${OPEN - 1}`))).toBe('isolate')
  })

  it('are told together with each look that showed nothing', async () => {
    const { suspectAt, suspected, marks } = setUp('no-connection', 10)
    await suspectAt(3)
    expect(suspected().map(told => told.suspected?.length)).toEqual(
      [0, 1, 2].flatMap(() => [1, OPEN - 1]),
    )
    expect(marks()).toEqual([])
  })
})
