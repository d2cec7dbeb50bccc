import { describe, expect, it } from 'vitest'
import { EndpointSubsets, rankEndpoints } from '@rackwalk/decisions'
import type { EndpointSnapshot } from '@rackwalk/decisions'

/** Which endpoints belong to an instance's subset, and what that is worth in a choice. */

const ENDPOINTS = Array.from({ length: 82 }, (_, index) => `endpoint-${index}`)

function instances(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `instance-${index}`)
}

/** For each endpoint, the number of instances with it in their subset. */
function subsetSizes(count: number): number[] {
  const subsets = new EndpointSubsets()
  return ENDPOINTS.map(
    endpoint => instances(count).filter(name => subsets.isInSubset(name, endpoint, count)).length,
  )
}

describe('the instances with an endpoint in their subset', () => {
  it.each([1, 3, 7, 8])('are all of %i instances that use it', count => {
    expect(new Set(subsetSizes(count))).toEqual(new Set([count]))
  })

  it.each([12, 26, 120])('are about eight of %i instances, at every endpoint some', count => {
    const sizes = subsetSizes(count)
    const mean = sizes.reduce((sum, number) => sum + number, 0) / sizes.length
    expect(mean).toBeGreaterThan(7)
    expect(mean).toBeLessThan(9)
    expect(Math.min(...sizes)).toBeGreaterThan(0)
  })

  it('keep it when other instances cease to use endpoints', () => {
    const subsets = new EndpointSubsets()
    const isKept = ENDPOINTS.filter(endpoint =>
      subsets.isInSubset('instance-1', endpoint, 26),
    ).every(endpoint => subsets.isInSubset('instance-1', endpoint, 13))
    expect(isKept).toBe(true)
  })
})

describe('the choice of an endpoint', () => {
  const snapshot = (id: string, more: Partial<EndpointSnapshot>): EndpointSnapshot => ({
    id,
    failureDomain: 'hall-a',
    running: 0,
    slots: 24,
    pendingTokens: 0,
    uncachedTokens: 1_000,
    recentTokens: 0,
    slowness: 1,
    reportedSlowness: 1,
    reported: undefined,
    failureShare: 0,
    isInSubset: false,
    ...more,
  })

  it.each([
    ['one of equals', {}, 'home'],
    ['one with a prompt before it', { pendingTokens: 5_000 }, 'home'],
    ['one that is fuller by more than the cost', { pendingTokens: 7_000 }, 'away'],
    ['one that would read a long prompt again', { uncachedTokens: 5_000 }, 'away'],
  ] as const)('weighs the subset against load and cached tokens: %s', (_, more, expected) => {
    const [best] = rankEndpoints({
      open: [snapshot('away', {}), snapshot('home', { isInSubset: true, ...more })],
      serviceIds: ['away', 'home'],
      sharedPartId: undefined,
      answerTokens: 0,
      pauseStretch: 0,
      failureDomain: 'hall-a',
      chance: 0,
    })
    expect(best?.id).toBe(expected)
  })
})
