import { describe, expect, it, vi } from 'vitest'
import { SystemClock } from '@rackwalk/shared'
import type { TimeSources } from '@rackwalk/shared'

/**
 * How the clock of the process advances when the machine is suspended or its time of day is set.
 */

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

/** Milliseconds that pass on both clocks during the simulated events. */
function elapsedDuring(simulate: (time: MachineTime, read: () => void) => void) {
  const time = new MachineTime()
  const clock = new SystemClock(time)
  const [steady, sinceStart] = [clock.monotonic(), clock.sinceStart()]
  simulate(time, () => clock.sinceStart())
  return { monotonic: clock.monotonic() - steady, sinceStart: clock.sinceStart() - sinceStart }
}

describe('the clock of a process', () => {
  it('counts suspensions in sinceStart, and no change of the time of day', () => {
    expect({
      'time passes': elapsedDuring(time => time.pass(2_000)),
      'a suspension': elapsedDuring(time => time.suspend(10_000)),
      'set forward': elapsedDuring(time => time.step(10_000)),
      'set back': elapsedDuring(time => time.step(-10_000)),
      'set forward and back': elapsedDuring((time, read) => {
        time.step(10_000)
        read()
        time.step(-10_000)
      }),
      'set forward, then a suspension': elapsedDuring((time, read) => {
        time.step(10_000)
        read()
        time.suspend(3_000)
      }),
      'a suspension, then set forward': elapsedDuring((time, read) => {
        time.suspend(3_000)
        read()
        time.step(10_000)
      }),
      'set forward in a suspension': elapsedDuring(time => {
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

/**
 * A deadline that fired early was reported as another cause, since the clock had not reached it.
 */
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

  // Node.js replaces a delay that it cannot represent by one millisecond, with a warning each time.
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
