import { describe, expect, it } from 'vitest'
import { exitDelay, shouldSettle } from '@rackwalk/decisions'

const GRACE = 8_000

describe('the end of a drain', () => {
  it('comes when all requests have ended, or the grace time is nearly over', () => {
    const times = [2_600, 3_199, 3_200, 7_099, 7_100]
    const table = times.flatMap(elapsed =>
      [0, 1].map(inFlight => {
        const settles = shouldSettle({ elapsed, grace: GRACE, inFlight })
        return `${elapsed} ms, ${inFlight} in progress: ${settles ? 'settle' : 'wait'}`
      }),
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "2600 ms, 0 in progress: wait",
        "2600 ms, 1 in progress: wait",
        "3199 ms, 0 in progress: wait",
        "3199 ms, 1 in progress: wait",
        "3200 ms, 0 in progress: settle",
        "3200 ms, 1 in progress: wait",
        "7099 ms, 0 in progress: settle",
        "7099 ms, 1 in progress: wait",
        "7100 ms, 0 in progress: settle",
        "7100 ms, 1 in progress: settle",
      ]
    `)
  })

  it('leaves time to end before the kill', () => {
    expect(exitDelay(GRACE)).toBe(7_800)
  })
})
