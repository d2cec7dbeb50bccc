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

/**
 * Guards against gossip floods: all requests that were open at an endpoint were announced to all instances
 * one by one, each time the endpoint was reported as unresponsive.
 */

const START = endpointStart('endpoint-1', 1)
const NEVER_HEARD = { askedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY }
/** Requests that are open at the endpoint. */
const OPEN = 30
/** Time between two reports that the endpoint is unresponsive. */
const REPORT_MILLISECONDS = 500

/** Open exchanges of the only listed endpoint. */
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

/** Open exchanges with one start, and the gossip about them; a probe takes this long and has this result. */
function setUp(result: ProbeResult, probeMilliseconds: number) {
  const clock = new VirtualClock()
  const broadcasts: CrashGossip[] = []
  const guard = new CrashGuard({
    clock,
    probe: async () => {
      await sleep(clock, probeMilliseconds)
      return result
    },
    onCrash: () => {},
    onUnreachable: () => {},
    broadcast: gossip => broadcasts.push(gossip),
    onVerdict: () => {},
  })
  const exchanges = exchangesAt(clock)
  const known = {
    isPlannedShutdown: false,
    hasEnded: false,
    heard: () => NEVER_HEARD,
    isStartReported: true,
  }
  const address = '127.0.0.1:1'
  const endpoint = { id: 'endpoint-1', start: START, service: 'models', address, ...known }
  const suspectEndpoint = { ...endpoint, statePath: '/load' }
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
      suspect: () => void guard.noteReset(suspectEndpoint, request),
      end: () => {},
    })
  }
  const suspectAt = async (times: number) => {
    await clock.advance(1_000)
    for (let time = 0; time < times; time += 1) {
      exchanges.suspect(clock.monotonic())
      await clock.advance(REPORT_MILLISECONDS)
    }
    guard.stop()
  }
  const suspected = () => broadcasts.filter(gossip => (gossip.suspected ?? []).length > 0)
  const marks = () => broadcasts.flatMap(gossip => gossip.marks)
  return { guard, suspectAt, suspected, marks, broadcasts }
}

describe('requests that are open at an endpoint that is reported as unresponsive', () => {
  it('are announced to peers together, and once if the probe shows a termination', async () => {
    const { suspectAt, suspected, marks, broadcasts } = setUp('does-not-answer', 10)
    await suspectAt(5)
    expect(suspected()).toHaveLength(2)
    expect(suspected().flatMap(gossip => gossip.suspected)).toHaveLength(OPEN)
    expect(marks()).toHaveLength(OPEN)
    expect(broadcasts.filter(gossip => gossip.marks.length > 0)).toHaveLength(1)
  })

  it('are announced again together, each once, for as long as the probe takes', async () => {
    const { guard, suspectAt, suspected } = setUp('does-not-answer', 10_000)
    await suspectAt(4)
    expect(suspected().map(gossip => gossip.suspected?.length)).toEqual([
      1,
      OPEN - 1,
      OPEN,
      OPEN,
      OPEN,
      OPEN,
    ])
    expect(guard.verdict(asId(`fingerprint-${OPEN - 1}`))).toBe('isolate')
  })

  it('are announced together with each inconclusive probe', async () => {
    const { suspectAt, suspected, marks } = setUp('no-connection', 10)
    await suspectAt(3)
    expect(suspected().map(gossip => gossip.suspected?.length)).toEqual(
      [0, 1, 2].flatMap(() => [1, OPEN - 1]),
    )
    expect(marks()).toEqual([])
  })
})
