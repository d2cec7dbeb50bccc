import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
  interferenceWeights,
  isDuringLongPrefill,
  nextPauseStretch,
  prefillInterference,
} from '@rackwalk/decisions'

/** The cost of prefill for concurrent streams, in prompt tokens, and when it counts. */

const FULL = { stretch: 1, room: 1 }
const IDLE = { running: 0, pendingTokens: 0, uncachedTokens: 0, recentTokens: 0, slowness: 1 }

describe('the harm of reading', () => {
  it.each([
    ['nobody runs', { uncachedTokens: 9_000 }, 300],
    ['ten streams run and the prompt is short', { running: 10, uncachedTokens: 600 }, 300],
    ['ten streams run and the prompt is long', { running: 10, uncachedTokens: 9_000 }, 300],
    [
      'ten streams are harmed already',
      { running: 10, pendingTokens: 20_000, uncachedTokens: 9_000 },
      300,
    ],
    ['the endpoint is slow', { running: 10, uncachedTokens: 9_000, slowness: 2 }, 300],
    ['long prompts were read and the answer is long', { recentTokens: 6_000 }, 300],
    ['long prompts were read and the answer is short', { recentTokens: 6_000 }, 30],
  ] as const)('where %s', (_, endpoint, answerTokens) => {
    expect(prefillInterference({ ...IDLE, ...endpoint }, answerTokens, FULL)).toMatchSnapshot()
  })

  it.each([
    ['not observed yet', [0, 0, 0, 0], undefined],
    ['within what callers accept', [0, 0, 0, 0], 0.77],
    ['a little too long', [0, 0, 0, 0], 0.9],
    ['too long', [0, 0, 0, 0], 1.2],
    ['too long while three of four read', [9_000, 9_000, 9_000, 0], 1.2],
    ['too long while all read', [9_000, 9_000, 9_000, 9_000], 1.2],
  ] as const)('counts where pauses are %s', (_, pending, stretch) => {
    const endpoints = pending.map(pendingTokens => ({ pendingTokens }))
    expect(interferenceWeights(endpoints, stretch)).toMatchSnapshot()
  })

  it('is never negative, nor more than the cost of all streams and of what was read lately', () => {
    const tokens = fc.integer({ min: 0, max: 100_000 })
    const endpoint = fc.record({
      running: fc.integer({ min: 0, max: 200 }),
      pendingTokens: tokens,
      uncachedTokens: tokens,
      recentTokens: tokens,
      slowness: fc.double({ min: 1, max: 10, noNaN: true }),
    })
    fc.assert(
      fc.property(endpoint, tokens, (known, answerTokens) => {
        const harm = prefillInterference(known, answerTokens, FULL)
        expect(harm).toBeGreaterThanOrEqual(0)
        expect(harm).toBeLessThanOrEqual(1_181 * known.running + 2 * known.recentTokens)
      }),
    )
  })
})

describe('how far long prompts stretch pauses', () => {
  it('is observed in pauses beside long prompts only', () => {
    expect([0, 5_999, 6_000].map(isDuringLongPrefill)).toEqual([false, false, true])
  })

  it('follows the longest tenth, and converges from any first value', () => {
    const observed = [0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3]
    const settle = (first: number) => {
      let known: number | undefined = first
      for (let round = 0; round < 40; round += 1) {
        for (const pause of observed) known = nextPauseStretch(known, pause)
      }
      return Math.round((known ?? 0) * 100) / 100
    }
    expect([nextPauseStretch(undefined, 0.7), settle(0.1), settle(5)]).toMatchInlineSnapshot(`
      [
        0.7,
        1.15,
        1.15,
      ]
    `)
  })
})
