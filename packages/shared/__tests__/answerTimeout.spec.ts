import { describe, expect, it } from 'vitest'
import { VirtualClock, limitAnswer } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'

/** Time limits for answers, on a clock whose timers may be late. */

const LIMIT: Milliseconds = 90

/** A clock whose timers fire this much late. */
class LateClock extends VirtualClock {
  late: Milliseconds = 0

  override after(delay: Milliseconds, run: () => void) {
    return super.after(delay + this.late, run)
  }
}

function setUp(late: Milliseconds) {
  const clock = new LateClock()
  clock.late = late
  const expiredAt: Milliseconds[] = []
  const timer = limitAnswer(clock, LIMIT, () => expiredAt.push(clock.monotonic()))
  return { clock, timer, expiredAt }
}

describe('the time limit of an answer', () => {
  it.each([0, 10, 25])('expires when its timer fires %i ms late', async late => {
    const { clock, expiredAt } = setUp(late)
    await clock.advance(LIMIT * 10)
    expect(expiredAt).toEqual([LIMIT + late])
  })

  it.each([
    [40, 40],
    [300, LIMIT],
  ])('is extended once when its timer was %i ms late, by %i ms', async (late, extension) => {
    const { clock, expiredAt } = setUp(late)
    clock.late = 0
    await clock.advance(LIMIT * 10)
    expect(expiredAt).toEqual([LIMIT + late + extension])
  })

  it('expires after its extension although each timer is late', async () => {
    const { clock, expiredAt } = setUp(300)
    await clock.advance(LIMIT * 100)
    expect(expiredAt).toEqual([LIMIT + 300 + LIMIT + 300])
  })

  it('does not expire when the answer is read right after a late timer', async () => {
    const { clock, timer, expiredAt } = setUp(300)
    clock.after(LIMIT, () => setImmediate(() => timer.cancel()))
    await clock.advance(LIMIT * 100)
    expect(expiredAt).toEqual([])
  })

  it.each([LIMIT - 1, LIMIT + 1])('does not expire once it is cancelled after %i ms', async at => {
    const { clock, timer, expiredAt } = setUp(300)
    await clock.advance(at)
    timer.cancel()
    await clock.advance(LIMIT * 100)
    expect(expiredAt).toEqual([])
  })
})
