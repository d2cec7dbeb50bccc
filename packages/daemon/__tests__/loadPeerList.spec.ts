import { describe, expect, it } from 'vitest'
import type { MemberRow } from '@rackwalk/coordination'
import { LoadPeerList } from '@rackwalk/daemon'

function member(instance: string, more: Partial<MemberRow> = {}): MemberRow {
  return {
    instance,
    incarnation: 'life-1',
    region: 'region',
    failureDomain: 'domain',
    callerAddress: '127.0.0.1:1',
    peerAddress: '',
    loadAddress: '127.0.0.1:2',
    capacity: 1,
    requestsPerSecond: 0,
    state: 'serving',
    heartbeat: 1,
    renewalMilliseconds: 1_000,
    ...more,
  }
}

describe('the peers of the exchange', () => {
  it('are the same list while only heartbeats and rates of the members change', () => {
    // Guards against a search for new peers at every report of an idle instance.
    const peers = new LoadPeerList()
    const first = peers.of([member('a'), member('b')])
    expect(peers.of([member('a', { heartbeat: 2, requestsPerSecond: 3 }), member('b')])).toBe(first)
  })

  it('are another list once an instance joins, leaves, restarts or moves', () => {
    // Guards against a new peer that is not sent the current state, or datagrams that go to an earlier address.
    const peers = new LoadPeerList()
    const lists: readonly (readonly MemberRow[])[] = [
      [member('a')],
      [member('a'), member('b')],
      [member('b')],
      [member('b', { incarnation: 'life-2' })],
      [member('b', { incarnation: 'life-2', loadAddress: '127.0.0.1:3' })],
      [member('b', { incarnation: 'life-2', loadAddress: '' })],
    ]
    const results = lists.map(members => peers.of(members))
    expect(new Set(results).size).toBe(lists.length)
    expect(results.map(list => list.map(peer => Object.values(peer).join(' ')))).toEqual([
      ['a life-1 127.0.0.1:2'],
      ['a life-1 127.0.0.1:2', 'b life-1 127.0.0.1:2'],
      ['b life-1 127.0.0.1:2'],
      ['b life-2 127.0.0.1:2'],
      ['b life-2 127.0.0.1:3'],
      [],
    ])
  })
})
