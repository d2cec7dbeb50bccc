import { describe, expect, it } from 'vitest'
import { EndpointSubsets, rankEndpoints } from '@rackwalk/decisions'
import type { EndpointSnapshot } from '@rackwalk/decisions'

/** Where instances are at home, and what that is worth in a choice. */

const ENDPOINTS = Array.from({ length: 82 }, (_, index) => `endpoint-${index}`)

function instances(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `instance-${index}`)
}

/** How many of the instances are at home at each endpoint. */
function homesOf(count: number): number[] {
  const homes = new EndpointSubsets()
  return ENDPOINTS.map(
    endpoint => instances(count).filter(name => homes.isInSubset(name, endpoint, count)).length,
  )
}

describe('the homes of an endpoint', () => {
  it.each([1, 3, 7, 8])('are all of %i instances that use it', count => {
    expect(new Set(homesOf(count))).toEqual(new Set([count]))
  })

  it.each([12, 26, 120])('are about eight of %i instances, at every endpoint some', count => {
    const homes = homesOf(count)
    const mean = homes.reduce((sum, number) => sum + number, 0) / homes.length
    expect(mean).toBeGreaterThan(7)
    expect(mean).toBeLessThan(9)
    expect(Math.min(...homes)).toBeGreaterThan(0)
  })

  it('stay homes when others cease to use the endpoints', () => {
    const homes = new EndpointSubsets()
    const isKept = ENDPOINTS.filter(endpoint => homes.isInSubset('instance-1', endpoint, 26)).every(
      endpoint => homes.isInSubset('instance-1', endpoint, 13),
    )
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
  ] as const)('prefers home: %s', (_, more, expected) => {
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
