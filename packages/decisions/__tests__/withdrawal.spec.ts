import { describe, expect, it } from 'vitest'
import { judgeWithdrawal } from '@rackwalk/decisions'
import type { KnownTermination, InFlightAttempt } from '@rackwalk/decisions'

/**
 * A request that waits at the address of a terminated endpoint, behind a front that keeps the connection open, is never
 * answered. These tests check which attempts are withdrawn, by when they were sent and when something last arrived.
 */

const RESET_AT = 10_000
const PROBED_AT = 10_200
const PROBE: KnownTermination = { source: 'look', resetAt: RESET_AT, lookedAt: PROBED_AT }

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

function gossip(reportedAt: number, firstReportedAt = reportedAt): KnownTermination {
  return { source: 'news', firstReportedAt, reportedAt }
}

describe('an attempt without a part of an answer', () => {
  it.each([
    ['sent before the reset', 9_000, 'was-there'],
    ['sent after the reset and before the probe', 10_100, 'sent-later'],
    ['sent during the probe', PROBED_AT, 'none'],
    ['sent when the endpoint is back', 12_000, 'none'],
  ])('by a probe of this instance: %s', (_, sentAt, expected) => {
    expect(judgeWithdrawal(sent(sentAt), PROBE, 0)).toBe(expected)
  })

  it.each([
    ['sent long before the gossip', 9_000, gossip(10_000), 0, 'was-there'],
    ['sent after the gossip may have left', 9_600, gossip(10_000), 0, 'none'],
    ['sent after that, and the gossip is repeated', 9_600, gossip(10_500, 10_000), 0, 'sent-later'],
    [
      'sent before the gossip, and the endpoint has reported its state since',
      9_000,
      gossip(10_000),
      9_900,
      'none',
    ],
    [
      'sent before the gossip, and the endpoint reported its state before',
      9_000,
      gossip(10_000),
      9_400,
      'was-there',
    ],
  ])('by gossip: %s', (_, sentAt, end, heardAt, expected) => {
    expect(judgeWithdrawal(sent(sentAt), end, heardAt)).toBe(expected)
  })
})

describe('an attempt whose answer has begun', () => {
  it.each([
    ['nothing arrived for a while', sent(1_000, { heardAt: 9_000 }), PROBE, 'was-there'],
    ['parts arrived until the reset', sent(1_000, { heardAt: 9_900 }), PROBE, 'none'],
    ['parts arrive after the probe', sent(1_000, { heardAt: 10_300 }), PROBE, 'none'],
    ['its caller reads slowly', sent(1_000, { heardAt: 2_000, isPaused: true }), PROBE, 'none'],
    [
      'only gossip reports the termination',
      sent(1_000, { heardAt: 2_000 }),
      gossip(10_000),
      'none',
    ],
  ])('%s', (_, attempt, end, expected) => {
    expect(judgeWithdrawal(attempt, end, 0)).toBe(expected)
  })
})

describe('an attempt whose request may not be repeated', () => {
  it.each([
    ['at the first probe', undefined, PROBE, 0, 'doubted'],
    ['at the same probe, reported again', PROBED_AT, PROBE, 0, 'doubted'],
    ['at the next probe', PROBED_AT - 600, PROBE, 0, 'was-there'],
    ['at the next probe, after a state report', PROBED_AT - 600, PROBE, PROBED_AT - 100, 'doubted'],
    ['at the first gossip', undefined, gossip(10_000), 0, 'doubted'],
    ['at the same gossip, from another instance', 9_990, gossip(10_000), 0, 'doubted'],
    ['at the next gossip', 9_500, gossip(10_000), 0, 'was-there'],
  ])('%s', (_, firstDoubtedAt, end, heardAt, expected) => {
    const attempt = sent(9_000, { isRepeatable: false, firstDoubtedAt })
    expect(judgeWithdrawal(attempt, end, heardAt)).toBe(expected)
  })
})
