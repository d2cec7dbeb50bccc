import { describe, expect, it } from 'vitest'
import { budgetPatience, returnAfterSeconds } from '@rackwalk/decisions'

describe('the wait for a budget', () => {
  it('is a fifth of the goal, and short at most', () => {
    const goals = [100, 500, 600, 5_000]
    expect(goals.map(budgetPatience)).toEqual([20, 100, 120, 120])
  })

  it('ends with a time to come back at, in hundredths of a second', () => {
    const waits = [undefined, 0, 100, 251, 1_234, 60_000]
    expect(waits.map(returnAfterSeconds)).toEqual([0.25, 0.25, 0.25, 0.25, 1.23, 60])
  })
})
