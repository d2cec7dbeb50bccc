import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { rendezvousChoice, rendezvousOrder, chooseIsolationEndpoint } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** Each attempt at a request that ends endpoints went on to the next one of its order, and ended that as well. */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const IDS = ['endpoint-1', 'endpoint-2', 'endpoint-3', 'endpoint-4']
const ORDER = rendezvousOrder(FINGERPRINT, IDS)

function chosen(
  candidates: readonly string[],
  tried: readonly string[],
  doubted: readonly string[],
  brokeOffOnce = tried,
) {
  return chooseIsolationEndpoint(FINGERPRINT, candidates, {
    tried: new Set(tried),
    resetOnce: new Set(brokeOffOnce),
    isSuspect: candidate => doubted.includes(candidate),
  })
}

describe('a request that may end endpoints', () => {
  const [first, second] = ORDER as [string, string]

  it('goes to the endpoint of its hash, and there again while nobody knows what became of that', () => {
    expect(chosen(IDS, [], [])).toBe(first)
    expect(chosen(IDS, [first], [first])).toBe(first)
    expect(chosen(IDS, [], [first])).toBe(first)
  })

  it('goes to the next one once that lives, or is no candidate since it has ended', () => {
    expect(chosen(IDS, [first], [])).toBe(second)
    expect(chosen(IDS, [first], [second])).toBe(second)
    expect(chosen(ORDER.slice(1), [first], [first])).toBe(second)
  })

  // An innocent request used all its attempts up at an endpoint that was cut off, while another one was free.
  it('goes to the next one where no connection came up, or the first one broke it off twice', () => {
    expect(chosen(IDS, [first], [first], [])).toBe(second)
  })

  it('goes nowhere where all were tried and live', () => {
    expect(chosen(IDS, IDS, [])).toBeUndefined()
    expect(chosen([], [], [])).toBeUndefined()
  })

  it('goes where every instance sends it, whatever it tried that is in doubt', () => {
    fc.assert(
      fc.property(fc.subarray(IDS), fc.subarray(IDS), (candidates, tried) => {
        expect(chosen(candidates, tried, tried)).toBe(rendezvousChoice(FINGERPRINT, candidates))
      }),
      { seed: 7 },
    )
  })
})
