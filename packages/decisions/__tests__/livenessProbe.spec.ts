import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { wasAliveAfterReset, judgeLiveness, lastAliveAt } from '@rackwalk/decisions'
import type { ProbeResult } from '@rackwalk/decisions'

/**
 * An endpoint that reset a request has terminated, or it is alive and reset the request for a reason of its own. These
 * tests check what probes and other contact prove about it.
 */

const SIGNS: readonly ProbeResult[] = [
  'nobody-listens',
  'lives',
  'does-not-answer',
  'no-connection',
]

describe('an endpoint that reset a request', () => {
  it('has terminated, is alive or is probed again, by the results of its probes', () => {
    const one = SIGNS.map(sign => `${sign}: ${judgeLiveness([sign], false)}`)
    const two = SIGNS.map(
      sign => `does-not-answer, ${sign}: ${judgeLiveness(['does-not-answer', sign], false)}`,
    )
    expect([...one, ...two]).toMatchInlineSnapshot(`
      [
        "nobody-listens: ended",
        "lives: lives",
        "does-not-answer: look-again",
        "no-connection: unknown",
        "does-not-answer, nobody-listens: ended",
        "does-not-answer, lives: lives",
        "does-not-answer, does-not-answer: ended",
        "does-not-answer, no-connection: unknown",
      ]
    `)
  })

  // Without this, an instance never broadcast its crash marks for a termination that only another instance could probe, and a
  // proven crash-inducing request was isolated instead of refused.
  it('has terminated if another instance reports so, the probes here prove nothing and nothing else arrived', () => {
    const told = SIGNS.map(sign => `${sign}: ${judgeLiveness([sign], false, true)}`)
    expect(told).toEqual([
      'nobody-listens: ended',
      'lives: lives',
      'does-not-answer: look-again',
      'no-connection: ended',
    ])
    expect(judgeLiveness(['no-connection'], true, true)).toBe('lives')
  })

  it('has not terminated by unanswered probes alone while other requests of this instance proceed there', () => {
    const probes = fc.array(fc.constantFrom(...SIGNS.filter(sign => sign !== 'nobody-listens')))
    fc.assert(
      fc.property(probes, signs => {
        expect(judgeLiveness(signs, true)).not.toBe('ended')
      }),
      { seed: 7 },
    )
  })

  it('has never terminated by a single result that a full endpoint or a lost packet would give as well', () => {
    const probes = fc.array(fc.constantFrom(...SIGNS), { minLength: 1 })
    fc.assert(
      fc.property(probes, signs => {
        const hasTerminated = judgeLiveness(signs, false) === 'ended'
        const newest = signs.slice(-2)
        const isTwice = newest.length === 2 && newest.every(sign => sign === 'does-not-answer')
        expect(hasTerminated).toBe(signs.at(-1) === 'nobody-listens' || isTwice)
      }),
      { seed: 7 },
    )
  })
})

describe('contact with an endpoint that reset a request', () => {
  const never = Number.NEGATIVE_INFINITY
  const reset = { resetAt: 100, lookedAt: 130 }

  it('proves life by the time of the state request, or by bytes read after the first probe', () => {
    const proofs = [100, 101, 130, 131].map(at => [
      wasAliveAfterReset(reset, { askedAt: at, readAt: never }),
      wasAliveAfterReset(reset, { askedAt: never, readAt: at }),
    ])
    expect(proofs).toEqual([
      [false, false],
      [true, false],
      [true, false],
      [true, true],
    ])
  })

  it('proves life at a time one second before the bytes were read, if only bytes were read', () => {
    expect(lastAliveAt({ askedAt: never, readAt: 2_000 })).toBe(1_000)
    expect(lastAliveAt({ askedAt: 1_500, readAt: 2_000 })).toBe(1_500)
  })
})
