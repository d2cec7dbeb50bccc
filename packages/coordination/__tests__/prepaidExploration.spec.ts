import { describe, expect, it } from 'vitest'
import {
  BROKEN_LEDGERS,
  UNANNOUNCING_LEDGER,
  SOUND_LEDGER,
  explorePrepaid,
} from '@rackwalk/stand-ins'

const SEEDS = [1, 20261202]
const RUNS = 400
const CONTROL_RUNS = 600

describe('a prepaid budget under crashes, disconnections, lost and late answers', () => {
  it.each(SEEDS)('is never overspent in any run from seed %i', async seed => {
    const result = await explorePrepaid({ runs: RUNS, seed, variant: SOUND_LEDGER })
    expect(result.failure).toBeUndefined()
    // Runs in which none of these events occurred would prove nothing.
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

  it('is found to be out of reach with a ledger that does not announce its demand', async () => {
    const variant = UNANNOUNCING_LEDGER
    const result = await explorePrepaid({ runs: CONTROL_RUNS, seed: 1, variant })
    expect(result.failure).toContain('reach')
  })

  it.each(BROKEN_LEDGERS)('is found to be overspent by a ledger that $name', async variant => {
    const result = await explorePrepaid({ runs: CONTROL_RUNS, seed: 1, variant })
    expect(result.failure).toContain('prepaid')
  })
})
