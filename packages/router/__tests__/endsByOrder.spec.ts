import { expect, it } from 'vitest'
import { MarkedChats } from './standIns/markedChats.js'
import type { Front } from './standIns/markedChats.js'

/**
 * Looks that proved nothing, and errors of fronts, took the suspicion away, and each later try cost one more engine.
 * A silent front while no look tells anything for a second is a limit that the design page names.
 */

const FRONTS: readonly Front[] = ['closes', 'silent', 'answers 500', 'answers 503']
const SEEDS = [1, 2, 3, 4, 5, 6]
const MOST_ENDS = 3

it.each([
  { from: 0, until: 300, fronts: FRONTS },
  { from: 0, until: 1_000, fronts: FRONTS.filter(front => front !== 'silent') },
  { from: 30, until: 600, fronts: FRONTS },
])(
  'a marked chat ends three engines at the most where no look proves anything from $from to $until ms',
  async ({ from, until, fronts }) => {
    const blind = [0, 1, 2].map(instance => ({ instance, from, until }))
    const over: string[] = []
    for (const front of fronts) {
      for (const seed of SEEDS) {
        const { ends } = await new MarkedChats({ front, seed, otherMilliseconds: 15, blind }).run()
        if (ends < 1 || ends > MOST_ENDS) over.push(`${front}, seed ${seed}: ${ends}`)
      }
    }
    expect(over).toEqual([])
  },
)
