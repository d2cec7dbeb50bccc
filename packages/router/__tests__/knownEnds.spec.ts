import { describe, expect, it } from 'vitest'
import type { KnownTermination } from '@rackwalk/decisions'
import { VirtualClock, asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'
import { CrashGuard } from '@rackwalk/router'

/** Which ends of endpoints give up what waits there, and with what times. */

const START = endpointStart('engine', 7)
const FINGERPRINT = asId<RequestFingerprint>('request')

function watch() {
  const clock = new VirtualClock()
  const ends: KnownTermination[] = []
  const guard = new CrashGuard({
    clock,
    probe: async () => 'does-not-answer',
    onCrash: () => {},
    onUnreachable: () => {},
    onKnownEnd: (_, end) => ends.push(end),
    broadcast: () => {},
    onVerdict: () => {},
  })
  return { clock, ends, guard }
}

function breaking() {
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

describe('an end of an endpoint', () => {
  it('is told by every look that shows it, with the time of the break and of that look', async () => {
    const { clock, ends, guard } = watch()
    await clock.advance(1_000)
    const known = guard.noteReset(...breaking())
    await clock.advance(25)
    await known
    await clock.advance(500)
    guard.stop()
    const [first] = ends
    expect(first).toEqual({ source: 'look', brokenAt: 1_000, lookedAt: 1_025 })
    expect(ends.at(-1)).toEqual({ source: 'look', brokenAt: 1_000, lookedAt: 1_525 })
  })

  it('is told by news of it, with the time of the first ones', async () => {
    const { clock, ends, guard } = watch()
    await clock.advance(1_000)
    guard.applyNews({ marks: [], cleared: [], away: [START] })
    await clock.advance(500)
    guard.applyNews({ marks: [], cleared: [], away: [START] })
    expect(ends).toEqual([
      { source: 'news', firstToldAt: 1_000, toldAt: 1_000 },
      { source: 'news', firstToldAt: 1_000, toldAt: 1_500 },
    ])
  })

  it('is not told by a record of it, which may be a week old', () => {
    const { ends, guard } = watch()
    guard.applyNews({
      marks: [{ fingerprint: FINGERPRINT, start: START, wasIsolated: false }],
      cleared: [],
    })
    expect(ends).toEqual([])
  })
})
