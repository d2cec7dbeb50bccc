import { describe, expect, it } from 'vitest'
import { budgetWaitLimit, extendedBudgetWaitLimit, toRetryAfterSeconds } from '@rackwalk/decisions'

describe('the wait for a budget', () => {
  it('is a fifth of the goal, up to a maximum', () => {
    const goals = [100, 500, 600, 5_000]
    expect(goals.map(budgetWaitLimit)).toEqual([20, 100, 120, 120])
  })

  // Guards against refusals of requests that the next write would cover, and against waits beyond
  // the goal or the deadline.
  it('lasts as long as a call to the store where no instance lends, and leaves time for the answer', () => {
    expect(extendedBudgetWaitLimit(500, 4_000)).toBe(300)
    expect(extendedBudgetWaitLimit(5_000, 1_000)).toBe(300)
    expect(extendedBudgetWaitLimit(200, 4_000)).toBe(160)
    expect(extendedBudgetWaitLimit(500, 50)).toBe(50)
  })

  it('ends with a retry time in hundredths of a second', () => {
    const waits = [undefined, 0, 100, 251, 1_234, 60_000]
    expect(waits.map(toRetryAfterSeconds)).toEqual([0.25, 0.25, 0.25, 0.25, 1.23, 60])
  })
})
