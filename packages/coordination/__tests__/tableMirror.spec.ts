import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import type { ChangedRow } from '@rackwalk/stores'
import { TableMirror } from '@rackwalk/coordination'
import type { MirrorPage } from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

const TABLE = 'things'

function setUp(askPeers?: (table: string, after: number) => Promise<MirrorPage | undefined>) {
  const clock = new VirtualClock()
  const store = new MemoryRowStore(clock)
  const client = store.connect()
  const seen = new Map<string, string | undefined>()
  const faults: unknown[] = []
  const onRows = (rows: readonly ChangedRow[], isWhole: boolean) => {
    if (isWhole) seen.clear()
    for (const row of rows) {
      if (row.value === 'poison') throw new Error('cannot read this')
      seen.set(row.key, row.value)
    }
  }
  const wanted = { isWanted: true, partitions: [''] }
  const mirror = new TableMirror({
    store: client.store,
    table: TABLE,
    partitions: () => wanted.partitions,
    clock,
    listener: { onRows, onFault: error => faults.push(error) },
    askPeers,
    waitMilliseconds: 500,
    pauseMilliseconds: () => 20,
    isWanted: () => wanted.isWanted,
  })
  mirror.start()
  return { clock, store, faults: client.faults, seen, mirror, listenerFaults: faults, wanted }
}

describe('TableMirror', () => {
  it('has what was there before it began, and every change since', async () => {
    const { clock, store, seen } = setUp()
    store.put(TABLE, 'a', '1')
    await clock.advance(1_000)
    store.put(TABLE, 'b', '2')
    store.remove(TABLE, 'a')
    await clock.advance(2_000)
    expect([...seen]).toEqual([
      ['a', undefined],
      ['b', '2'],
    ])
  })

  it('reads everything anew when the store forgot the changes that it lacks', async () => {
    const { clock, store, faults, seen } = setUp()
    store.put(TABLE, 'a', '1')
    await clock.advance(1_000)
    faults.isCut = true
    await clock.advance(3_000)
    store.remove(TABLE, 'a')
    store.put(TABLE, 'b', '2')
    store.forgetHistory()
    faults.isCut = false
    await clock.advance(5_000)
    expect([...seen]).toEqual([['b', '2']])
  })

  it('takes from a peer what the store does not tell, and goes on from there', async () => {
    const peer = setUp()
    peer.store.put(TABLE, 'a', '1')
    await peer.clock.advance(1_000)
    const cut = setUp((_, after) => Promise.resolve(peer.mirror.since(after)))
    cut.faults.isCut = true
    await cut.clock.advance(5_000)
    expect([...cut.seen]).toEqual([['a', '1']])
    expect(cut.mirror.since(0)?.version).toBe(peer.mirror.since(0)?.version)
  })

  it('gives a peer removals that it has not seen', async () => {
    const { clock, store, mirror } = setUp()
    store.put(TABLE, 'a', '1')
    await clock.advance(1_000)
    const known = mirror.since(0)?.version ?? 0
    store.remove(TABLE, 'a')
    await clock.advance(1_000)
    const page = mirror.since(known)
    expect(page?.isWhole).toBe(false)
    expect(page?.rows.map(row => [row.key, row.value])).toEqual([['a', undefined]])
  })

  it('goes on after rows that its listener cannot read', async () => {
    const { clock, store, seen, listenerFaults } = setUp()
    await clock.advance(1_000)
    store.put(TABLE, 'a', 'poison')
    await clock.advance(1_000)
    store.put(TABLE, 'b', '2')
    await clock.advance(1_000)
    expect(listenerFaults).toHaveLength(1)
    expect(seen.get('b')).toBe('2')
  })

  it('reads nothing while changes are not wanted, and the table whole when they are again', async () => {
    const { clock, store, seen, wanted } = setUp()
    store.put(TABLE, 'a', '1')
    await clock.advance(1_000)
    wanted.isWanted = false
    await clock.advance(1_000)
    store.put(TABLE, 'b', '2')
    store.remove(TABLE, 'a')
    await clock.advance(5_000)
    expect([...seen]).toEqual([['a', '1']])
    wanted.isWanted = true
    await clock.advance(1_000)
    expect([...seen]).toEqual([['b', '2']])
  })

  it('reads each partition once though changes were never wanted, also one known later', async () => {
    const { clock, store, seen, wanted } = setUp()
    wanted.isWanted = false
    wanted.partitions = []
    await clock.advance(1_000)
    // What an earlier incarnation left in a budget is seen only here, and freed by nobody else.
    store.put(TABLE, 'a', '1', 'budget')
    wanted.partitions = ['budget']
    await clock.advance(1_000)
    expect([...seen]).toEqual([['a', '1']])
  })
})
