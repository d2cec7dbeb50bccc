import { describe, expect, it } from 'vitest'
import { LinkMonitor } from '@rackwalk/router'
import type { MonitoredEndpoint } from '@rackwalk/router'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'

const LONG_AGO = Number.NEGATIVE_INFINITY

/** Endpoints of one service in two failure domains. Those in `unreachable` refuse connections. */
function setUp(count: number) {
  const clock = new VirtualClock()
  const unreachable = new Set<string>()
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
  const monitor = new LinkMonitor({
    clock,
    random: new SeededRandom(1),
    endpointsOf: () => endpoints,
    endpointsOfOthers: () => [],
    onCutOff: (_, isCutOff) => changes.push(isCutOff),
    isLinkUp: async address => {
      checks.push(address)
      return !unreachable.has(address)
    },
  })
  /** Makes a request to each of these endpoints fail to connect. */
  const fail = (indices: readonly number[]) => {
    for (const index of indices) {
      const endpoint = endpoints[index]
      if (endpoint !== undefined) monitor.noteConnectFailed(endpoint)
    }
  }
  const settle = async () => {
    for (let turn = 0; turn < 200; turn += 1) await Promise.resolve()
  }
  return { clock, unreachable, checks, changes, endpoints, monitor, fail, settle }
}

describe('an instance that checks its links', () => {
  it('is cut off where no endpoint takes a connection, and not once one does again', async () => {
    const { clock, unreachable, changes, endpoints, monitor, fail, settle } = setUp(6)
    for (const { address } of endpoints) unreachable.add(address)
    fail([0, 1])
    await settle()
    expect([monitor.isCutOff('models'), monitor.unreachableEndpoints('models').size]).toEqual([
      true,
      6,
    ])
    unreachable.clear()
    await clock.advance(500)
    await settle()
    expect([monitor.isCutOff('models'), monitor.unreachableEndpoints('models').size]).toEqual([
      false,
      0,
    ])
    expect(changes).toEqual([true, false])
  })

  it('is not cut off if connections fail at several terminated endpoints and others are alive', async () => {
    const { changes, unreachable, monitor, fail, settle } = setUp(8)
    for (const address of ['e0', 'e1', 'e2', 'e3']) unreachable.add(address)
    fail([0, 1, 2, 3])
    await settle()
    expect([monitor.isCutOff('models'), changes]).toEqual([false, []])
  })

  it('avoids a failure domain of which it reaches nothing, and no other', async () => {
    const { unreachable, endpoints, monitor, fail, settle } = setUp(8)
    for (const { address, link } of endpoints)
      if (link.failureDomain === 'a') unreachable.add(address)
    fail([0, 2])
    await settle()
    const unreached = [...monitor.unreachableEndpoints('models')].map(
      ({ link }) => link.failureDomain,
    )
    expect(unreached).toEqual(['a', 'a', 'a', 'a'])
    expect(monitor.isCutOff('models')).toBe(false)
  })

  it('makes a few connections after one endpoint terminated, and then no more', async () => {
    const { clock, checks, unreachable, fail, settle } = setUp(8)
    unreachable.add('e0')
    fail([0])
    await settle()
    await clock.advance(5_000)
    await settle()
    expect(checks.length).toBeLessThanOrEqual(4)
  })
})

/** Endpoints of a service that reports no state and of one that does, behind links on which connections come up. */
function setUpSilence(isAnswered: boolean) {
  const clock = new VirtualClock()
  const endpointsOf = (service: string) =>
    Array.from({ length: 4 }, (_, index): MonitoredEndpoint => {
      const seen = { connectedAt: LONG_AGO, failedAt: LONG_AGO }
      return {
        service,
        address: `${service}-${index}`,
        get link() {
          return { failureDomain: 'a', ...seen }
        },
        noteConnected: () => (seen.connectedAt = clock.monotonic()),
        noteConnectFailed: () => (seen.failedAt = clock.monotonic()),
      }
    })
  const plain = endpointsOf('plain')
  const models = endpointsOf('models')
  return new LinkMonitor({
    clock,
    random: new SeededRandom(1),
    endpointsOf: service => (service === 'plain' ? plain : models),
    endpointsOfOthers: service => (service === 'plain' ? models : plain),
    statePathOf: service => (service === 'models' ? '/state' : undefined),
    onCutOff: () => {},
    isLinkUp: async (_, statePath) => statePath === undefined || isAnswered,
  })
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 200; turn += 1) await Promise.resolve()
}

describe('an instance whose connections come up', () => {
  it('is cut off from doubted services of which nothing answers, whether or not they report their state', async () => {
    const monitor = setUpSilence(false)
    for (const service of ['plain', 'models']) monitor.noteDoubted(service)
    await settle()
    expect(['plain', 'models'].map(service => monitor.isCutOff(service))).toEqual([true, true])
    monitor.stop()
  })

  it('is not cut off where a reporting endpoint answers', async () => {
    const monitor = setUpSilence(true)
    for (const service of ['plain', 'models']) monitor.noteDoubted(service)
    await settle()
    expect(['plain', 'models'].map(service => monitor.isCutOff(service))).toEqual([false, false])
    monitor.stop()
  })

  it('is not cut off from a service without reports because one of its connections failed', async () => {
    const monitor = setUpSilence(false)
    monitor.startChecking('plain')
    await settle()
    expect(monitor.isCutOff('plain')).toBe(false)
    monitor.stop()
  })
})
