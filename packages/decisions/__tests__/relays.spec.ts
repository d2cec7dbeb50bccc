import { describe, expect, it } from 'vitest'
import { chooseRelayPeer, relayOutcomeText, relayRoom, relayStep } from '@rackwalk/decisions'
import type { RelayCandidate, RelayOutcome } from '@rackwalk/decisions'

const NEAR: RelayCandidate = {
  instance: 'near',
  failureDomain: 'own',
  isCutOff: false,
  isOverloaded: false,
  room: 10,
}
const FAR = { ...NEAR, instance: 'far', failureDomain: 'other' }
const BUSY = { ...NEAR, instance: 'busy', isOverloaded: true }
const CUT = { ...NEAR, instance: 'cut', isCutOff: true }

function chosen(candidates: readonly RelayCandidate[], chance = 0, demand = 5): string | undefined {
  return chooseRelayPeer(candidates, { failureDomain: 'own', demand }, chance)?.instance
}

/** Counts the choices of each candidate over evenly spread chances. */
function countChoices(candidates: readonly RelayCandidate[], demand: number) {
  const counts: Record<string, number> = {}
  for (let step = 0; step < 100; step += 1) {
    const name = chosen(candidates, (step + 0.5) / 100, demand) ?? 'none'
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

describe('the instance that takes a request of one that is cut off', () => {
  it('is in the same failure domain, reaches endpoints and is not overloaded, as far as there is one', () => {
    expect(chosen([CUT, BUSY, FAR, NEAR])).toBe('near')
    expect(chosen([CUT, BUSY, FAR])).toBe('far')
    expect(chosen([CUT, BUSY])).toBe('busy')
    expect(chosen([CUT])).toBeUndefined()
  })

  it('is in the same failure domain for as many requests as fit there, and else any by its room', () => {
    const wide = { ...FAR, instance: 'wide', room: 30 }
    expect(countChoices([NEAR, FAR, wide], 10)).toEqual({ near: 100 })
    expect(countChoices([NEAR, FAR, wide], 50)).toEqual({ near: 20, far: 20, wide: 60 })
    expect(countChoices([NEAR], 50)).toEqual({ near: 100 })
  })

  it('has room for a little even if its callers send more than it can take', () => {
    expect([relayRoom(10, 3), relayRoom(10, 9.9), relayRoom(10, 50)]).toEqual([7, 0.5, 0.5])
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
