import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { rendezvousChoice, rendezvousOrder, chooseIsolationEndpoint } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/**
 * If an attempt at a crash-inducing request went on to the next endpoint of its rendezvous order, it would crash that
 * endpoint as well.
 */

const FINGERPRINT = asId<RequestFingerprint>('fingerprint-of-it')
const IDS = ['endpoint-1', 'endpoint-2', 'endpoint-3', 'endpoint-4']
const ORDER = rendezvousOrder(FINGERPRINT, IDS)

function chosen(
  candidates: readonly string[],
  tried: readonly string[],
  suspects: readonly string[],
  resetOnce = tried,
) {
  return chooseIsolationEndpoint(FINGERPRINT, candidates, {
    tried: new Set(tried),
    resetOnce: new Set(resetOnce),
    isSuspect: candidate => suspects.includes(candidate),
  })
}

describe('a request that may crash endpoints', () => {
  const [first, second] = ORDER as [string, string]

  it('goes to the endpoint of its hash, and there again while the state of that endpoint is unknown', () => {
    expect(chosen(IDS, [], [])).toBe(first)
    expect(chosen(IDS, [first], [first])).toBe(first)
    expect(chosen(IDS, [], [first])).toBe(first)
  })

  it('goes to the next endpoint once the first is known to be alive or is no candidate any more', () => {
    expect(chosen(IDS, [first], [])).toBe(second)
    expect(chosen(IDS, [first], [second])).toBe(second)
    expect(chosen(ORDER.slice(1), [first], [first])).toBe(second)
  })

  // Otherwise a harmless request would use up all its attempts at an endpoint that is cut off, while another one is free.
  it('goes to the next endpoint if the first could not be connected to, or reset the request twice', () => {
    expect(chosen(IDS, [first], [first], [])).toBe(second)
  })

  it('goes nowhere if all endpoints were tried and are alive', () => {
    expect(chosen(IDS, IDS, [])).toBeUndefined()
    expect(chosen([], [], [])).toBeUndefined()
  })

  it('goes where every instance sends it, whichever suspect endpoints it has tried', () => {
    fc.assert(
      fc.property(fc.subarray(IDS), fc.subarray(IDS), (candidates, tried) => {
        expect(chosen(candidates, tried, tried)).toBe(rendezvousChoice(FINGERPRINT, candidates))
      }),
      { seed: 7 },
    )
  })
})
