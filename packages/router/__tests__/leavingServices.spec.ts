import { describe, expect, it } from 'vitest'
import { EndpointTable } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'

/**
 * Guards against a plain service that gets no requests ever again after it announced that it is leaving and was restarted at
 * its address. Such a service sends no reports, so nothing but time ends the leaving, and instances that keep telling each
 * other must not renew it.
 */

const SERVICE = 'lookup'
const ENDPOINT = asId<EndpointId>('lookup-1')
const SECONDS_OF_LEAVING = 60

function create() {
  const clock = new VirtualClock()
  const spec = {
    kind: 'service',
    address: 'http://10.0.0.1:80',
    service: SERVICE,
    maximumInFlight: 256,
  } as const
  const endpoint = { endpointId: ENDPOINT, spec }
  const source = {
    endpoints: [endpoint],
    findEndpoint: () => endpoint,
    isEvacuated: () => false,
  }
  const permits = { allows: () => true, refusalOf: () => undefined }
  const createTable = () => new EndpointTable(source, clock, permits, () => undefined)
  return { clock, tables: [createTable(), createTable(), createTable()] as const }
}

type Tables = ReturnType<typeof create>['tables']

/** Each instance tells the others which endpoints leave, as with each heartbeat. */
function gossip(tables: Tables): void {
  for (const teller of tables) {
    const { leaving } = teller
    const others = tables.filter(table => table !== teller)
    for (const endpointId of leaving)
      for (const other of others) other.noteLeaving(endpointId, 'peer')
  }
}

async function gossipFor(
  { clock, tables }: ReturnType<typeof create>,
  seconds: number,
): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    await clock.advance(1_000)
    gossip(tables)
  }
}

function candidates(tables: Tables): readonly number[] {
  return tables.map(table => table.serviceCandidates(SERVICE).length)
}

describe('a plain service that announced that it is leaving', () => {
  it('gets no requests from any instance for a minute, and requests of all again afterwards', async () => {
    const fleet = create()
    fleet.tables[0].noteLeaving(ENDPOINT, 'answer')
    await gossipFor(fleet, 1)
    expect(candidates(fleet.tables)).toEqual([0, 0, 0])
    await gossipFor(fleet, SECONDS_OF_LEAVING - 3)
    expect(candidates(fleet.tables)).toEqual([0, 0, 0])
    await gossipFor(fleet, 2 * SECONDS_OF_LEAVING)
    expect(candidates(fleet.tables)).toEqual([1, 1, 1])
  })

  it('gets none for as long as its answers or the list of instances say so', async () => {
    for (const source of ['answer', 'list'] as const) {
      const fleet = create()
      const [table] = fleet.tables
      for (let count = 0; count < 4; count += 1) {
        table.noteLeaving(ENDPOINT, source)
        expect(candidates(fleet.tables)[0]).toBe(0)
        await gossipFor(fleet, SECONDS_OF_LEAVING + 1)
      }
    }
  })
})
