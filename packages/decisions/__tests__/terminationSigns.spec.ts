import { describe, expect, it } from 'vitest'
import {
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
  isAsked,
  requiresAnotherProbe,
  isTerminatedBy,
  signOfProbes,
  wasInFlightAtCrash,
} from '@rackwalk/decisions'
import type { InFlightState, TerminationSign, StateProbeResult } from '@rackwalk/decisions'

/** Which exchanges end when their endpoint is known to have ended, or may have. */

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
/** Signs that say nothing of what came, or was sent, after the question. */
const QUESTIONED: readonly TerminationSign[] = ['silent', 'still-silent', 'cut-off']
const NOT_HEARD = { askedAt: ASKED_AT, heardAt: Number.NEGATIVE_INFINITY }

function endedBy(sign: TerminationSign, times = NOT_HEARD): readonly string[] {
  return Object.entries(EXCHANGES).flatMap(([name, exchange]) =>
    isTerminatedBy(exchange, sign, times) ? name : [],
  )
}

describe('a sign that a start of an endpoint is over', () => {
  it('ends these exchanges there', () => {
    const table = SIGNS.map(sign => {
      const asked = isAsked(sign, Object.values(EXCHANGES)) ? 'asked' : 'not asked'
      return `${sign} | ${asked} | ${endedBy(sign).join(', ') || 'none'}`
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

  it.each(QUESTIONED)('ends nothing that was sent after the question (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      const later = { ...exchange, sentAt: ASKED_AT + 1, lastReceivedAt: ASKED_AT + 1 }
      expect(isTerminatedBy(later, sign, NOT_HEARD)).toBe(false)
    }
  })

  it.each(QUESTIONED)('ends nothing that had a part since the question (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      const begun = { ...exchange, lastReceivedAt: ASKED_AT + 1 }
      expect(isTerminatedBy(begun, sign, NOT_HEARD)).toBe(false)
    }
  })

  it.each(QUESTIONED)('ends nothing where the endpoint goes on for others (%s)', sign => {
    expect(endedBy(sign, { askedAt: ASKED_AT, heardAt: ASKED_AT + 1 })).toEqual([])
  })

  it.each(SIGNS)('ends nothing that only its caller holds back (%s)', sign => {
    for (const exchange of Object.values(EXCHANGES)) {
      expect(isTerminatedBy({ ...exchange, isPaused: true }, sign, NOT_HEARD)).toBe(false)
    }
  })

  it('asks nobody where nothing could be ended by the answer', () => {
    const { 'began, may not be resumed': begun } = EXCHANGES
    expect(isAsked('away', [])).toBe(false)
    expect(isAsked('away', begun === undefined ? [] : [begun])).toBe(false)
  })
})

/** What must end, and what must not, by what is known to be so. */
interface Case {
  readonly name: string
  readonly exchange: InFlightState
  readonly sign: TerminationSign
  readonly heardAt?: number
  readonly isOver: boolean
}
type Rule = typeof isTerminatedBy

const { sentAt } = SENT
const LATER = { sentAt: ASKED_AT + 1, lastReceivedAt: ASKED_AT + 1 }
const REPEATABLE: InFlightState = { ...SENT, isRetryable: true }
const PART: InFlightState = { ...SENT, isReplyStarted: true }
const CASES: readonly Case[] = [
  { name: 'a front holds it', exchange: REPEATABLE, sign: 'silent', isOver: true },
  { name: 'a front holds it for long', exchange: SENT, sign: 'still-silent', isOver: true },
  { name: 'a new start', exchange: PART, sign: 'replaced', isOver: true },
  { name: 'an engine that is slow to tell', exchange: SENT, sign: 'silent', isOver: false },
  { name: 'a long prompt', exchange: PART, sign: 'still-silent', isOver: false },
  { name: 'a drain', exchange: REPEATABLE, sign: 'nobody-listens', isOver: false },
  { name: 'late news', exchange: REPEATABLE, sign: 'away', isOver: false },
  { name: 'unannounced', exchange: REPEATABLE, sign: 'unlisted', isOver: false },
  { name: 'full', exchange: REPEATABLE, sign: 'turned-away', isOver: false },
  { name: 'back', exchange: { ...REPEATABLE, ...LATER }, sign: 'silent', isOver: false },
  { name: 'busy', exchange: REPEATABLE, sign: 'silent', heardAt: ASKED_AT + 1, isOver: false },
  {
    name: 'a caller that reads slowly',
    exchange: { ...REPEATABLE, isPaused: true },
    sign: 'silent',
    isOver: false,
  },
]

function wrongCases(rule: Rule): readonly string[] {
  return CASES.flatMap(({ name, exchange, sign, heardAt = sentAt, isOver }) =>
    rule(exchange, sign, { askedAt: ASKED_AT, heardAt }) === isOver ? [] : name,
  )
}

/** Rules that a careless hand might write. */
const BROKEN: Readonly<Record<string, Rule>> = {
  'ends nothing': () => false,
  'ends all at any sign': () => true,
  'ends at news': (exchange, sign, times) =>
    sign === 'away' || isTerminatedBy(exchange, sign, times),
  'takes a closed listener for an end': (exchange, sign, times) =>
    sign === 'nobody-listens' || isTerminatedBy(exchange, sign, times),
  'takes a missing row for an end': (exchange, sign, times) =>
    sign === 'unlisted' || isTerminatedBy(exchange, sign, times),
  'takes a reset question for an end': (exchange, sign, times) =>
    sign === 'turned-away' || isTerminatedBy(exchange, sign, times),
  'forgets the sending time': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, lastReceivedAt: 0 }, sign, times),
  'forgets what was heard': (exchange, sign, times) =>
    isTerminatedBy(exchange, sign, { ...times, heardAt: 0 }),
  'takes all for repeatable': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, isRetryable: true }, sign, times),
  'forgets slow callers': (exchange, sign, times) =>
    isTerminatedBy({ ...exchange, isPaused: false }, sign, times),
}

describe('the rule', () => {
  it('ends what must end, and nothing else', () => {
    expect(wrongCases(isTerminatedBy)).toEqual([])
  })

  it.each(Object.entries(BROKEN))('would be caught if it %s', (_, rule) => {
    expect(wrongCases(rule)).not.toEqual([])
  })
})

describe('a question for the state of an endpoint', () => {
  const ANSWERS: readonly StateProbeResult[] = [
    'lives',
    'fails',
    'turned-away',
    'nobody-listens',
    'held',
    'no-connection',
  ]
  const REASONS: readonly TerminationSign[] = ['away', 'broke-off', 'unlisted']

  it('says this of it', () => {
    const table = REASONS.flatMap(why =>
      ANSWERS.map(answer => {
        const says = [1, 2].map(count => {
          const answers = Array<StateProbeResult>(count).fill(answer)
          const at = [
            PROBE_TIMEOUT_MILLISECONDS - 1,
            PROBE_TIMEOUT_MILLISECONDS,
            LONG_PROBE_TIMEOUT_MILLISECONDS,
          ]
          const told = at.map(elapsed => signOfProbes(why, answers, elapsed) ?? 'nothing')
          const next = requiresAnotherProbe(why, answers) ? 'asked again' : 'over'
          return `${told.join(', ')}, ${next}`
        })
        return `${why}, ${answer} | ${says.join(' | ')}`
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
  it('was there at the end only where it was sent before the first break', () => {
    const known = { brokenAt: 800, knownAt: 1_000 }
    expect([799, 800, 801].map(sentAt => wasInFlightAtCrash({ sentAt }, known))).toEqual([
      true,
      true,
      false,
    ])
  })

  it('was there, where no break was seen here, only if it was sent before looks and news began', () => {
    const known = { brokenAt: undefined, knownAt: 1_000 }
    expect([700, 701, 999].map(sentAt => wasInFlightAtCrash({ sentAt }, known))).toEqual([
      true,
      false,
      false,
    ])
  })
})
