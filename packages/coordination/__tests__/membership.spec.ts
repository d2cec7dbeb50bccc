import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { IncarnationId, InstanceId, RegionId, FailureDomainId } from '@rackwalk/shared'
import { Lease, Membership, chooseAddresses, rendezvousOrder } from '@rackwalk/coordination'
import type { MemberInfo } from '@rackwalk/coordination'
import { MemoryTable } from '@rackwalk/stand-ins'

function member(number: number, change: Partial<MemberInfo> = {}): MemberInfo {
  return {
    instanceId: asId<InstanceId>(`instance-${number}`),
    incarnation: asId<IncarnationId>(`incarnation-${number}`),
    region: asId<RegionId>('region-0'),
    failureDomain: asId<FailureDomainId>(`domain-${number % 3}`),
    peerAddress: '',
    callerAddress: `address-${number}`,
    operatorAddress: '',
    state: 'serving',
    heartbeat: 1,
    inFlight: 0,
    configurationRevision: 0,
    leavingEndpoints: [],
    ...change,
  }
}

function createMembership(self: MemberInfo, clock: VirtualClock): Membership {
  return new Membership(self, () => self, clock, new SeededRandom(1))
}

describe('Membership', () => {
  it('drops a silent member and adds it again after a new heartbeat', async () => {
    const clock = new VirtualClock()
    const membership = createMembership(member(0), clock)
    membership.mergeMember(member(1))
    expect(membership.liveCount).toBe(2)
    await clock.advance(6_000)
    expect(membership.liveCount).toBe(1)
    membership.mergeMember(member(1))
    expect(membership.liveCount, 'a repeated report').toBe(1)
    membership.mergeMember(member(1, { heartbeat: 2 }))
    expect(membership.liveCount).toBe(2)
  })

  it('sends a bounded number of messages per round, however large the fleet', async () => {
    const messages = (regions: number) => {
      const clock = new VirtualClock()
      const membership = createMembership(member(0), clock)
      for (let number = 1; number < regions * 50; number += 1) {
        const region = asId<RegionId>(`region-${number % regions}`)
        const failureDomain = asId<FailureDomainId>(`domain-${number % (regions * 4)}`)
        membership.mergeMember(member(number, { region, failureDomain }))
      }
      return membership.planHeartbeats().length
    }
    expect(messages(7)).toBeLessThanOrEqual(messages(1) + 1)
    expect(messages(7)).toBeLessThan(20)
  })

  it('learns of another group through digests, and asks only when its members changed', () => {
    const clock = new VirtualClock()
    const near = createMembership(member(0), clock)
    const far = Array.from({ length: 30 }, (_, index) =>
      member(100 + index, {
        region: asId<RegionId>('region-far'),
        failureDomain: asId<FailureDomainId>('far'),
      }),
    )
    const distant = createMembership(far[0] as MemberInfo, clock)
    for (const info of far.slice(1)) distant.mergeMember(info)
    const [digest] = distant.digests()
    const group = digest?.group ?? ''
    expect(near.mergeDigests(distant.digests())).toEqual([group])
    near.replaceGroupMembers(group, distant.membersOf(group))
    expect(near.liveCount).toBe(31)
    expect(near.mergeDigests(distant.digests()), 'nothing new').toEqual([])
  })
})

describe('chooseAddresses', () => {
  it('leaves draining instances out and prefers other failure domains', () => {
    const members = [member(0), member(1), member(2), member(3), member(4, { state: 'draining' })]
    const random = new SeededRandom(3)
    for (let round = 0; round < 50; round += 1) {
      const { addresses } = chooseAddresses(members, random)
      expect(addresses).not.toContain('address-4')
      const domains = addresses.map(address => Number(address.slice(-1)) % 3)
      expect(new Set(domains).size).toBe(3)
    }
  })
})

describe('rendezvousOrder', () => {
  it('moves only the keys of a candidate that leaves', () => {
    const candidates = ['a', 'b', 'c', 'd']
    const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`)
    for (const key of keys) {
      const before = rendezvousOrder(key, candidates)[0]
      const after = rendezvousOrder(
        key,
        candidates.filter(name => name !== 'c'),
      )[0]
      if (before !== 'c') expect(after).toBe(before)
    }
  })
})

describe('Lease', () => {
  it('changes its holder only after it was seen unchanged, with a greater epoch', async () => {
    const clock = new VirtualClock()
    const table = new MemoryTable()
    const create = (name: string) =>
      new Lease({
        name: 'planner',
        incarnation: asId<IncarnationId>(name),
        table,
        clock,
        random: new SeededRandom(1),
        durationMilliseconds: 1_000,
      })
    const [first, second] = [create('first'), create('second')]
    expect(await first.acquireOrRenew()).toBe(1)
    expect(await second.acquireOrRenew()).toBeUndefined()
    await clock.advance(900)
    expect(await first.acquireOrRenew()).toBe(1)
    expect(await second.acquireOrRenew()).toBeUndefined()
    await clock.advance(1_001)
    expect(first.epoch, 'a paused holder knows that its time is over').toBeUndefined()
    expect(await second.acquireOrRenew()).toBe(2)
    expect(await first.acquireOrRenew()).toBeUndefined()
  })
})
