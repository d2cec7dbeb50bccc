import { describe, expect, it } from 'vitest'
import { MemberReadLimiter, READ_BURST } from '@rackwalk/decisions'

/**
 * Returns the times at which members are read ahead of schedule, where messages of unknown
 * instances arrive at these times.
 */
function readsAt(times: readonly number[]): readonly number[] {
  const limiter = new MemberReadLimiter()
  return times.flatMap(now => {
    const delay = limiter.take(now)
    return delay === undefined ? [] : [now + delay]
  })
}

/** Returns the times of `perSecond` messages a second of unknown instances over this duration. */
function flood(perSecond: number, milliseconds: number): readonly number[] {
  const count = (perSecond * milliseconds) / 1_000
  return Array.from({ length: count }, (_, index) => (index * 1_000) / perSecond)
}

describe('reads of the members for unknown instances', () => {
  // A new instance that waited for the scheduled read would be sent no crash reports until then.
  it('are made at once for a new instance, and again where its row was not written yet', () => {
    expect(readsAt([0, 20, 40, 60, 80, 100, 120])).toEqual([0, 50, 100])
    expect(readsAt([10_000])).toEqual([10_000])
  })

  // A sender of datagrams with made-up names would otherwise make each instance read without end.
  it('stay at one a second in a flood of made-up names', () => {
    const reads = readsAt(flood(10_000, 60_000))
    expect(reads.length).toBeLessThanOrEqual(READ_BURST + 60)
    for (const from of flood(10, 59_000)) {
      const within = reads.filter(at => at >= from && at < from + 1_000)
      expect(within.length).toBeLessThanOrEqual(READ_BURST + 1)
    }
  })

  // The store would otherwise get hundreds of reads from each instance of a large fleet that
  // restarts.
  it('are few for each instance of a fleet of 360 that starts within two seconds', () => {
    expect(readsAt(flood(359 / 2, 2_000)).length).toBeLessThanOrEqual(READ_BURST + 2)
  })

  it('are made at once again after a time without messages', () => {
    const reads = readsAt([...flood(100, 5_000), 8_000, 8_060, 8_120, 8_180])
    expect(reads.filter(at => at >= 8_000)).toEqual([8_000, 8_060, 8_120])
  })
})
