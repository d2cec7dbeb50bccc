import { describe, expect, it } from 'vitest'
import { replayEscrowRestart } from '@rackwalk/stand-ins'
import type { EscrowRestartOutcome } from '@rackwalk/stand-ins'

const SEEDS = [1, 2, 3]
const OUTAGES = [0, 5_000, 10_000, 20_000]
/**
 * Starts ten seconds after the instances restart and ends while the budget still has tokens in
 * every replay.
 */
const SPANS_WITH_TOKENS = [2, 4] as const
const LEAST_SERVED = 0.25

async function replayAll(): Promise<readonly [string, EscrowRestartOutcome][]> {
  const replays: [string, EscrowRestartOutcome][] = []
  for (const outageMilliseconds of OUTAGES) {
    for (const seed of SEEDS) {
      const name = `outage of ${outageMilliseconds} ms, seed ${seed}`
      replays.push([name, await replayEscrowRestart({ outageMilliseconds, seed })])
    }
  }
  return replays
}

describe('a budget of the OpenAI-style kind whose instances all crash in an outage of the table', () => {
  it('serves requests again seconds after the instances restart', async () => {
    for (const [name, { servedAfterwards }] of await replayAll()) {
      for (const served of servedAfterwards.slice(...SPANS_WITH_TOKENS)) {
        expect(served, name).toBeGreaterThan(LEAST_SERVED)
      }
    }
  })

  it('is not spent beyond its limit', async () => {
    for (const [name, { spent, limit }] of await replayAll()) {
      expect(spent, name).toBeLessThanOrEqual(limit)
    }
  })
})
