import { describe, expect, it } from 'vitest'
import type { KnownTermination } from '@rackwalk/decisions'
import { VirtualClock, asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'
import { CrashGuard } from '@rackwalk/router'

/** Which terminations release the requests waiting at an endpoint, and with which times. */

const START = endpointStart('engine', 7)
const FINGERPRINT = asId<RequestFingerprint>('request')

function setUp() {
  const clock = new VirtualClock()
  const terminations: KnownTermination[] = []
  const guard = new CrashGuard({
    clock,
    probe: async () => 'does-not-answer',
    onCrash: () => {},
    onUnreachable: () => {},
    onKnownTermination: (_, termination) => terminations.push(termination),
    broadcast: () => {},
    onVerdict: () => {},
  })
  return { clock, terminations, guard }
}

function resetOfEndpoint() {
  const endpoint = {
    id: 'engine',
    start: START,
    service: 'model',
    address: '127.0.0.1:1',
    statePath: '/load',
    isPlannedShutdown: false,
    hasEnded: false,
    heard: () => ({ askedAt: 0, readAt: 0 }),
  }
  return [endpoint, { fingerprint: FINGERPRINT, wasIsolated: false, sentAt: 0 }] as const
}

describe('a termination of an endpoint', () => {
  it('is reported by every probe that shows it, with the times of the reset and of that probe', async () => {
    const { clock, terminations, guard } = setUp()
    await clock.advance(1_000)
    const known = guard.noteReset(...resetOfEndpoint())
    await clock.advance(25)
    await known
    await clock.advance(500)
    guard.stop()
    const [first] = terminations
    expect(first).toEqual({ source: 'look', resetAt: 1_000, lookedAt: 1_025 })
    expect(terminations.at(-1)).toEqual({ source: 'look', resetAt: 1_000, lookedAt: 1_525 })
  })

  it('is reported by gossip, with the time of the first message', async () => {
    const { clock, terminations, guard } = setUp()
    await clock.advance(1_000)
    guard.applyGossip({ marks: [], cleared: [], away: [START] })
    await clock.advance(500)
    guard.applyGossip({ marks: [], cleared: [], away: [START] })
    expect(terminations).toEqual([
      { source: 'news', firstReportedAt: 1_000, reportedAt: 1_000 },
      { source: 'news', firstReportedAt: 1_000, reportedAt: 1_500 },
    ])
  })

  it('is not reported by a stored record, which may be a week old', () => {
    const { terminations, guard } = setUp()
    guard.applyGossip({
      marks: [{ fingerprint: FINGERPRINT, start: START, wasIsolated: false }],
      cleared: [],
    })
    expect(terminations).toEqual([])
  })
})
