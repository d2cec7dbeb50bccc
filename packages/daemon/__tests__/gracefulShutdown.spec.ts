import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { shutDownGracefully } from '@rackwalk/daemon'

const GRACE_MILLISECONDS = 8_000

function setUp(settle: () => Promise<boolean>) {
  const clock = new VirtualClock()
  const state = { inFlight: 3, isRefusing: false, isClosed: false }
  const stopped = shutDownGracefully({
    clock,
    graceMilliseconds: () => GRACE_MILLISECONDS,
    inFlight: () => state.inFlight,
    refuse: () => (state.isRefusing = true),
    closeListener: () => (state.isClosed = true),
    settle,
  })
  let endedAt: number | undefined
  const ended = stopped.then(result => {
    endedAt = clock.monotonic()
    return result
  })
  return { clock, state, ended, endedAt: () => endedAt }
}

describe('a planned stop', () => {
  it('serves on for a while, then refuses, and ends with the last request', async () => {
    const { clock, state, ended } = setUp(() => Promise.resolve(true))
    await clock.advance(2_000)
    expect(state).toMatchObject({ isRefusing: false, isClosed: false })
    await clock.advance(2_000)
    expect(state).toMatchObject({ isRefusing: true, isClosed: false })
    state.inFlight = 0
    await clock.advance(100)
    expect(state.isClosed).toBe(true)
    expect(await ended).toEqual({ cutOff: 0, isSettled: true })
  })

  it('ends within the grace time when the store does not answer', async () => {
    // Guards against a shutdown that outlives the grace time because it waits for holdings to be settled while the
    // store is down.
    const { clock, state, ended, endedAt } = setUp(() => new Promise(() => {}))
    state.inFlight = 0
    await clock.advance(GRACE_MILLISECONDS)
    expect(await ended).toEqual({ cutOff: 0, isSettled: false })
    expect(endedAt()).toBeLessThan(GRACE_MILLISECONDS)
  })

  it('reports how many requests were cut off at the end of the grace time', async () => {
    const { clock, ended, endedAt } = setUp(() => Promise.resolve(true))
    await clock.advance(GRACE_MILLISECONDS)
    expect(await ended).toEqual({ cutOff: 3, isSettled: true })
    expect(endedAt()).toBeLessThan(GRACE_MILLISECONDS)
  })
})
