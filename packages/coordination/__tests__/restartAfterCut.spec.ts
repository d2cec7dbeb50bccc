import { describe, expect, it } from 'vitest'
import { replayRestart } from '@rackwalk/stand-ins'
import type { RestartOutcome } from '@rackwalk/stand-ins'

const SEEDS = [1, 2, 3]
const CUTS = [0, 5_000, 10_000, 20_000]
const SCARCE_SECONDS = 20
const PLENTY_SECONDS = 60

/** Of what was unspent when all died, a quarter is the least that can be spent again, whoever asks for it. */
const LEAST_REGAINED = 0.25
/** Of a plentiful budget whose callers ask on, half is the least. */
const LEAST_REGAINED_OF_PLENTY = 0.5
/** Of a plentiful budget, callers get nearly all that they ask for, in a cut and after a restart. */
const LEAST_SERVED = 0.9

/** All cuts, with and without peers within reach, and all seeds. */
async function replayAll(secondsLeft: number, demandInCut: number): Promise<Played[]> {
  const played: Played[] = []
  for (const cutMilliseconds of CUTS) {
    for (const hasPeers of [true, false]) {
      for (const seed of SEEDS) {
        const scenario = { seed, cutMilliseconds, hasPeers, secondsLeft, demandInCut }
        const outcome = await replayRestart(scenario)
        played.push({ name: JSON.stringify(scenario), outcome })
      }
    }
  }
  return played
}

interface Played {
  readonly name: string
  readonly outcome: RestartOutcome
}

describe('a budget whose instances all die in a cut from the store', () => {
  it('is not lost to its callers, who find its tokens when the instances are back', async () => {
    for (const secondsLeft of [SCARCE_SECONDS, PLENTY_SECONDS]) {
      for (const demandInCut of [0, 0.3, 1]) {
        for (const { name, outcome } of await replayAll(secondsLeft, demandInCut)) {
          expect(outcome.regained, name).toBeGreaterThan(LEAST_REGAINED)
        }
      }
    }
    for (const { name, outcome } of await replayAll(PLENTY_SECONDS, 1)) {
      expect(outcome.regained, name).toBeGreaterThan(LEAST_REGAINED_OF_PLENTY)
      expect(outcome.servedAfterwards, name).toBeGreaterThan(LEAST_SERVED)
    }
  })

  it('serves its callers during the cut while there is plenty', async () => {
    const played = await replayAll(PLENTY_SECONDS, 1)
    const shares = played.map(({ outcome }) => outcome.servedInCut)
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length
    expect(mean).toBeGreaterThan(LEAST_SERVED)
  })
})
