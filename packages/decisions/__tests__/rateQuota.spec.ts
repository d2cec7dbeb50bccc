import { describe, expect, it } from 'vitest'
import { quotaAtRank, quotaRank, divideRate } from '@rackwalk/decisions'

/**
 * Returns what a whole fleet may send at most to one cold endpoint in a second, by the quotas of
 * its instances.
 */
function totalPerSecond(quota: (instance: string) => number, instances: readonly string[]) {
  return instances.reduce((sum, instance) => sum + quota(instance), 0)
}

function fleet(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `instance-${index}`)
}

/**
 * Returns the requests that an instance may send in a second, given the instances that it knows to
 * be recorded.
 */
function quotaPerSecond(
  instance: string,
  recorded: readonly string[],
  perSecond: number,
  start: string,
) {
  const rows = recorded.map(other => ({ instance: other, isWorking: true }))
  const rank = quotaRank(instance, rows, start)
  if (rank === undefined) return 0
  const quota = quotaAtRank(rank, divideRate(perSecond, recorded.length), 0)
  if (quota === undefined) return 0
  return (quota.requests * 1_000) / quota.windowMilliseconds
}

const STARTS = Array.from({ length: 40 }, (_, index) => `endpoint-${index}@1700000000000`)

describe('the rate that a cold endpoint can take', () => {
  it('is divided into whole requests', () => {
    const table = [0.4, 1, 7.7, 20].flatMap(perSecond =>
      [1, 3, 7, 75].map(instances => {
        const { holders, quota } = divideRate(perSecond, instances)
        const { requests, windowMilliseconds } = quota
        return `${perSecond}/s, ${instances}: ${holders} x ${requests} in ${Math.round(windowMilliseconds)} ms`
      }),
    )
    expect(table).toMatchInlineSnapshot(`
      [
        "0.4/s, 1: 1 x 1 in 2500 ms",
        "0.4/s, 3: 1 x 1 in 2500 ms",
        "0.4/s, 7: 1 x 1 in 2500 ms",
        "0.4/s, 75: 1 x 1 in 2500 ms",
        "1/s, 1: 1 x 1 in 1000 ms",
        "1/s, 3: 1 x 1 in 1000 ms",
        "1/s, 7: 1 x 1 in 1000 ms",
        "1/s, 75: 1 x 1 in 1000 ms",
        "7.7/s, 1: 1 x 7 in 1000 ms",
        "7.7/s, 3: 3 x 2 in 1000 ms",
        "7.7/s, 7: 7 x 1 in 1000 ms",
        "7.7/s, 75: 7 x 1 in 1000 ms",
        "20/s, 1: 1 x 20 in 1000 ms",
        "20/s, 3: 3 x 6 in 1000 ms",
        "20/s, 7: 7 x 2 in 1000 ms",
        "20/s, 75: 20 x 1 in 1000 ms",
      ]
    `)
  })

  it.each([1, 3, 7, 75, 360])(
    'is never exceeded by %i instances that are cut off from each other',
    count => {
      const all = fleet(count)
      // Each instance hashes all others for each start, so large fleets are tested with fewer starts.
      for (const start of STARTS.slice(0, Math.ceil(300 / count))) {
        const sum = totalPerSecond(instance => quotaPerSecond(instance, all, 7.7, start), all)
        expect(sum).toBeGreaterThan(0)
        expect(sum).toBeLessThanOrEqual(7.7)
      }
    },
  )

  it('stays within twice that while instances join and only some know of it', () => {
    const before = fleet(75)
    const after = fleet(86)
    for (const start of STARTS) {
      const sum = totalPerSecond((instance): number => {
        const knowsAll = before.indexOf(instance) % 2 === 1 || !before.includes(instance)
        return quotaPerSecond(instance, knowsAll ? after : before, 7.7, start)
      }, after)
      // The bound of the whole fleet is 1.5 times what an endpoint can take, plus 5.
      expect(sum).toBeLessThanOrEqual(7.7 * 1.5 + 5)
    }
  })

  it('would be exceeded, beyond the bound, if each instance took an equal part in whole requests', () => {
    const all = fleet(75)
    const equalPart = () => Math.max(1, Math.floor(7.7 / all.length))
    expect(totalPerSecond(equalPart, all)).toBeGreaterThan(7.7 * 1.5 + 5)
  })
})
