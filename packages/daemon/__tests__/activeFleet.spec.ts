import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import type { MemberRow } from '@rackwalk/coordination'
import { ActiveFleet } from '@rackwalk/daemon'

function member(instance: string, more: Partial<MemberRow> = {}): MemberRow {
  return {
    instance,
    incarnation: 'first',
    region: 'near',
    failureDomain: instance.slice(0, 1),
    callerAddress: `${instance}:80`,
    peerAddress: '',
    loadAddress: `${instance}:90`,
    capacity: 40,
    requestsPerSecond: 0,
    state: 'serving',
    heartbeat: 1,
    renewalMilliseconds: 1_000,
    ...more,
  }
}

const OTHERS = ['a2', 'a3', 'b1', 'b2', 'b3'].map(name => member(name))

function setUp(options: { self?: MemberRow; others?: MemberRow[]; silent?: string[] }) {
  const { self, others = OTHERS, silent = [] } = options
  const clock = new VirtualClock()
  const changes: [boolean, number][] = []
  const state = { self, silent: new Set(silent) }
  const fleet = new ActiveFleet({
    isServing: () => state.self !== undefined,
    self: () => state.self ?? member('a1'),
    others: () => others,
    hears: ({ instance }) => !state.silent.has(instance),
    clock,
    bounds: { minimumInDomain: 1, headroom: 2 },
    onChange: (isActive, count) => changes.push([isActive, count]),
  })
  return { clock, fleet, state, changes }
}

describe('the fleet as an instance sees it', () => {
  it('sends callers to the active instances of their region', () => {
    const far = member('c1', { region: 'far' })
    const { fleet } = setUp({ self: member('a1'), others: [...OTHERS, far] })
    expect(fleet.addresses('far')).toEqual(['c1:80'])
    expect(fleet.addresses('near').length).toBe(2)
    expect(fleet.addresses('unknown').length).toBe(3)
  })

  it('leaves out an instance that has fallen silent, and another takes its place', async () => {
    const { clock, fleet, state } = setUp({})
    const [first] = fleet.activeOthers
    state.silent.add(first?.instance ?? '')
    await clock.advance(1_000)
    expect(fleet.activeOthers.length).toBe(2)
    expect(fleet.activeOthers).not.toContain(first)
  })

  it('believes the rows while it hears nobody and may be cut off itself', () => {
    const silent = OTHERS.map(({ instance }) => instance)
    const { fleet } = setUp({ self: member('a1'), silent })
    expect(fleet.addresses('near').length).toBe(2)
  })

  it('counts itself as soon as it serves', () => {
    const { fleet, state, changes } = setUp({ others: [] })
    expect(fleet.addresses('near')).toEqual([])
    state.self = member('a1')
    expect(fleet.addresses('near')).toEqual(['a1:80'])
    expect(changes).toEqual([
      [false, 0],
      [true, 1],
    ])
  })

  it('knows who serves callers that do not follow the directory', () => {
    const busy = member('b3', { requestsPerSecond: 20, capacity: 1 })
    const { fleet } = setUp({ self: member('a1'), others: [member('b1'), busy, member('b2')] })
    expect(fleet.activeOthers).not.toContain(busy)
    expect(fleet.workingOthers).toContain(busy)
    expect(fleet.idleOthers.map(({ instance }) => instance)).not.toContain('b3')
  })

  it('does not settle as active before it can know the others', async () => {
    const { clock, fleet } = setUp({ self: member('a1'), others: [] })
    expect([fleet.isSelfActive, fleet.isSelfSettled]).toEqual([true, false])
    await clock.advance(2_100)
    expect(fleet.isSelfSettled).toBe(true)
  })

  it('shares bounds among active instances, and among all where it stands by', () => {
    const weak = member('a1', { capacity: 1 })
    const strong = member('a1', { capacity: 100 })
    expect(setUp({ self: weak }).fleet.sharers).toBe(6)
    expect(setUp({ self: strong }).fleet.sharers).toBe(2)
    expect(setUp({ self: strong }).fleet.cautiousSharers).toBe(3)
  })
})
