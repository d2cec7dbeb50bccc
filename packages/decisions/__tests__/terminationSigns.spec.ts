import { describe, expect, it } from 'vitest'
import {
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
  requiresStateProbe,
  requiresAnotherProbe,
  isTerminatedBy,
  signOfProbes,
  wasInFlightAtCrash,
} from '@rackwalk/decisions'
import type { InFlightState, TerminationSign, StateProbeResult } from '@rackwalk/decisions'

/**
 * An engine that terminates behind a front leaves its exchanges waiting until their deadlines. These tests check which
 * exchanges are terminated by which sign, and that an endpoint that is only slow, full or draining loses none.
 */

const ASKED_AT = 1_000
const SENT: InFlightState = {
  sentAt: 500,
  lastReceivedAt: 500,
  isRetryable: false,
  isReplyStarted: false,
  isPaused: false,
}
const EXCHANGES: Readonly<Record<string, InFlightState>> = {
  'may be repeated': { ...SENT, isRetryable: true },
  'began, may be resumed': {
    ...SENT,
    lastReceivedAt: 900,
    isRetryable: true,
    isReplyStarted: true,
  },
  'may run once': SENT,
  'began, may not be resumed': { ...SENT, lastReceivedAt: 900, isReplyStarted: true },
}
const SIGNS: readonly TerminationSign[] = [
  'replaced',
  'misdirected',
  'silent',
  'still-silent',
  'cut-off',
  'away',
  'broke-off',
  'unlisted',
  'nobody-listens',
  'turned-away',
]
/** Signs that say nothing about what arrived or was sent after the probe. */
const PROBED: readonly TerminationSign[] = ['silent', 'still-silent', 'cut-off']
const NOT_HEARD = { askedAt: ASKED_AT, heardAt: Number.NEGATIVE_INFINITY }

function terminatedBy(sign: TerminationSign, times = NOT_HEARD): readonly string[] {
  return Object.entries(EXCHANGES).flatMap(([name, exchange]) =>
    isTerminatedBy(exchange, sign, times) ? name : [],
  )
}

describe('a sign that an endpoint start is over', () => {
  it('terminates these exchanges there', () => {
    const table = SIGNS.map(sign => {
      const asked = requiresStateProbe(sign, Object.values(EXCHANGES)) ? 'asked' : 'not asked'
      return `${sign} | ${asked} | ${terminatedBy(sign).join(', ') || 'none'}`
    })
    expect(table).toMatchInlineSnapshot(`
      [
        "replaced | not asked | may be repeated, began, may be resumed, may run once, began, may not be resumed",
        "misdirected | not asked | may be repeated, began, may be resumed, may run once, began, may not be resumed",
        "silent | not asked | may be repeated, began, may be resumed",
        "still-silent | not asked | may be repeated, began, may be resumed, may run once",
        "cut-off | not asked | may be repeated, began, may be resumed",
        "away | asked | none",
        "broke-off | asked | none",
        "unlisted | asked | none",
        "nobody-listens | not asked | none",
        "turned-away | not asked | none",
      ]
    `)
  })

  it.each(PROBED)('terminates nothing that was sent after the probe (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      const later = { ...exchange, sentAt: ASKED_AT + 1, lastReceivedAt: ASKED_AT + 1 }
      expect(isTerminatedBy(later, sign, NOT_HEARD)).toBe(false)
    }
  })

  it.each(PROBED)('terminates nothing that received a part after the probe (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      const begun = { ...exchange, lastReceivedAt: ASKED_AT + 1 }
      expect(isTerminatedBy(begun, sign, NOT_HEARD)).toBe(false)
    }
  })

  it.each(PROBED)(
    'terminates nothing if the endpoint serves other requests after the probe (%s)',
    sign => {
      expect(terminatedBy(sign, { askedAt: ASKED_AT, heardAt: ASKED_AT + 1 })).toEqual([])
    },
  )

  it.each(SIGNS)('terminates nothing whose reading only the caller holds up (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      expect(isTerminatedBy({ ...exchange, isPaused: true }, sign, NOT_HEARD)).toBe(false)
    }
  })

  it('causes no probe if the result could terminate nothing', () => {
    const { 'began, may not be resumed': begun } = EXCHANGES
    expect(requiresStateProbe('away', [])).toBe(false)
    expect(requiresStateProbe('away', begun === undefined ? [] : [begun])).toBe(false)
  })
})

/** A sign at an exchange, and whether the exchange must be terminated. */
interface Case {
  readonly name: string
  readonly exchange: InFlightState
  readonly sign: TerminationSign
  readonly heardAt?: number
  readonly isTerminated: boolean
}
type Rule = typeof isTerminatedBy

const { sentAt } = SENT
const LATER = { sentAt: ASKED_AT + 1, lastReceivedAt: ASKED_AT + 1 }
const REPEATABLE: InFlightState = { ...SENT, isRetryable: true }
const PART: InFlightState = { ...SENT, isReplyStarted: true }
const CASES: readonly Case[] = [
  { name: 'a front holds the request', exchange: REPEATABLE, sign: 'silent', isTerminated: true },
  {
    name: 'a front holds the request for long',
    exchange: SENT,
    sign: 'still-silent',
    isTerminated: true,
  },
  { name: 'a new start', exchange: PART, sign: 'replaced', isTerminated: true },
  {
    name: 'an engine that is slow to report its state',
    exchange: SENT,
    sign: 'silent',
    isTerminated: false,
  },
  { name: 'a long prompt', exchange: PART, sign: 'still-silent', isTerminated: false },
  { name: 'a drain', exchange: REPEATABLE, sign: 'nobody-listens', isTerminated: false },
  { name: 'late gossip', exchange: REPEATABLE, sign: 'away', isTerminated: false },
  { name: 'unannounced', exchange: REPEATABLE, sign: 'unlisted', isTerminated: false },
  { name: 'full', exchange: REPEATABLE, sign: 'turned-away', isTerminated: false },
  { name: 'back', exchange: { ...REPEATABLE, ...LATER }, sign: 'silent', isTerminated: false },
  {
    name: 'busy',
    exchange: REPEATABLE,
    sign: 'silent',
    heardAt: ASKED_AT + 1,
    isTerminated: false,
  },
  {
    name: 'a caller that reads slowly',
    exchange: { ...REPEATABLE, isPaused: true },
    sign: 'silent',
    isTerminated: false,
  },
]

function wrongCases(rule: Rule): readonly string[] {
  return CASES.flatMap(({ name, exchange, sign, heardAt = sentAt, isTerminated }) =>
    rule(exchange, sign, { askedAt: ASKED_AT, heardAt }) === isTerminated ? [] : name,
  )
}

/** Plausible faulty versions of the rule, each of which the cases must detect. */
const FAULTY_RULES: Readonly<Record<string, Rule>> = {
  'terminates nothing': () => false,
  'terminates everything at any sign': () => true,
  'terminates by gossip alone': (exchange, sign, times) =>
    sign === 'away' || isTerminatedBy(exchange, sign, times),
  'takes a closed listener for a termination': (exchange, sign, times) =>
    sign === 'nobody-listens' || isTerminatedBy(exchange, sign, times),
  'takes a missing row for a termination': (exchange, sign, times) =>
    sign === 'unlisted' || isTerminatedBy(exchange, sign, times),
  'takes a reset probe for a termination': (exchange, sign, times) =>
    sign === 'turned-away' || isTerminatedBy(exchange, sign, times),
  'ignores the time of the last part': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, lastReceivedAt: 0 }, sign, times),
  'ignores contact with the endpoint': (exchange, sign, times) =>
    isTerminatedBy(exchange, sign, { ...times, heardAt: 0 }),
  'takes all exchanges for retryable': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, isRetryable: true }, sign, times),
  'ignores slow callers': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, isPaused: false }, sign, times),
}

describe('the rule', () => {
  it('terminates what must be terminated, and nothing else', () => {
    expect(wrongCases(isTerminatedBy)).toEqual([])
  })

  it.each(Object.entries(FAULTY_RULES))('would fail the cases above if it %s', (_, rule) => {
    expect(wrongCases(rule)).not.toEqual([])
  })
})

describe('a probe of the state of an endpoint', () => {
  const RESULTS: readonly StateProbeResult[] = [
    'lives',
    'fails',
    'turned-away',
    'nobody-listens',
    'held',
    'no-connection',
  ]
  const TRIGGERS: readonly TerminationSign[] = ['away', 'broke-off', 'unlisted']

  it('gives these signs', () => {
    const table = TRIGGERS.flatMap(trigger =>
      RESULTS.map(result => {
        const outcomes = [1, 2].map(count => {
          const results = Array<StateProbeResult>(count).fill(result)
          const at = [
            PROBE_TIMEOUT_MILLISECONDS - 1,
            PROBE_TIMEOUT_MILLISECONDS,
            LONG_PROBE_TIMEOUT_MILLISECONDS,
          ]
          const signs = at.map(elapsed => signOfProbes(trigger, results, elapsed) ?? 'nothing')
          const next = requiresAnotherProbe(trigger, results) ? 'asked again' : 'over'
          return `${signs.join(', ')}, ${next}`
        })
        return `${trigger}, ${result} | ${outcomes.join(' | ')}`
      }),
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "away, lives | nothing, nothing, nothing, over | nothing, nothing, nothing, over",
        "away, fails | still-silent, still-silent, still-silent, over | still-silent, still-silent, still-silent, over",
        "away, turned-away | turned-away, turned-away, turned-away, over | turned-away, turned-away, turned-away, over",
        "away, nobody-listens | nobody-listens, nobody-listens, nobody-listens, over | nobody-listens, nobody-listens, nobody-listens, over",
        "away, held | nothing, silent, still-silent, over | nothing, silent, still-silent, over",
        "away, no-connection | nothing, nothing, nothing, over | nothing, nothing, nothing, over",
        "broke-off, lives | nothing, nothing, nothing, over | nothing, nothing, nothing, over",
        "broke-off, fails | silent, silent, silent, asked again | still-silent, still-silent, still-silent, over",
        "broke-off, turned-away | turned-away, turned-away, turned-away, over | turned-away, turned-away, turned-away, over",
        "broke-off, nobody-listens | nobody-listens, nobody-listens, nobody-listens, over | nobody-listens, nobody-listens, nobody-listens, over",
        "broke-off, held | nothing, silent, silent, asked again | nothing, silent, still-silent, over",
        "broke-off, no-connection | nothing, nothing, nothing, over | nothing, nothing, nothing, over",
        "unlisted, lives | nothing, nothing, nothing, over | nothing, nothing, nothing, over",
        "unlisted, fails | silent, silent, silent, asked again | still-silent, still-silent, still-silent, over",
        "unlisted, turned-away | turned-away, turned-away, turned-away, over | turned-away, turned-away, turned-away, over",
        "unlisted, nobody-listens | nobody-listens, nobody-listens, nobody-listens, over | nobody-listens, nobody-listens, nobody-listens, over",
        "unlisted, held | nothing, silent, silent, asked again | nothing, silent, still-silent, over",
        "unlisted, no-connection | nothing, nothing, nothing, asked again | cut-off, cut-off, cut-off, over",
      ]
    `)
  })
})

describe('an exchange without a part of an answer', () => {
  it('was in flight at the crash only if it was sent before the first reset', () => {
    const known = { brokenAt: 800, knownAt: 1_000 }
    expect([799, 800, 801].map(sentAt => wasInFlightAtCrash({ sentAt }, known))).toEqual([
      true,
      true,
      false,
    ])
  })

  it('was in flight, if no reset was seen here, only if it was sent before the probes and the gossip began', () => {
    const known = { brokenAt: undefined, knownAt: 1_000 }
    expect([700, 701, 999].map(sentAt => wasInFlightAtCrash({ sentAt }, known))).toEqual([
      true,
      false,
      false,
    ])
  })
})
