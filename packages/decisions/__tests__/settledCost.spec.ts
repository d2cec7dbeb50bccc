import { describe, expect, it } from 'vitest'
import { settledCost } from '@rackwalk/decisions'

const TOKENS = { prompt: 1_000, maximumOutput: 200 }
const TOKENS_PER_EVENT = 4

/** Cost of a request that an endpoint may have run, by what the caller was given of its answer. */
function costOf(hasDelivered: boolean, events: number, isWhole: boolean) {
  const answer = { hasDelivered, events, isWhole }
  return settledCost(answer, TOKENS, TOKENS_PER_EVENT)
}

describe('the cost of a request to its team', () => {
  it.each([
    // Guards against counting a request without an answer at its maximum: the budget then refused
    // requests that it could have covered.
    ['that was never answered', costOf(false, 0, false), 0],
    ['whose answer came whole', costOf(true, 10, true), 1_040],
    // Two events may have been delivered without the instance knowing.
    ['whose answer broke off', costOf(true, 10, false), 1_048],
    ['whose answer broke off before its first event', costOf(true, 0, false), 1_008],
    ['that made more than it asked for', costOf(true, 90, true), 1_200],
  ])('is right for one %s', (_, cost, expected) => {
    expect(cost).toBe(expected)
  })

  it('is 0 for one that never ran', () => {
    const answer = { hasDelivered: false, events: 0, isWhole: false }
    expect(settledCost(answer, TOKENS, TOKENS_PER_EVENT)).toBe(0)
  })
})
