import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { BudgetShortage } from '../src/prepaid/budgetShortage.js'

describe('BudgetShortage', () => {
  it('is one episode from the first refusal to the last, and ends two seconds after it', async () => {
    const clock = new VirtualClock()
    const shortage = new BudgetShortage(clock)
    const told: unknown[] = []
    for (let round = 0; round < 5; round += 1) {
      told.push(shortage.recordRefusal(), shortage.takeEnded())
      await clock.advance(1_500)
    }
    told.push(shortage.isShort, shortage.takeEnded())
    await clock.advance(500)
    told.push(shortage.takeEnded(), shortage.isShort, shortage.takeEnded())
    expect(told).toMatchInlineSnapshot(`
      [
        true,
        undefined,
        false,
        undefined,
        false,
        undefined,
        false,
        undefined,
        false,
        undefined,
        true,
        undefined,
        {
          "milliseconds": 6000,
          "refused": 5,
        },
        false,
        undefined,
      ]
    `)
  })

  it('begins anew after its end', async () => {
    const clock = new VirtualClock()
    const shortage = new BudgetShortage(clock)
    shortage.recordRefusal()
    await clock.advance(2_000)
    shortage.takeEnded()
    expect(shortage.recordRefusal()).toBe(true)
  })
})
