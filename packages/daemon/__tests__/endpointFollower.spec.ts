import { describe, expect, it } from 'vitest'
import { UNKNOWN_SOFTWARE_VERSION, VirtualClock, endpointStart } from '@rackwalk/shared'
import { EndpointDirectory } from '@rackwalk/router'
import type { EndpointRecord } from '@rackwalk/router'
import { EndpointFollower } from '@rackwalk/daemon'

const SERVICE = 'model'
const LEAVING = 'leaving'
const MALFORMED = 'malformed'

function setUp() {
  const clock = new VirtualClock()
  const changes: string[] = []
  const directory = new EndpointDirectory({
    clock,
    instances: () => 1,
    maximumConnections: () => 100,
    coldMilliseconds: () => 0,
    onChange: (server, change) => changes.push(`${server.id} ${change}`),
  })
  const parsed: string[] = []
  const parse = (id: string, value: string): EndpointRecord | undefined => {
    parsed.push(`${id} ${value}`)
    return value === MALFORMED ? undefined : recordOf(id, value)
  }
  const recordOf = (id: string, value: string): EndpointRecord => ({
    id,
    start: endpointStart(id, undefined),
    service: SERVICE,
    address: '127.0.0.1:1',
    failureDomain: 'hall-a',
    softwareVersion: UNKNOWN_SOFTWARE_VERSION,
    slots: 8,
    isLeaving: value === LEAVING,
    coldMilliseconds: 0,
  })
  const follower = new EndpointFollower({ directory, clock, parse, onMalformedRow: () => {} })
  let version = 0
  const row = (key: string, value: string | undefined) => {
    version += 1
    return { table: 'servers', partition: '', key, value, version }
  }
  const list = (...ids: string[]) =>
    follower.onRows(
      ids.map(id => row(id, 'listed')),
      true,
    )
  const drop = (id: string) => follower.onRows([row(id, undefined)], false)
  const available = () => directory.available(SERVICE).map(server => server.record.id)
  const put = (id: string, value: string) => follower.onRows([row(id, value)], false)
  return { clock, changes, parsed, follower, list, put, drop, available }
}

describe('EndpointFollower', () => {
  it('treats a server whose entry is removed as gone at once', () => {
    const { list, drop, available } = setUp()
    list('s1', 's2')
    drop('s1')
    expect(available()).toEqual(['s2'])
  })

  it('keeps servers whose entries lapsed in an outage until they are listed again', async () => {
    const { clock, changes, follower, list, drop, available } = setUp()
    list('s1', 's2')
    follower.onReachabilityChange(false)
    // The first answer after the outage removes both entries, before the store counts as reachable again.
    drop('s1')
    drop('s2')
    follower.onReachabilityChange(true)
    expect(available()).toEqual(['s1', 's2'])
    await clock.advance(1_000)
    list('s1')
    await clock.advance(2_000)
    expect(available()).toEqual(['s1'])
    expect(changes).toMatchInlineSnapshot(`
      [
        "s1 listed",
        "s2 listed",
        "s1 lapsed",
        "s2 lapsed",
        "s2 gone",
      ]
    `)
  })

  it('waits only for the rest of the lapse time after the store is back', async () => {
    const { clock, follower, list, drop, available } = setUp()
    list('s1', 's2')
    follower.onReachabilityChange(false)
    follower.onReachabilityChange(true)
    await clock.advance(1_500)
    drop('s1')
    expect(available()).toEqual(['s1', 's2'])
    await clock.advance(400)
    expect(available()).toEqual(['s2'])
    drop('s2')
    expect(available()).toEqual([])
  })
  it('parses a renewed row only if its value has changed', () => {
    const { parsed, list, put } = setUp()
    list('s1', 's2')
    list('s1', 's2')
    put('s1', 'listed')
    put('s1', LEAVING)
    put('s1', LEAVING)
    put('s1', 'listed')
    expect(parsed).toEqual(['s1 listed', 's2 listed', `s1 ${LEAVING}`, 's1 listed'])
  })

  it('lists a server again whose row returns with its earlier value', () => {
    // Guards against an earlier value that counts as known although the server was removed in between.
    const { changes, list, put, drop, available } = setUp()
    list('s1', 's2')
    drop('s1')
    put('s1', 'listed')
    expect(available()).toEqual(['s2', 's1'])
    put('s1', MALFORMED)
    expect(available()).toEqual(['s2'])
    put('s1', 'listed')
    expect(available()).toEqual(['s2', 's1'])
    list('s2')
    expect(available()).toEqual(['s2'])
    list('s1', 's2')
    expect(available()).toEqual(['s2', 's1'])
    expect(changes.filter(change => change === 's1 listed').length).toBe(4)
  })
})
