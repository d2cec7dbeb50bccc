import { describe, expect, it } from 'vitest'
import { BROKEN_LEDGERS, SECRETIVE_LEDGER, SOUND_LEDGER, explorePrepaid } from '@rackwalk/stand-ins'

const SEEDS = [1, 20261202]
const RUNS = 400
const CONTROL_RUNS = 600

describe('a prepaid budget under deaths, cuts, lost and late answers', () => {
  it.each(SEEDS)('is never overspent in any run from seed %i', async seed => {
    const result = await explorePrepaid({ runs: RUNS, seed, variant: SOUND_LEDGER })
    expect(result.failure).toBeUndefined()
    // Runs in which nothing of this happened would prove nothing.
    const events = [
      'reserved',
      'refused',
      'borrowed',
      'prepaid_taken_over',
      'settled',
      'fault',
      'turn',
      'crowded',
    ]
    for (const event of events) {
      expect(result.counts[event], event).toBeGreaterThan(RUNS / 4)
    }
  })

  it('is seen to be out of reach with a ledger that tells nobody that callers ask', async () => {
    const variant = SECRETIVE_LEDGER
    const result = await explorePrepaid({ runs: CONTROL_RUNS, seed: 1, variant })
    expect(result.failure).toContain('reach')
  })

  it.each(BROKEN_LEDGERS)('is seen to be overspent by a ledger that $name', async variant => {
    const result = await explorePrepaid({ runs: CONTROL_RUNS, seed: 1, variant })
    expect(result.failure).toContain('prepaid')
  })
})
