import { describe, expect, it } from 'vitest'
import { FleetReplay } from '@rackwalk/stand-ins'

/**
 * Guards against too many instances that share budgets in a large fleet. Few instances are active, but all receive some
 * requests: plain requests and probes arrive at all, and one team's callers use a standby. The figures in brackets are the
 * results of earlier rules, by which each instance with half a request per second shared every limit, and instances without
 * a heartbeat so far were left out of the addresses.
 */

const SMALL = 40
const LARGE = 120
const TIMEOUT_MILLISECONDS = 60_000
/** Time after which the heartbeats of all instances are known and standbys have returned their holdings. */
const SETTLE_MILLISECONDS = 9_000

async function settledFleet(instances: number): Promise<FleetReplay> {
  const fleet = new FleetReplay(
    {
      instances,
      failureDomains: 6,
      budgets: 20,
      limit: 3_000_000,
      requestsPerSecond: 200,
      anywherePerSecond: 0.7,
      stayingPerSecond: 15,
    },
    1,
  )
  await fleet.clock.advance(SETTLE_MILLISECONDS)
  return fleet
}

function share({ asked, served }: { asked: number; served: number }): number {
  return served / asked
}

describe('a large fleet with requests at all instances', () => {
  it(
    'makes no more store calls per instance as it grows, and shares budgets among their users only',
    async () => {
      const costs: number[] = []
      for (const instances of [SMALL, LARGE]) {
        const fleet = await settledFleet(instances)
        const outcome = await fleet.run(3_000)
        expect(share(outcome)).toBeGreaterThan(0.98)
        costs.push(fleet.storeCalls / instances)
        // [25 at forty instances.]
        expect(fleet.mostSharers).toBeLessThanOrEqual(fleet.active.length + 2)
        expect(fleet.recordMilliseconds).toBeLessThan(700)
      }
      const [small = 0, large = 0] = costs
      expect(large).toBeLessThan(1.5 * small)
    },
    TIMEOUT_MILLISECONDS,
  )

  it(
    'has the same active instances after a power failure of all instances',
    async () => {
      const fleet = await settledFleet(LARGE)
      await fleet.run(2_000)
      const before = fleet.active
      await fleet.loseAll(1_500)
      const first = await fleet.run(700)
      // [28 named and 26 active.]
      expect(fleet.announcedAddresses.size).toBeLessThanOrEqual(before.length + 2)
      expect(fleet.active.length).toBeLessThanOrEqual(before.length + 2)
      expect(share(first)).toBeGreaterThan(0.9)
      const later = await fleet.run(2_000)
      expect(share(later)).toBeGreaterThan(0.98)
      // [64]
      expect(fleet.mostSharers).toBeLessThanOrEqual(before.length + 2)
    },
    TIMEOUT_MILLISECONDS,
  )
})
