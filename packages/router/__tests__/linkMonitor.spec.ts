import { describe, expect, it } from 'vitest'
import { LinkMonitor } from '@rackwalk/router'
import type { MonitoredEndpoint } from '@rackwalk/router'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'

const LONG_AGO = Number.NEGATIVE_INFINITY

/** Endpoints of one service in two failure domains; those in `dead` take no connection. */
function setUp(count: number) {
  const clock = new VirtualClock()
  const dead = new Set<string>()
  const checks: string[] = []
  const changes: boolean[] = []
  const endpoints = Array.from({ length: count }, (_, index): MonitoredEndpoint => {
    const seen = { connectedAt: LONG_AGO, failedAt: LONG_AGO }
    return {
      service: 'models',
      address: `e${index}`,
      get link() {
        return { failureDomain: index % 2 === 0 ? 'a' : 'b', ...seen }
      },
      noteConnected: () => (seen.connectedAt = clock.monotonic()),
      noteConnectFailed: () => (seen.failedAt = clock.monotonic()),
    }
  })
  const watch = new LinkMonitor({
    clock,
    random: new SeededRandom(1),
    endpointsOf: () => endpoints,
    endpointsOfOthers: () => [],
    onCutOff: (_, isCutOff) => changes.push(isCutOff),
    connects: async address => {
      checks.push(address)
      return !dead.has(address)
    },
  })
  /** A request to each of these finds nobody. */
  const fail = (indices: readonly number[]) => {
    for (const index of indices) {
      const endpoint = endpoints[index]
      if (endpoint !== undefined) watch.noteConnectFailed(endpoint)
    }
  }
  const settle = async () => {
    for (let turn = 0; turn < 200; turn += 1) await Promise.resolve()
  }
  return { clock, dead, checks, changes, endpoints, watch, fail, settle }
}

describe('an instance that checks its links', () => {
  it('is cut off where no endpoint takes a connection, and not once one does again', async () => {
    const { clock, dead, changes, endpoints, watch, fail, settle } = setUp(6)
    for (const { address } of endpoints) dead.add(address)
    fail([0, 1])
    await settle()
    expect([watch.isCutOff('models'), watch.unreachableEndpoints('models').size]).toEqual([true, 6])
    dead.clear()
    await clock.advance(500)
    await settle()
    expect([watch.isCutOff('models'), watch.unreachableEndpoints('models').size]).toEqual([
      false,
      0,
    ])
    expect(changes).toEqual([true, false])
  })

  it('is not cut off where requests met the ends of several endpoints, and others live', async () => {
    const { changes, dead, watch, fail, settle } = setUp(8)
    for (const address of ['e0', 'e1', 'e2', 'e3']) dead.add(address)
    fail([0, 1, 2, 3])
    await settle()
    expect([watch.isCutOff('models'), changes]).toEqual([false, []])
  })

  it('avoids a failure domain of which it reaches nothing, and no other', async () => {
    const { dead, endpoints, watch, fail, settle } = setUp(8)
    for (const { address, link } of endpoints) if (link.failureDomain === 'a') dead.add(address)
    fail([0, 2])
    await settle()
    const unreached = [...watch.unreachableEndpoints('models')].map(
      ({ link }) => link.failureDomain,
    )
    expect(unreached).toEqual(['a', 'a', 'a', 'a'])
    expect(watch.isCutOff('models')).toBe(false)
  })

  it('makes a few connections for one endpoint that has ended, and then no more', async () => {
    const { clock, checks, dead, fail, settle } = setUp(8)
    dead.add('e0')
    fail([0])
    await settle()
    await clock.advance(5_000)
    await settle()
    expect(checks.length).toBeLessThanOrEqual(4)
  })
})
