import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock, randomBelow } from '@rackwalk/shared'
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

const SILENCE_MILLISECONDS = 1_000

interface SetUpOptions {
  readonly self?: MemberRow
  readonly others?: MemberRow[]
  readonly silent?: string[]
  /** Instances that are heard although their rows are not renewed. */
  readonly disconnected?: string[]
  /** Instances that have work at endpoints. */
  readonly using?: string[]
  /** Seed of the choice of the instances that an answer names. */
  readonly seed?: number
}

function setUp(options: SetUpOptions) {
  const { self, others = OTHERS, silent = [], using = [], seed = 1 } = options
  const { disconnected = [] } = options
  const clock = new VirtualClock()
  const changes: [boolean, number][] = []
  const state = { self, silent: new Set(silent), cutOff: new Set<string>() }
  const fleet = new ActiveFleet({
    isServing: () => state.self !== undefined,
    self: () => state.self ?? member('a1'),
    others: () => others,
    disconnectedOthers: () => disconnected.map(name => member(name)),
    hasRecentHeartbeat: ({ instance }) => !state.silent.has(instance),
    silenceMilliseconds: () => SILENCE_MILLISECONDS,
    hasEndpointLoad: ({ instance }) => using.includes(instance),
    isCutOff: ({ instance }) => state.cutOff.has(instance),
    hasOwnEndpointLoad: () => using.includes('a1'),
    clock,
    random: new SeededRandom(seed),
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

  it('leaves out a silent instance, and another takes its place', async () => {
    const { clock, fleet, state } = setUp({})
    const [first] = fleet.activeOthers
    state.silent.add(first?.instance ?? '')
    await clock.advance(1_000)
    expect(fleet.activeOthers.length).toBe(2)
    expect(fleet.activeOthers).not.toContain(first)
  })

  it('makes a standby instance active in place of one that is cut off', async () => {
    const { clock, fleet, state } = setUp({})
    const [first] = fleet.activeOthers
    state.cutOff.add(first?.instance ?? '')
    await clock.advance(1_000)
    expect(fleet.activeOthers.length).toBe(2)
    expect(fleet.activeOthers).not.toContain(first)
    state.cutOff.clear()
    await clock.advance(1_000)
    expect(fleet.activeOthers).toContain(first)
  })

  it('relies on the rows while it hears no instance and may be cut off itself', () => {
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

  it('lists a standby instance that has work at endpoints as a user', () => {
    const weak = member('b3', { capacity: 1 })
    const others = [member('b1'), weak, member('b2')]
    const { fleet } = setUp({ self: member('a1'), others, using: ['b3'] })
    expect(fleet.activeOthers).not.toContain(weak)
    expect(fleet.usingOthers).toContain(weak)
    expect(fleet.idleOthers.map(({ instance }) => instance)).not.toContain('b3')
  })

  it('shares no bounds with instances that get only health checks and plain requests', () => {
    const others = Array.from({ length: 200 }, (_, index) =>
      member(`b${index}`, { requestsPerSecond: 0.7, capacity: 40 }),
    )
    const self = member('a1', { capacity: 200, requestsPerSecond: 40 })
    const { fleet } = setUp({ self, others, using: ['b7'] })
    expect(fleet.activeCount).toBeLessThan(10)
    // The active instances, and the one whose callers stay with it.
    expect(fleet.sharers).toBeLessThanOrEqual(fleet.activeCount + 1)
    expect(fleet.usingOthers.length).toBeLessThanOrEqual(fleet.activeCount)
  })

  it('does not settle as active before it can know the others', async () => {
    const { clock, fleet } = setUp({ self: member('a1'), others: [] })
    expect([fleet.isSelfActive, fleet.isSelfSettled]).toEqual([true, false])
    await clock.advance(2_100)
    expect(fleet.isSelfSettled).toBe(true)
  })

  it('shares bounds among active instances, and among all while on standby', () => {
    const weak = member('a1', { capacity: 1 })
    const strong = member('a1', { capacity: 100 })
    expect(setUp({ self: weak }).fleet.sharers).toBe(6)
    expect(setUp({ self: strong }).fleet.sharers).toBe(2)
    expect(setUp({ self: strong }).fleet.worstCaseSharers).toBe(3)
  })

  it('shares bounds with instances that are heard although their rows are not renewed', () => {
    const { fleet } = setUp({ self: member('a1'), others: [], disconnected: ['a2', 'b1', 'b2'] })
    expect([fleet.sharers, fleet.worstCaseSharers]).toEqual([4, 4])
    expect(fleet.activeCount).toBe(1)
    expect(fleet.heartbeatOthers.map(({ instance }) => instance)).toEqual(['a2', 'b1', 'b2'])
  })

  it('shares bounds as a user if it has work while on standby', () => {
    const weak = member('a1', { capacity: 1 })
    expect(setUp({ self: weak, using: ['a1'] }).fleet.sharers).toBe(3)
  })
})

describe('a fleet whose instances start at the same time', () => {
  const FLEET = Array.from({ length: 60 }, (_, index) => member(`${'abc'[index % 3]}${index}`))
  const NAMES = FLEET.map(({ instance }) => instance)

  /**
   * The fleet as one instance sees it, with the rows of the previous incarnations read and the instances heard so
   * far.
   */
  function startOne(self: MemberRow, heard: readonly string[]) {
    const others = FLEET.filter(other => other !== self)
    return setUp({ self, others, silent: NAMES.filter(name => !heard.includes(name)) })
  }

  it('lists the instances that took callers before, whichever instances each one has heard', () => {
    const named = FLEET.map((self, index) => {
      const heard = [
        NAMES[(index + 7) % NAMES.length] ?? '',
        NAMES[(index + 31) % NAMES.length] ?? '',
      ]
      return startOne(self, heard).fleet.addresses('near').toSorted().join(' ')
    })
    expect(new Set(named).size).toBe(1)
    expect(named[0]?.split(' ').length).toBe(3)
  })

  it('has no more active instances than before', () => {
    const active = FLEET.filter(self => startOne(self, [NAMES[5] ?? '']).fleet.isSelfActive)
    expect(active.length).toBe(3)
  })

  it('leaves out instances that have been silent for the silence time', async () => {
    const [self = member('a1')] = FLEET
    const lost = startOne(self, []).fleet.activeOthers.map(({ instance }) => instance)
    const heard = NAMES.filter(name => !lost.includes(name))
    const later = startOne(self, heard)
    expect(later.fleet.activeOthers.map(({ instance }) => instance)).toEqual(lost)
    await later.clock.advance(SILENCE_MILLISECONDS + 100)
    const names = later.fleet.activeOthers.map(({ instance }) => instance)
    expect(names.some(name => lost.includes(name))).toBe(false)
  })
})

describe('the addresses of instances of two sizes', () => {
  const STRONG_CAPACITY = 140
  const WEAK_CAPACITY = 7
  const ADDRESS_LIFETIME_MILLISECONDS = 5_000
  /** Callers keep an answer for three times its lifetime. */
  const ANSWER_MILLISECONDS = 3 * ADDRESS_LIFETIME_MILLISECONDS
  const RESTART = { from: 20_000, until: 50_000 }
  const END_MILLISECONDS = 80_000
  const STEP_MILLISECONDS = 100
  const CALLERS = 2_000

  /** Six instances, two in each of three failure domains, are twenty times as strong as the other 54. */
  function fleetRows(): MemberRow[] {
    return Array.from({ length: 60 }, (_, index) => {
      const isStrong = index < 6
      return member(`${'abc'[index % 3]}${index}`, {
        capacity: isStrong ? STRONG_CAPACITY : WEAK_CAPACITY,
        requestsPerSecond: isStrong ? 60 : 0,
      })
    })
  }

  /**
   * Returns the share of all connections during the restart of one strong instance that reached a weak one, and
   * how many weak ones were reached. Each caller connects once in each step, to any address of its answer that is
   * not restarting.
   */
  async function weakShare(seed: number, addressesOf: (fleet: ActiveFleet) => readonly string[]) {
    const rows = fleetRows()
    const [lost] = rows
    const { clock, fleet, state } = setUp({ others: rows, seed })
    const random = new SeededRandom(100 + seed)
    const weak = new Set(
      rows.filter(row => row.capacity < STRONG_CAPACITY).map(row => row.callerAddress),
    )
    const callers = Array.from({ length: CALLERS }, () => ({
      answer: [] as readonly string[],
      until: random.next() * ANSWER_MILLISECONDS,
    }))
    const connections = new Map<string, number>()
    while (clock.monotonic() < END_MILLISECONDS) {
      const now = clock.monotonic()
      const isRestarting = now >= RESTART.from && now < RESTART.until
      if (isRestarting) state.silent.add(lost?.instance ?? '')
      else state.silent.clear()
      for (const caller of callers) {
        if (caller.answer.length === 0 || now >= caller.until) {
          caller.answer = addressesOf(fleet)
          caller.until = now + ANSWER_MILLISECONDS
        }
        const open = caller.answer.filter(name => !isRestarting || name !== lost?.callerAddress)
        const address = open[randomBelow(random, open.length)] ?? ''
        connections.set(address, (connections.get(address) ?? 0) + 1)
      }
      await clock.advance(STEP_MILLISECONDS)
    }
    const total = [...connections.values()].reduce((sum, count) => sum + count, 0)
    const atWeak = [...connections].filter(([address]) => weak.has(address))
    const most = Math.max(0, ...atWeak.map(([, count]) => count))
    return { share: most / total, reached: atWeak.length }
  }

  /** The answers before capacities counted: all active instances. */
  const allActive = (fleet: ActiveFleet) => fleet.activeOthers.map(row => row.callerAddress)

  // Guards against a weak instance that stands in for a strong one and is overrun: named in every answer, it got as
  // many callers as a strong one.
  it.each([1, 2, 3])('give a weak stand-in no more than its proportion, seed %i', async seed => {
    // About 240 answers name the weak one, with a standard deviation of 6%.
    const proportion = WEAK_CAPACITY / (5 * STRONG_CAPACITY + WEAK_CAPACITY)
    const share = (RESTART.until - RESTART.from) / END_MILLISECONDS
    const weighted = await weakShare(seed, fleet => fleet.addresses('near'))
    const before = await weakShare(seed, allActive)
    expect(weighted.reached).toBe(1)
    expect(weighted.share).toBeLessThan(1.3 * proportion * share)
    expect(before.share).toBeGreaterThan(10 * proportion * share)
  })

  it('name all active instances while no other instance is heard', () => {
    const rows = fleetRows().slice(3, 9)
    const { fleet } = setUp({ others: rows, silent: rows.map(({ instance }) => instance) })
    const answers = Array.from({ length: 200 }, () => fleet.addresses('near').length)
    expect(new Set(answers)).toEqual(new Set([fleet.activeCount]))
  })
})
