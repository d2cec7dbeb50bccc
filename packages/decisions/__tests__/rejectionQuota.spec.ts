import { describe, expect, it } from 'vitest'
import { isNearlyFull, parseRejectionLimit, rejectionQuota } from '@rackwalk/decisions'

const INSTANCES = ['one', 'two', 'three'].map(instance => ({ instance, isWorking: true }))

describe('an endpoint that can take few rejections', () => {
  it('names its limit by a whole number, and other text is no limit', () => {
    const texts = ['6', ' 12 ', '0', '', '-1', '1.5', 'many', undefined]
    expect(texts.map(parseRejectionLimit)).toEqual([
      6,
      12,
      0,
      undefined,
      undefined,
      undefined,
      undefined,
      undefined,
    ])
  })

  it('may reject a request where three quarters of its slots are in use', () => {
    const cases = [
      [5, 8],
      [6, 8],
      [47, 64],
      [48, 64],
      [0, 1],
      [1, 1],
    ] as const
    expect(cases.map(([running, slots]) => isNearlyFull(running, slots))).toEqual([
      false,
      true,
      false,
      true,
      false,
      true,
    ])
  })

  it('is sent, while nearly full, no more by all instances together than half of its limit', () => {
    for (const bound of [1, 2, 5, 6, 40]) {
      const quotas = INSTANCES.flatMap(({ instance }) => {
        return rejectionQuota(bound, instance, INSTANCES, 'start') ?? []
      })
      const perSecond = quotas.reduce((sum, { requests, windowMilliseconds }) => {
        return sum + (requests * 1_000) / windowMilliseconds
      }, 0)
      expect(perSecond).toBeLessThanOrEqual(bound / 2 + 1e-9)
    }
    expect(rejectionQuota(0, 'one', INSTANCES, 'start')).toBeUndefined()
    expect(rejectionQuota(9, 'unknown', INSTANCES, 'start')).toBeUndefined()
  })
})
