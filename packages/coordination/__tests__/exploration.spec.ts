import { describe, expect, it } from 'vitest'
import { BROKEN_VARIANTS, SOUND, explore } from '@rackwalk/stand-ins'

const SEEDS = [1, 20261202]
const RUNS = 1_200
const CONTROL_RUNS = 400

describe('coordination under random schedules and faults', () => {
  it.each(SEEDS)('keeps every promise in all runs from seed %i', async seed => {
    const result = await explore({ runs: RUNS, seed, variant: SOUND })
    expect(result.failure).toBeUndefined()
    expect(result.runs).toBe(RUNS)
    // Runs in which none of these events occurred would prove nothing.
    for (const event of ['delivered', 'refused', 'held', 'lent', 'reclaimed', 'unresolved']) {
      expect(result.coverage[event], event).toBeGreaterThan(RUNS / 4)
    }
    expect(result.coverage['claimsLost']).toBeGreaterThan(0)
  })

  it.each(BROKEN_VARIANTS)('catches the variant that $name breaking "$breaks"', async variant => {
    const options = { runs: CONTROL_RUNS, seed: 1, variant, promise: variant.breaks }
    const result = await explore(options)
    expect(result.failure?.message).toContain(`${variant.breaks}:`)
  })
})
