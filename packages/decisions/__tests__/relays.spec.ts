import { describe, expect, it } from 'vitest'
import { chooseRelayPeer, relayOutcomeText, relayStep } from '@rackwalk/decisions'
import type { RelayCandidate, RelayOutcome } from '@rackwalk/decisions'

const NEAR: RelayCandidate = {
  instance: 'near',
  failureDomain: 'own',
  isCutOff: false,
  isOverloaded: false,
}
const FAR = { ...NEAR, instance: 'far', failureDomain: 'other' }
const BUSY = { ...NEAR, instance: 'busy', isOverloaded: true }
const CUT = { ...NEAR, instance: 'cut', isCutOff: true }

function chosen(candidates: readonly RelayCandidate[], chance = 0): string | undefined {
  return chooseRelayPeer(candidates, 'own', chance)?.instance
}

describe('the instance that takes a request of one that is cut off', () => {
  it('is in the same failure domain, reaches endpoints and is not overloaded, as far as there is one', () => {
    expect(chosen([CUT, BUSY, FAR, NEAR])).toBe('near')
    expect(chosen([CUT, BUSY, FAR])).toBe('far')
    expect(chosen([CUT, BUSY])).toBe('busy')
    expect(chosen([CUT])).toBeUndefined()
  })

  it('is any of equals', () => {
    const equals = ['one', 'two'].map(instance => ({ ...NEAR, instance }))
    expect([0, 0.4, 0.5, 0.99].map(chance => chosen(equals, chance))).toEqual([
      'one',
      'one',
      'two',
      'two',
    ])
  })
})

const NOT_REPEATABLE = { isIdempotent: false, isStreaming: false, isResumable: false }
const REPEATABLE = { ...NOT_REPEATABLE, isIdempotent: true }

const OUTCOMES: readonly RelayOutcome[] = [
  { kind: 'not-sent' },
  { kind: 'refused', status: 503 },
  { kind: 'refused', status: 402 },
  { kind: 'answered', status: 500 },
  { kind: 'failed', reason: 'ECONNRESET' },
]

describe('after a request was relayed to another instance', () => {
  it('"not run" is not passed on if an earlier instance got the request and did not answer', () => {
    const outcomes = [OUTCOMES[4], OUTCOMES[1]].flatMap(outcome => outcome ?? [])
    expect(relayStep(outcomes, REPEATABLE, false)).toBe('give-up')
    expect(relayStep(outcomes.slice(1), REPEATABLE, false)).toBe('pass-on')
  })

  it('one more instance is asked only if the request did not run, or may run twice', () => {
    const rows = OUTCOMES.map(outcome => {
      const steps = [
        relayStep([outcome], NOT_REPEATABLE, true),
        relayStep([outcome], REPEATABLE, true),
        relayStep([outcome], REPEATABLE, false),
        relayStep([{ kind: 'not-sent' }, outcome], REPEATABLE, true),
      ]
      return `${relayOutcomeText(outcome)}: ${steps.join(', ')}`
    })
    expect(rows).toMatchInlineSnapshot(`
      [
        "not-sent: ask-another, ask-another, give-up, give-up",
        "not executed 503: ask-another, ask-another, pass-on, pass-on",
        "not executed 402: pass-on, pass-on, pass-on, pass-on",
        "status 500: pass-on, pass-on, pass-on, pass-on",
        "failed ECONNRESET: give-up, ask-another, give-up, give-up",
      ]
    `)
  })
})
