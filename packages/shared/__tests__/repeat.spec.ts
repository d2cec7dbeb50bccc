import { describe, expect, it } from 'vitest'
import { VirtualClock, repeat } from '@rackwalk/shared'

async function advanceDespiteFaults(clock: VirtualClock, duration: number): Promise<number> {
  const end = clock.monotonic() + duration
  let faults = 0
  while (clock.monotonic() < end) {
    await clock.advance(end - clock.monotonic()).catch(() => (faults += 1))
  }
  return faults
}

describe('a repeated task', () => {
  it('is run after each delay until it is cancelled', async () => {
    const clock = new VirtualClock()
    let runs = 0
    let delay = 100
    const timer = repeat(
      clock,
      () => delay,
      () => {
        runs += 1
        delay = 200
      },
    )
    await clock.advance(500)
    expect(runs).toBe(3)
    timer.cancel()
    await clock.advance(500)
    expect(runs).toBe(3)
  })

  // An instance sent no heartbeat any more after one exception.
  it('is run again after it has thrown', async () => {
    const clock = new VirtualClock()
    let runs = 0
    const timer = repeat(
      clock,
      () => 100,
      () => {
        runs += 1
        if (runs <= 2) throw new RangeError('port out of range')
      },
    )
    expect(await advanceDespiteFaults(clock, 1_000)).toBe(2)
    expect(runs).toBe(10)
    timer.cancel()
  })

  it('is not run again if it cancels itself', async () => {
    const clock = new VirtualClock()
    let runs = 0
    const timer = repeat(
      clock,
      () => 100,
      () => {
        runs += 1
        timer.cancel()
      },
    )
    await clock.advance(1_000)
    expect(runs).toBe(1)
  })
})
