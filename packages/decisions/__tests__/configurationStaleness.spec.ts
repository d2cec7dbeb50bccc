import { describe, expect, it } from 'vitest'
import {
  confirmationLifetime,
  isTooStale,
  maximumFeedWait,
  shouldAskPeers,
} from '@rackwalk/decisions'
import type { RowStaleness, ContactAges } from '@rackwalk/decisions'

const NEVER = Number.POSITIVE_INFINITY

function rows(ageMilliseconds: number, more: Partial<RowStaleness> = {}): RowStaleness {
  return { ageMilliseconds, boundMilliseconds: 3_000, confirmedAgoMilliseconds: NEVER, ...more }
}

function contact(heard: number, answered: number): ContactAges {
  return { heardAgoMilliseconds: heard, answeredAgoMilliseconds: answered }
}

describe('rows that an instance serves by', () => {
  it('lead to refusals by age only where the instance itself is late', () => {
    const ages = [1_000, 2_600, 2_701, 8_000]
    const cases: readonly [string, Partial<RowStaleness>, ContactAges][] = [
      ['a peer is heard, and none answers', {}, contact(500, NEVER)],
      ['the store answers other calls', {}, contact(NEVER, 700)],
      ['all fell silent', {}, contact(1_200, 1_200)],
      ['a peer knows nothing newer either', { confirmedAgoMilliseconds: 1_200 }, contact(100, 100)],
      ['a peer knew nothing newer earlier', { confirmedAgoMilliseconds: 1_201 }, contact(100, 100)],
    ]
    const decided = cases.map(([name, more, reachability]) => {
      const refused = ages.filter(age => isTooStale(rows(age, more), reachability))
      return `${name}: refused at ${refused.join(', ') || 'none'}`
    })
    expect(decided).toMatchInlineSnapshot(`
      [
        "a peer is heard, and none answers: refused at 2701, 8000",
        "the store answers other calls: refused at 2701, 8000",
        "all fell silent: refused at none",
        "a peer knows nothing newer either: refused at none",
        "a peer knew nothing newer earlier: refused at 2701, 8000",
      ]
    `)
  })

  it('are confirmed by a peer for so long only that a change takes effect within its bound', () => {
    // A peer that follows the store may itself be late by the time for which a question waits.
    const bound = 3_000
    expect(confirmationLifetime(bound) + maximumFeedWait(bound)).toBeLessThanOrEqual(0.9 * bound)
  })

  it('are confirmed by peers that are asked before their bound, and not while a question for changes waits', () => {
    const bound = 3_000
    expect(maximumFeedWait(bound)).toBe(1_500)
    expect(shouldAskPeers(rows(maximumFeedWait(bound) + 400))).toBe(false)
    expect(shouldAskPeers(rows(2_200))).toBe(true)
  })
})
