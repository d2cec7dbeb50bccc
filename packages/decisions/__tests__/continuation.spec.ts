import { describe, expect, it } from 'vitest'
import { continuationStep, continuedUsage } from '@rackwalk/decisions'
import type { InterruptedAnswer } from '@rackwalk/decisions'

/** What becomes of a chat's answer that was cut after its first pieces. */

const CUT: InterruptedAnswer = {
  isContinuable: true,
  isFullyKnown: true,
  isFinished: false,
  generatedTokens: 3,
  outputTokenLimit: 10,
  continuations: 0,
  isAbandoned: false,
}
const STAYS_CUT = { kind: 'cut' }

describe('an answer that was cut', () => {
  it.each<[string, Partial<InterruptedAnswer>, object]>([
    ['goes on with the rest of its limit', {}, { kind: 'continue', outputTokens: 7 }],
    ['has its last token left', { generatedTokens: 9 }, { kind: 'continue', outputTokens: 1 }],
    ['has had no token', { generatedTokens: 0 }, { kind: 'continue', outputTokens: 10 }],
    ['has nothing left', { generatedTokens: 10 }, { kind: 'close', finishReason: 'length' }],
    ['has more than its limit', { generatedTokens: 11 }, { kind: 'close', finishReason: 'length' }],
    ['is finished', { isFinished: true }, { kind: 'close', finishReason: undefined }],
    ['is of no form that can be continued', { isContinuable: false }, STAYS_CUT],
    ['is finished and of no such form', { isContinuable: false, isFinished: true }, STAYS_CUT],
    ['is not known in full', { isFullyKnown: false }, STAYS_CUT],
    ['has tokens that were not reported', { generatedTokens: undefined }, STAYS_CUT],
    ['was continued before', { continuations: 1 }, STAYS_CUT],
    ['is waited for by nobody', { isAbandoned: true }, STAYS_CUT],
  ])('%s', (_, part, expected) => {
    expect(continuationStep({ ...CUT, ...part })).toEqual(expected)
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
