import { describe, expect, it } from 'vitest'
import { PauseStretchTracker, PrefillTracker, StreamPace, latenessCause } from '@rackwalk/router'
import { VirtualClock } from '@rackwalk/shared'

/** Pauses and pace of streams, and prompts that endpoints read at the same time. */

async function time(pauses: readonly number[], pendingTokens: (now: number) => number) {
  const clock = new VirtualClock()
  const paces: number[] = []
  const stream = new StreamPace({
    clock,
    pendingTokens: () => pendingTokens(clock.monotonic()),
    onPace: pace => paces.push(pace),
  })
  for (const pause of pauses) {
    await clock.advance(pause)
    stream.noteEvents(1)
  }
  return { longestPause: stream.longestPause, paces }
}

const STEADY = Array.from({ length: 20 }, () => 25)

describe('the pace of a stream', () => {
  it('is reported every eight events, not counting the first one', async () => {
    const { paces } = await time([400, ...STEADY], () => 0)
    expect(paces).toEqual([25, 25])
  })

  it('is not reported while its endpoint reads other prompts', async () => {
    const { paces } = await time([400, ...STEADY], now => (now < 520 ? 9_000 : 0))
    expect(paces).toEqual([25])
  })

  it('includes the longest pause and the pending tokens when that began or ended', async () => {
    const { longestPause } = await time([400, 25, 310, 25], now => (now < 500 ? 9_000 : 100))
    expect(longestPause).toEqual({ milliseconds: 310, pendingTokens: 9_000 })
  })

  it('has no pause before the second event', async () => {
    const { longestPause } = await time([400], () => 0)
    expect(longestPause).toBeUndefined()
  })
})

describe('prompts that endpoints read', () => {
  it('are summed with decay, only if long, until the endpoint is removed', async () => {
    const clock = new VirtualClock()
    const tracker = new PrefillTracker(clock)
    tracker.note('s1', 8_000)
    tracker.note('s1', 1_999)
    tracker.note('s1', -8_000)
    const tokens = [tracker.recentTokens('s1')]
    await clock.advance(1_500)
    tokens.push(tracker.recentTokens('s1'))
    tracker.note('s1', 2_000)
    tokens.push(tracker.recentTokens('s1'))
    tracker.forget('s1')
    tokens.push(tracker.recentTokens('s1'))
    expect(tokens).toEqual([8_000, 4_000, 6_000, 0])
  })

  it('stretch pauses, which are tracked by service', () => {
    const tracker = new PauseStretchTracker()
    tracker.note('model', { milliseconds: 290, pendingTokens: 500 }, 300)
    expect(tracker.stretchOf('model')).toBeUndefined()
    tracker.note('model', { milliseconds: 270, pendingTokens: 9_000 }, 300)
    expect([tracker.stretchOf('model'), tracker.stretchOf('other')]).toEqual([0.9, undefined])
  })
})

describe('lateness of an answer', () => {
  const route = { goalMilliseconds: 1_000, pauseGoalMilliseconds: 300 }
  const pause = (milliseconds: number) => ({ milliseconds, pendingTokens: 0 })

  it.each([
    ['none began', undefined, undefined, undefined],
    ['in time', 1_000, pause(300), undefined],
    ['without a second event', 500, undefined, undefined],
    ['late at its beginning', 1_001, pause(400), 'first-byte'],
    ['late by a pause', 500, pause(301), 'pause'],
  ] as const)('is judged where %s', (_, firstByteMilliseconds, longestPause, expected) => {
    expect(latenessCause(route, { firstByteMilliseconds, longestPause })).toBe(expected)
  })

  it('is not caused by a pause if callers accept any pause', () => {
    const patient = { ...route, pauseGoalMilliseconds: undefined }
    const times = { firstByteMilliseconds: 500, longestPause: pause(9_000) }
    expect(latenessCause(patient, times)).toBeUndefined()
  })
})
