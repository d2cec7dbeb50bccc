import { describe, expect, it } from 'vitest'
import { PauseStretchTracker, PrefillTracker, StreamPace, latenessCause } from '@rackwalk/router'
import { VirtualClock } from '@rackwalk/shared'

/** Sight of streams: their pauses and pace, and what endpoints read beside them. */

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
  it('is told every eight events, the first one aside', async () => {
    const { paces } = await time([400, ...STEADY], () => 0)
    expect(paces).toEqual([25, 25])
  })

  it('is not told while its endpoint reads beside it', async () => {
    const { paces } = await time([400, ...STEADY], now => (now < 520 ? 9_000 : 0))
    expect(paces).toEqual([25])
  })

  it('knows its longest pause and what was to be read when that began or ended', async () => {
    const { longestPause } = await time([400, 25, 310, 25], now => (now < 500 ? 9_000 : 100))
    expect(longestPause).toEqual({ milliseconds: 310, pendingTokens: 9_000 })
  })

  it('has no pause before the second event', async () => {
    const { longestPause } = await time([400], () => 0)
    expect(longestPause).toBeUndefined()
  })
})

describe('what endpoints read', () => {
  it('fades, counts long prompts only, and ends with the endpoint', async () => {
    const clock = new VirtualClock()
    const meter = new PrefillTracker(clock)
    meter.note('s1', 8_000)
    meter.note('s1', 1_999)
    meter.note('s1', -8_000)
    const tokens = [meter.recentTokens('s1')]
    await clock.advance(1_500)
    tokens.push(meter.recentTokens('s1'))
    meter.note('s1', 2_000)
    tokens.push(meter.recentTokens('s1'))
    meter.forget('s1')
    tokens.push(meter.recentTokens('s1'))
    expect(tokens).toEqual([8_000, 4_000, 6_000, 0])
  })

  it('stretches pauses by service, as those beside long prompts tell', () => {
    const meter = new PauseStretchTracker()
    meter.note('model', { milliseconds: 290, pendingTokens: 500 }, 300)
    expect(meter.stretchOf('model')).toBeUndefined()
    meter.note('model', { milliseconds: 270, pendingTokens: 9_000 }, 300)
    expect([meter.stretchOf('model'), meter.stretchOf('other')]).toEqual([0.9, undefined])
  })
})

describe('an answer', () => {
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

  it('may pause where callers accept any pause', () => {
    const patient = { ...route, pauseGoalMilliseconds: undefined }
    const times = { firstByteMilliseconds: 500, longestPause: pause(9_000) }
    expect(latenessCause(patient, times)).toBeUndefined()
  })
})
