import { expect, it } from 'vitest'
import { MarkedChats } from './standIns/markedChats.js'
import type { Front } from './standIns/markedChats.js'

/**
 * Inconclusive probes and errors of fronts once cleared the suspicion, and each later try crashed one more
 * engine. A silent front while no probe gives a result for a second is a limit that the design page names.
 */

const FRONTS: readonly Front[] = ['closes', 'silent', 'answers 500', 'answers 503']
const SEEDS = [1, 2, 3, 4, 5, 6]
const MAXIMUM_CRASHES = 3

it.each([
  { from: 0, until: 300, fronts: FRONTS },
  { from: 0, until: 1_000, fronts: FRONTS.filter(front => front !== 'silent') },
  { from: 30, until: 600, fronts: FRONTS },
])(
  'a marked chat crashes at most three engines while all probes are inconclusive from $from to $until ms',
  async ({ from, until, fronts }) => {
    const inconclusive = [0, 1, 2].map(instance => ({ instance, from, until }))
    const violations: string[] = []
    for (const front of fronts) {
      for (const seed of SEEDS) {
        const { crashes } = await new MarkedChats({
          front,
          seed,
          otherMilliseconds: 15,
          inconclusive,
        }).run()
        if (crashes < 1 || crashes > MAXIMUM_CRASHES)
          violations.push(`${front}, seed ${seed}: ${crashes}`)
      }
    }
    expect(violations).toEqual([])
  },
)
