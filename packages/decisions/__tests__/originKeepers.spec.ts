import { describe, expect, it } from 'vitest'
import {
  MINIMUM_ORIGIN_REPLICAS,
  originReplicaCount,
  rankOriginReplicas,
} from '@rackwalk/decisions'
import type { OriginReplica } from '@rackwalk/decisions'
import { SeededRandom } from '@rackwalk/shared'

/**
 * How many streams' origins are still known after several instances crashed together, by the number
 * of instances that they were announced to.
 */

const STREAMS = 100
const SEED = 5
/** Queries that one retry of a caller may cost, to replicas and other instances. */
const QUERIES = 15

function fleetOf(size: number): readonly OriginReplica[] {
  return Array.from({ length: size }, (_, index) => ({
    instance: `instance-${index}`,
    failureDomain: `domain-${index % 3}`,
  }))
}

/**
 * Returns the share of streams whose origin is found after the instance that served them and a
 * share of the others have crashed.
 */
function foundShare(size: number, crashedShare: number, replicaCount: number): number {
  const random = new SeededRandom(SEED)
  const [served, ...others] = fleetOf(size)
  if (served === undefined) return 0
  let found = 0
  for (let stream = 0; stream < STREAMS; stream += 1) {
    const key = `stream-${stream}`
    const replicas = rankOriginReplicas(key, others).slice(0, replicaCount)
    const living = others.filter(() => random.next() >= crashedShare)
    const [receiver] = living
    const queried = rankOriginReplicas(
      key,
      living.filter(other => other !== receiver),
    ).slice(0, QUERIES)
    const knows = [receiver, ...queried].some(
      other => other !== undefined && replicas.includes(other),
    )
    if (knows || living.length === 0) found += 1
  }
  return Math.round((100 * found) / STREAMS) / 100
}

describe('streams whose instance ended together with others', () => {
  it('are found by the more, the more instances were told, whatever the size of the fleet', () => {
    const rows = [3, 8, 30, 100, 360].flatMap(size =>
      [0.3, 0.6].map(crashed => {
        const shares = [1, 2, MINIMUM_ORIGIN_REPLICAS, 5, 8].map(replicaCount =>
          foundShare(size, crashed, replicaCount),
        )
        return `${size} instances, ${100 * crashed}% ended: ${shares.join(', ')} (1, 2, 3, 5, 8 told)`
      }),
    )
    expect(rows).toMatchSnapshot()
  })

  it('are announced to fewer instances, the more of them begin in a second', () => {
    const rates = [0, 1, 5, 7, 10, 16, 40, 1_000]
    const rows = rates.map(rate => `${rate} streams a second: ${originReplicaCount(rate)}`)
    expect(rows).toMatchInlineSnapshot(`
      [
        "0 streams a second: 8",
        "1 streams a second: 8",
        "5 streams a second: 8",
        "7 streams a second: 7",
        "10 streams a second: 5",
        "16 streams a second: 3",
        "40 streams a second: 3",
        "1000 streams a second: 3",
      ]
    `)
  })

  it('are found nearly always where a third of the fleet crashes at once', () => {
    const shares = [8, 30, 100, 360].map(size => foundShare(size, 0.3, MINIMUM_ORIGIN_REPLICAS))
    expect(Math.min(...shares)).toBeGreaterThanOrEqual(0.95)
  })
})
