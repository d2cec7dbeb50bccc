import { expect, it } from 'vitest'
import { MarkedChats } from './standIns/markedChats.js'

/**
 * Guards against isolated chats that crash the next engine while the probe of the last one is in progress: the engine of
 * their hash refuses the connection, since another copy has just crashed it.
 */

const SEEDS = [1, 2, 3, 4, 5, 6]
const MAXIMUM_CRASHES = 3
const MINIMUM_SERVED = 0.95

it.each([
  { probe: 20, interval: 10 },
  { probe: 40, interval: 25 },
  { probe: 70, interval: 25 },
])(
  'a marked chat that comes every $interval ms crashes at most three engines while a probe takes $probe ms',
  async ({ probe, interval }) => {
    const violations: string[] = []
    for (const seed of SEEDS) {
      const { crashes, served } = await new MarkedChats({
        front: 'none',
        seed,
        markedMilliseconds: interval,
        otherMilliseconds: 15,
        probeMilliseconds: [probe, probe, probe],
      }).run()
      if (crashes < 1 || crashes > MAXIMUM_CRASHES || served < MINIMUM_SERVED)
        violations.push(`seed ${seed}: ${crashes} crashes, ${served} served`)
    }
    expect(violations).toEqual([])
  },
)
