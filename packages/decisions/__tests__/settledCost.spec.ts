import { describe, expect, it } from 'vitest'
import { settledCost } from '@rackwalk/decisions'

const TOKENS = { prompt: 1_000, maximumOutput: 200 }
const TOKENS_PER_EVENT = 4

/** Cost of a request that a server may have run, with what the caller was given of its answer. */
function costOf(hasDelivered: boolean, events: number, isWhole: boolean) {
  const result = { hasDelivered, events, isWhole }
  return settledCost(result, TOKENS, TOKENS_PER_EVENT)
}

describe('what a request has cost its tenant', () => {
  it.each([
    // Found on played days: it was counted at its most, and the budget refused what it owed.
    ['that was never answered', costOf(false, 0, false), 0],
    ['whose answer came whole', costOf(true, 10, true), 1_040],
    // Two events may have been handed out unseen.
    ['whose answer broke off', costOf(true, 10, false), 1_048],
    ['whose answer broke off before its first event', costOf(true, 0, false), 1_008],
    ['that made more than it asked for', costOf(true, 90, true), 1_200],
  ])('is right for one %s', (_, cost, expected) => {
    expect(cost).toBe(expected)
  })

  it('is nothing for one that never ran', () => {
    const result = { hasDelivered: false, events: 0, isWhole: false }
    expect(settledCost(result, TOKENS, TOKENS_PER_EVENT)).toBe(0)
  })
})
