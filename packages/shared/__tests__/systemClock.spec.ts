import { describe, expect, it, vi } from 'vitest'
import { SystemClock } from '@rackwalk/shared'
import type { TimeSources } from '@rackwalk/shared'

/** What ages by the clock of the process, whatever happens to the machine and to its time of day. */

class MachineTime implements TimeSources {
  steadyTime = 1_000
  dayTime = 1_700_000_000_000
  bootTime = 50_000

  steady(): number {
    return this.steadyTime
  }

  timeOfDay(): number {
    return this.dayTime
  }

  sinceBoot(): number {
    return this.bootTime
  }

  pass(milliseconds: number): void {
    this.steadyTime += milliseconds
    this.suspend(milliseconds)
  }

  suspend(milliseconds: number): void {
    this.bootTime += milliseconds
    this.dayTime += milliseconds
  }

  step(milliseconds: number): void {
    this.dayTime += milliseconds
  }
}

/** Milliseconds that pass on both clocks through what happens. */
function ageing(happen: (time: MachineTime, look: () => void) => void) {
  const time = new MachineTime()
  const clock = new SystemClock(time)
  const [steady, since] = [clock.monotonic(), clock.sinceStart()]
  happen(time, () => clock.sinceStart())
  return { monotonic: clock.monotonic() - steady, sinceStart: clock.sinceStart() - since }
}

describe('the clock of a process', () => {
  it('ages what is known by a suspension, and by nothing that is done to the time of day', () => {
    expect({
      'time passes': ageing(time => time.pass(2_000)),
      'a suspension': ageing(time => time.suspend(10_000)),
      'set forward': ageing(time => time.step(10_000)),
      'set back': ageing(time => time.step(-10_000)),
      'set forward and back': ageing((time, look) => {
        time.step(10_000)
        look()
        time.step(-10_000)
      }),
      'set forward, then a suspension': ageing((time, look) => {
        time.step(10_000)
        look()
        time.suspend(3_000)
      }),
      'a suspension, then set forward': ageing((time, look) => {
        time.suspend(3_000)
        look()
        time.step(10_000)
      }),
      'set forward in a suspension': ageing(time => {
        time.suspend(3_000)
        time.step(10_000)
      }),
    }).toMatchInlineSnapshot(`
      {
        "a suspension": {
          "monotonic": 0,
          "sinceStart": 10000,
        },
        "a suspension, then set forward": {
          "monotonic": 0,
          "sinceStart": 3000,
        },
        "set back": {
          "monotonic": 0,
          "sinceStart": 0,
        },
        "set forward": {
          "monotonic": 0,
          "sinceStart": 0,
        },
        "set forward and back": {
          "monotonic": 0,
          "sinceStart": 0,
        },
        "set forward in a suspension": {
          "monotonic": 0,
          "sinceStart": 3000,
        },
        "set forward, then a suspension": {
          "monotonic": 0,
          "sinceStart": 3000,
        },
        "time passes": {
          "monotonic": 2000,
          "sinceStart": 2000,
        },
      }
    `)
  })
})

/** A deadline that fired early was told as another end, since the clock had not come to it. */
describe('a timer of the clock of a process', () => {
  it('does not fire before its delay has passed by that clock', async () => {
    const clock = new SystemClock()
    const earliness = await Promise.all(
      Array.from({ length: 200 }, async (_, index) => {
        const delay = 5 + index / 7
        const startedAt = clock.monotonic()
        await new Promise<void>(resolve => clock.after(delay, resolve))
        return delay - (clock.monotonic() - startedAt)
      }),
    )
    expect(Math.max(...earliness)).toBeLessThanOrEqual(0)
  })

  // Node.js makes a delay that it can't count one millisecond, with a warning each time.
  it('asks for no longer delay at a time than Node.js can count', () => {
    const clock = new SystemClock()
    const asked = vi.spyOn(globalThis, 'setTimeout')
    const timers = [2 ** 31, Infinity].map(delay => clock.after(delay, () => {}))
    const delays = asked.mock.calls.map(([, delay]) => delay)
    asked.mockRestore()
    for (const timer of timers) timer.cancel()
    expect(delays).toEqual([2 ** 31 - 1, 2 ** 31 - 1])
  })

  it('does not fire once it is cancelled', async () => {
    const clock = new SystemClock()
    let fired = 0
    const timer = clock.after(5, () => (fired += 1))
    timer.cancel()
    await new Promise<void>(resolve => clock.after(20, resolve))
    expect(fired).toBe(0)
  })
})
