import { describe, expect, it } from 'vitest'
import { continuationStep, continuedUsage } from '@rackwalk/decisions'
import type { InterruptedAnswer } from '@rackwalk/decisions'

/**
 * An engine that terminates under its streams would cut all of them. These tests check which interrupted answers another
 * engine continues, and that the caller pays at most for the prompt and the limit.
 */

const INTERRUPTED: InterruptedAnswer = {
  isContinuable: true,
  isFullyKnown: true,
  isFinished: false,
  generatedTokens: 3,
  outputTokenLimit: 10,
  continuations: 0,
  isAbandoned: false,
}
const STAYS_CUT = { kind: 'cut' }

describe('an answer that was interrupted', () => {
  it.each<[string, Partial<InterruptedAnswer>, object]>([
    ['is continued with the rest of its limit', {}, { kind: 'continue', outputTokens: 7 }],
    ['has one token left', { generatedTokens: 9 }, { kind: 'continue', outputTokens: 1 }],
    ['has no token yet', { generatedTokens: 0 }, { kind: 'continue', outputTokens: 10 }],
    ['has no token left', { generatedTokens: 10 }, { kind: 'close', finishReason: 'length' }],
    ['has more than its limit', { generatedTokens: 11 }, { kind: 'close', finishReason: 'length' }],
    ['is finished', { isFinished: true }, { kind: 'close', finishReason: undefined }],
    ['has a form that cannot be continued', { isContinuable: false }, STAYS_CUT],
    ['is finished and has such a form', { isContinuable: false, isFinished: true }, STAYS_CUT],
    ['is not known in full', { isFullyKnown: false }, STAYS_CUT],
    ['has tokens that were not reported', { generatedTokens: undefined }, STAYS_CUT],
    ['was continued before', { continuations: 1 }, STAYS_CUT],
    ['has no caller that waits for it', { isAbandoned: true }, STAYS_CUT],
  ])('%s', (_, part, expected) => {
    expect(continuationStep({ ...INTERRUPTED, ...part })).toEqual(expected)
  })

  it('never costs more than the prompt and the limit', () => {
    const first = { promptTokens: 20, generatedTokens: 4 }
    for (let second = 0; second < 20; second += 1) {
      const { promptTokens, generatedTokens } = continuedUsage(first, second, 10)
      expect(promptTokens).toBe(20)
      expect(generatedTokens).toBe(Math.min(10, 4 + second))
    }
  })
})
