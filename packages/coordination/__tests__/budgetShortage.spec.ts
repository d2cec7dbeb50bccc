import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { BudgetShortage } from '../src/prepaid/budgetShortage.js'

describe('BudgetShortage', () => {
  it('reports one episode from the first refusal to the last, which ends two seconds later', async () => {
    const clock = new VirtualClock()
    const shortage = new BudgetShortage(clock)
    const reported: unknown[] = []
    for (let round = 0; round < 5; round += 1) {
      reported.push(shortage.recordRefusal(), shortage.takeEnded())
      await clock.advance(1_500)
    }
    reported.push(shortage.isShort, shortage.takeEnded())
    await clock.advance(500)
    reported.push(shortage.takeEnded(), shortage.isShort, shortage.takeEnded())
    expect(reported).toMatchInlineSnapshot(`
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

  it('starts a new episode after the last one ended', async () => {
    const clock = new VirtualClock()
    const shortage = new BudgetShortage(clock)
    shortage.recordRefusal()
    await clock.advance(2_000)
    shortage.takeEnded()
    expect(shortage.recordRefusal()).toBe(true)
  })
})
