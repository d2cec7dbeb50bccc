import { describe, expect, it } from 'vitest'
import { replayRestart } from '@rackwalk/stand-ins'
import type { RestartOutcome } from '@rackwalk/stand-ins'

const SEEDS = [1, 2, 3]
const CUTS = [0, 5_000, 10_000, 20_000]
const SCARCE_SECONDS = 20
const PLENTY_SECONDS = 60

/**
 * At least a quarter of the tokens that were unspent when all instances crashed must be spendable
 * again, whoever requests them.
 */
const LEAST_REGAINED = 0.25
/** At least half, if the budget is plentiful and its callers continue to request tokens. */
const LEAST_REGAINED_OF_PLENTY = 0.5
/**
 * Of a plentiful budget, callers get nearly all requested tokens, during a disconnection and after
 * a restart.
 */
const LEAST_SERVED = 0.9

/** Replays all durations of the disconnection, with and without reachable peers, for all seeds. */
async function replayAll(secondsLeft: number, demandInCut: number): Promise<Replay[]> {
  const replays: Replay[] = []
  for (const cutMilliseconds of CUTS) {
    for (const hasPeers of [true, false]) {
      for (const seed of SEEDS) {
        const scenario = { seed, cutMilliseconds, hasPeers, secondsLeft, demandInCut }
        const outcome = await replayRestart(scenario)
        replays.push({ name: JSON.stringify(scenario), outcome })
      }
    }
  }
  return replays
}

interface Replay {
  readonly name: string
  readonly outcome: RestartOutcome
}

describe('a budget whose instances all crash while disconnected from the store', () => {
  it('is available to its callers again after the instances restart', async () => {
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

  it('serves its callers during the disconnection while it is plentiful', async () => {
    const replays = await replayAll(PLENTY_SECONDS, 1)
    const shares = replays.map(({ outcome }) => outcome.servedInCut)
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length
    expect(mean).toBeGreaterThan(LEAST_SERVED)
  })
})
