import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { VirtualClock } from '@rackwalk/shared'
import { ActiveInstances, chooseActive } from '@rackwalk/decisions'
import type { ActiveCandidate } from '@rackwalk/decisions'

const BOUNDS = { minimumInDomain: 2, headroom: 2 }

function candidate(instance: string, failureDomain: string, more: Partial<ActiveCandidate> = {}) {
  const rest = { region: 'region', capacity: 40, requestsPerSecond: 0 }
  return { instance, failureDomain, ...rest, ...more }
}

/** Returns `inDomain` instances in each of three failure domains. */
function fleet(inDomain: number, more: Partial<ActiveCandidate> = {}): ActiveCandidate[] {
  return ['a', 'b', 'c'].flatMap(domain =>
    Array.from({ length: inDomain }, (_, index) => candidate(`${domain}-${index}`, domain, more)),
  )
}

function names(chosen: readonly ActiveCandidate[]): string[] {
  return chosen.map(({ instance }) => instance).sort()
}

describe('the active instances', () => {
  it('are the least number in each failure domain while there is little load', () => {
    const chosen = chooseActive(fleet(10), 0, BOUNDS)
    const domains = chosen.map(({ failureDomain }) => failureDomain).sort()
    expect(domains).toEqual(['a', 'a', 'b', 'b', 'c', 'c'])
  })

  it('can take the load with headroom, evenly over failure domains', () => {
    const chosen = chooseActive(fleet(10), 240, BOUNDS)
    expect(chosen.length).toBe(12)
    expect(chosen.filter(({ failureDomain }) => failureDomain === 'a').length).toBe(4)
  })

  it('are all instances where the load needs more than there are', () => {
    expect(chooseActive(fleet(3), 10_000, BOUNDS).length).toBe(9)
  })

  it('are the ones with the largest capacity', () => {
    const large = [
      candidate('large-1', 'a', { capacity: 200 }),
      candidate('large-2', 'a', { capacity: 200 }),
    ]
    const chosen = chooseActive([...fleet(5), ...large], 100, BOUNDS)
    expect(names(chosen)).toEqual(expect.arrayContaining(['large-1', 'large-2']))
    expect(chosen.filter(({ failureDomain }) => failureDomain === 'a').length).toBe(2)
  })

  it('are none that is cut off while others of the region are not', () => {
    const selection = new ActiveInstances(BOUNDS)
    const members = fleet(10, { requestsPerSecond: 8 })
    const before = names(selection.choose(members, 0))
    const isCutOff = ({ instance }: ActiveCandidate) => before.includes(instance)
    const instead = names(selection.choose(members, 0, isCutOff))
    expect(instead.length).toBe(before.length)
    expect(instead.filter(name => before.includes(name))).toEqual([])
    expect(names(selection.choose(members, 0, () => true))).toEqual(before)
  })

  it('are not overloaded ones while others have the same capacity', () => {
    const [first = ''] = names(chooseActive(fleet(6), 0, BOUNDS))
    const withOverloaded = fleet(6).map(member =>
      member.instance === first ? { ...member, requestsPerSecond: 85 } : member,
    )
    expect(names(chooseActive(withOverloaded, 0, BOUNDS))).not.toContain(first)
    const all = names(chooseActive(withOverloaded, 10_000, BOUNDS))
    expect(all).toContain(first)
  })

  it('are the same in whatever order the members are known', () => {
    const order = fc.shuffledSubarray(fleet(6), { minLength: 18, maxLength: 18 })
    const expected = names(chooseActive(fleet(6), 100, BOUNDS))
    fc.assert(
      fc.property(order, members => {
        expect(names(chooseActive(members, 100, BOUNDS))).toEqual(expected)
      }),
    )
  })

  it('change by one when one of them is lost', () => {
    const before = names(chooseActive(fleet(6), 0, BOUNDS))
    const [lost] = before
    const rest = fleet(6).filter(({ instance }) => instance !== lost)
    const after = names(chooseActive(rest, 0, BOUNDS))
    expect(after.length).toBe(before.length)
    expect(after.filter(name => !before.includes(name)).length).toBe(1)
  })

  it('are chosen for each region by its own load', () => {
    const choice = new ActiveInstances(BOUNDS)
    const busy = fleet(5, { region: 'busy', requestsPerSecond: 16 })
    const idle = fleet(5, { region: 'idle' })
    const chosen = choice.choose([...busy, ...idle], 0)
    expect(chosen.filter(({ region }) => region === 'busy').length).toBe(12)
    expect(chosen.filter(({ region }) => region === 'idle').length).toBe(6)
  })

  it('are the same with the order of an earlier choice as with a new one', () => {
    // Guards against an order that is reused although a candidate, its capacity, its domain or its overload changed.
    const choice = new ActiveInstances({ ...BOUNDS, headroom: 0 })
    const members = fleet(5)
    const [first, second] = members
    if (first === undefined || second === undefined) throw new Error('no members')
    const replaced = (member: object) => [{ ...first, ...member }, ...members.slice(1)]
    const changed = [
      members,
      replaced({ requestsPerSecond: 1 }),
      replaced({ requestsPerSecond: first.capacity * 3 }),
      replaced({ capacity: first.capacity * 2 }),
      replaced({ capacity: first.capacity / 2 }),
      replaced({ failureDomain: 'another' }),
      replaced({ instance: 'another' }),
      members.slice(1),
      [...members].reverse(),
    ]
    for (const candidates of [...changed, ...changed].flatMap(list => [list, members, list])) {
      const expected = chooseActive(candidates, 0, BOUNDS)
      const chosen = choice.choose(candidates, 0)
      expect(chosen).toEqual(expected)
      for (const member of chosen) expect(candidates).toContain(member)
    }
  })

  it('follow a rise of the load at once and a fall slowly', async () => {
    const clock = new VirtualClock()
    const choice = new ActiveInstances(BOUNDS)
    const counts: number[] = []
    for (const requestsPerSecond of [0, 16, 0]) {
      counts.push(choice.choose(fleet(5, { requestsPerSecond }), clock.monotonic()).length)
    }
    expect(counts).toEqual([6, 12, 12])
    await clock.advance(60_000)
    expect(choice.choose(fleet(5), clock.monotonic()).length).toBe(6)
  })
})
