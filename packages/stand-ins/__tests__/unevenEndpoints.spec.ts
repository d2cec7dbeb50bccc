import { describe, expect, it } from 'vitest'
import { SeededRandom } from '@rackwalk/shared'
import { Replay, unevenEndpointsLoad } from '@rackwalk/stand-ins'

/**
 * Replays a load on engines of which about half work at a third of their speed, changing several times a second. The
 * rule before is the same choice without the reported pace.
 */

/** With four seeds, chance alone shifts the share of late streams by about 0.01. */
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1)
const PACE_NOISE = 0.1

interface Reports {
  readonly everyMilliseconds?: number
  readonly ageMilliseconds: number
}

interface Shares {
  /** Share of first events of short chats that are late. */
  readonly lateFirst: number
  /** Share of all streams with a late first event or a late pause. */
  readonly late: number
}

async function sharesOf(instances: number, reports: Reports, hasPace: boolean): Promise<Shares> {
  const sums = { first: 0, short: 0, late: 0, all: 0 }
  for (const seed of SEEDS) {
    const loadReports = { ...reports, hasPace, paceNoise: PACE_NOISE }
    const load = unevenEndpointsLoad(new SeededRandom(100 + seed), { instances, loadReports })
    const outcomes = await new Replay(load, seed).run()
    const short = outcomes.get('short')
    sums.first += short?.lateFirstEvents ?? 0
    sums.short += short?.requests ?? 0
    for (const { lateFirstEvents, latePauses, requests } of outcomes.values()) {
      sums.late += lateFirstEvents + latePauses
      sums.all += requests
    }
  }
  return { lateFirst: sums.first / sums.short, late: sums.late / sums.all }
}

describe('endpoints that report how long work takes', () => {
  // Guards against short chats that wait at an endpoint which is known to be slow at present.
  it.each([2, 6])('serve more first events in time, with %i instances', async instances => {
    const reports = { everyMilliseconds: 100, ageMilliseconds: 0 }
    const before = await sharesOf(instances, reports, false)
    const after = await sharesOf(instances, reports, true)
    expect(after.lateFirst).toBeLessThan(0.85 * before.lateFirst)
    expect(after.late).toBeLessThan(before.late)
  })

  // Guards against a rule that trusts old reports: each instance has an answer of each endpoint about once a second.
  it('lose hardly any where reports are rare', async () => {
    const reports = { ageMilliseconds: 100 }
    const before = await sharesOf(6, reports, false)
    const after = await sharesOf(6, reports, true)
    expect(after.lateFirst).toBeLessThan(before.lateFirst + 0.01)
    expect(after.late).toBeLessThan(before.late + 0.02)
  })
})
