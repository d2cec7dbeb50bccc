import { describe, expect, it } from 'vitest'
import { spentTokens } from '@rackwalk/router'

const TOKENS = { prompt: 1_000, maximumOutput: 200 }
const TOKENS_PER_EVENT = 4

/** Cost of a request with so many events, of which the answer was or was not whole. */
function costOf(mayHaveRun: boolean, events: number, isWhole: boolean) {
  return spentTokens({ mayHaveRun, events, isWhole }, TOKENS, TOKENS_PER_EVENT)
}

describe('what a request has cost its tenant', () => {
  it.each([
    ['that never ran', costOf(false, 0, false), 0],
    ['whose answer came whole', costOf(true, 10, true), 1_040],
    // Two events may have been handed out unseen.
    ['whose answer broke off', costOf(true, 10, false), 1_048],
    // Found on played days: it was counted at its most, and the budget refused what it owed.
    ['that a server read and never answered', costOf(true, 0, false), 1_008],
    ['that made more than it asked for', costOf(true, 90, true), 1_200],
  ])('is right for one %s', (_, cost, expected) => {
    expect(cost).toBe(expected)
  })
})
