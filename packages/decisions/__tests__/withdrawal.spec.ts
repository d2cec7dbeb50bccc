import { describe, expect, it } from 'vitest'
import { judgeWithdrawal } from '@rackwalk/decisions'
import type { KnownTermination, InFlightAttempt } from '@rackwalk/decisions'

/** Which exchanges are given up when their endpoint is known to have ended, by when they were sent and heard of. */

const BROKEN_AT = 10_000
const LOOKED_AT = 10_200
const LOOK: KnownTermination = { source: 'look', brokenAt: BROKEN_AT, lookedAt: LOOKED_AT }

function sent(sentAt: number, part: Partial<InFlightAttempt> = {}): InFlightAttempt {
  return {
    sentAt,
    heardAt: undefined,
    isPaused: false,
    isRepeatable: true,
    firstDoubtedAt: undefined,
    ...part,
  }
}

function news(toldAt: number, firstToldAt = toldAt): KnownTermination {
  return { source: 'news', firstToldAt, toldAt }
}

describe('an exchange without a part of an answer', () => {
  it.each([
    ['sent before the break', 9_000, 'was-there'],
    ['sent after the break and before the look', 10_100, 'sent-later'],
    ['sent while it was looked', LOOKED_AT, 'none'],
    ['sent to the endpoint that is back', 12_000, 'none'],
  ])('by a look of this instance: %s', (_, sentAt, expected) => {
    expect(judgeWithdrawal(sent(sentAt), LOOK, 0)).toBe(expected)
  })

  it.each([
    ['sent long before the news', 9_000, news(10_000), 0, 'was-there'],
    ['sent since the news may have left', 9_600, news(10_000), 0, 'none'],
    ['sent since, and the news are told again', 9_600, news(10_500, 10_000), 0, 'sent-later'],
    [
      'sent before the news, and the endpoint has told its state since',
      9_000,
      news(10_000),
      9_900,
      'none',
    ],
    [
      'sent before the news, and the endpoint told its state before',
      9_000,
      news(10_000),
      9_400,
      'was-there',
    ],
  ])('by what others tell: %s', (_, sentAt, end, heardAt, expected) => {
    expect(judgeWithdrawal(sent(sentAt), end, heardAt)).toBe(expected)
  })
})

describe('an exchange whose answer has begun', () => {
  it.each([
    ['nothing came for a while', sent(1_000, { heardAt: 9_000 }), LOOK, 'was-there'],
    ['pieces came until the break', sent(1_000, { heardAt: 9_900 }), LOOK, 'none'],
    ['pieces come after the look', sent(1_000, { heardAt: 10_300 }), LOOK, 'none'],
    ['its caller reads slowly', sent(1_000, { heardAt: 2_000, isPaused: true }), LOOK, 'none'],
    ['only others tell of the end', sent(1_000, { heardAt: 2_000 }), news(10_000), 'none'],
  ])('%s', (_, attempt, end, expected) => {
    expect(judgeWithdrawal(attempt, end, 0)).toBe(expected)
  })
})

describe('an exchange that may not be repeated', () => {
  it.each([
    ['at the first look', undefined, LOOK, 0, 'doubted'],
    ['at the same look, told again', LOOKED_AT, LOOK, 0, 'doubted'],
    ['at the next look', LOOKED_AT - 600, LOOK, 0, 'was-there'],
    ['at the next look, after a state was told', LOOKED_AT - 600, LOOK, LOOKED_AT - 100, 'doubted'],
    ['at the first news', undefined, news(10_000), 0, 'doubted'],
    ['at the same news, told by another', 9_990, news(10_000), 0, 'doubted'],
    ['at the next news', 9_500, news(10_000), 0, 'was-there'],
  ])('%s', (_, firstDoubtedAt, end, heardAt, expected) => {
    const attempt = sent(9_000, { isRepeatable: false, firstDoubtedAt })
    expect(judgeWithdrawal(attempt, end, heardAt)).toBe(expected)
  })
})
