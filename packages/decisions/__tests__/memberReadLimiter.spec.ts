import { describe, expect, it } from 'vitest'
import { MemberReadLimiter, READ_BURST } from '@rackwalk/decisions'

/** Times at which members are read ahead of time, where unknown instances are heard of at these times. */
function readsAt(times: readonly number[]): readonly number[] {
  const rule = new MemberReadLimiter()
  return times.flatMap(now => {
    const delay = rule.take(now)
    return delay === undefined ? [] : [now + delay]
  })
}

/** Unknown instances are heard of so many times a second for so long. */
function flood(perSecond: number, milliseconds: number): readonly number[] {
  const count = (perSecond * milliseconds) / 1_000
  return Array.from({ length: count }, (_, index) => (index * 1_000) / perSecond)
}

describe('reads of the members for instances that are not known', () => {
  // A newcomer that waits for the usual read is told of no end until then.
  it('are made at once for a newcomer, and again where its row did not stand yet', () => {
    expect(readsAt([0, 20, 40, 60, 80, 100, 120])).toEqual([0, 50, 100])
    expect(readsAt([10_000])).toEqual([10_000])
  })

  // Whoever sends datagrams with names that nobody has would make each instance read without end.
  it('stay at one a second in a flood of names that nobody has', () => {
    const reads = readsAt(flood(10_000, 60_000))
    expect(reads.length).toBeLessThanOrEqual(READ_BURST + 60)
    for (const from of flood(10, 59_000)) {
      const within = reads.filter(at => at >= from && at < from + 1_000)
      expect(within.length).toBeLessThanOrEqual(READ_BURST + 1)
    }
  })

  // The store would get hundreds of reads for each instance of a large fleet that comes back at once.
  it('are few for each instance of a fleet of 360 that starts within two seconds', () => {
    expect(readsAt(flood(359 / 2, 2_000)).length).toBeLessThanOrEqual(READ_BURST + 2)
  })

  it('are made at once again after a quiet time', () => {
    const reads = readsAt([...flood(100, 5_000), 8_000, 8_060, 8_120, 8_180])
    expect(reads.filter(at => at >= 8_000)).toEqual([8_000, 8_060, 8_120])
  })
})
