import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { wasAliveAfterReset, judgeLiveness, lastAliveAt } from '@rackwalk/decisions'
import type { ProbeResult } from '@rackwalk/decisions'

/** What looks at an endpoint that broke a request off say of it. */

const SIGNS: readonly ProbeResult[] = [
  'nobody-listens',
  'lives',
  'does-not-answer',
  'no-connection',
]

describe('an endpoint that broke a request off', () => {
  it('has ended, lives, or is looked at again, by what the looks show', () => {
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

  // Own marks of an end that another instance saw were never told: a proven request stayed suspected only.
  it('has ended by what another instance told, where the looks here show nothing and nothing else came', () => {
    const told = SIGNS.map(sign => `${sign}: ${judgeLiveness([sign], false, true)}`)
    expect(told).toEqual([
      'nobody-listens: ended',
      'lives: lives',
      'does-not-answer: look-again',
      'no-connection: ended',
    ])
    expect(judgeLiveness(['no-connection'], true, true)).toBe('lives')
  })

  it('has not ended by looks alone while other requests from here go on there', () => {
    const looks = fc.array(fc.constantFrom(...SIGNS.filter(sign => sign !== 'nobody-listens')))
    fc.assert(
      fc.property(looks, signs => {
        expect(judgeLiveness(signs, true)).not.toBe('ended')
      }),
      { seed: 7 },
    )
  })

  it('has never ended by one look that a full endpoint or a lost packet would give as well', () => {
    const looks = fc.array(fc.constantFrom(...SIGNS), { minLength: 1 })
    fc.assert(
      fc.property(looks, signs => {
        const isEnded = judgeLiveness(signs, false) === 'ended'
        const newest = signs.slice(-2)
        const isTwice = newest.length === 2 && newest.every(sign => sign === 'does-not-answer')
        expect(isEnded).toBe(signs.at(-1) === 'nobody-listens' || isTwice)
      }),
      { seed: 7 },
    )
  })
})

describe('what came from an endpoint that broke a request off', () => {
  const never = Number.NEGATIVE_INFINITY
  const looked = { brokenAt: 100, lookedAt: 130 }

  it('proves life by when it was asked for, or where it was read after a look', () => {
    const proofs = [100, 101, 130, 131].map(at => [
      wasAliveAfterReset(looked, { askedAt: at, readAt: never }),
      wasAliveAfterReset(looked, { askedAt: never, readAt: at }),
    ])
    expect(proofs).toEqual([
      [false, false],
      [true, false],
      [true, false],
      [true, true],
    ])
  })

  it('proves life by reading alone only as of a second before', () => {
    expect(lastAliveAt({ askedAt: never, readAt: 2_000 })).toBe(1_000)
    expect(lastAliveAt({ askedAt: 1_500, readAt: 2_000 })).toBe(1_500)
  })
})
