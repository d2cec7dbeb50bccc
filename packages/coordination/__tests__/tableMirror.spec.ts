import { describe, expect, it, vi } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import type { ChangedRow } from '@rackwalk/stores'
import { TableMirror } from '@rackwalk/coordination'
import type { MirrorListener, MirrorPage, UpstreamPeer } from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

const TABLE = 'things'

function setUp(
  askPeers?: (table: string, after: number) => Promise<MirrorPage | undefined>,
  upstreamPeer?: UpstreamPeer,
  clock = new VirtualClock(),
  store = new MemoryRowStore(clock),
  waitMilliseconds = 500,
  pauseMilliseconds = 20,
) {
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
  const listener: { -readonly [Name in keyof MirrorListener]: MirrorListener[Name] } = {
    onRows,
    onFault: error => faults.push(error),
  }
  const mirror = new TableMirror({
    store: client.store,
    table: TABLE,
    partitions: () => wanted.partitions,
    clock,
    listener,
    askPeers,
    upstreamPeer,
    waitMilliseconds,
    pauseMilliseconds: () => pauseMilliseconds,
    isWanted: () => wanted.isWanted,
  })
  mirror.start()
  const { faults: storeFaults } = client
  const listenerFaults = faults
  return {
    clock,
    store,
    client,
    faults: storeFaults,
    seen,
    mirror,
    listenerFaults,
    listener,
    wanted,
  }
}

describe('TableMirror', () => {
  // Without an immediate read, an instance that waits for an announced row would have to wait for
  // the end of the pause, or for the call after the one in flight.
  it('reads immediately on request, in a pause and during a call, and no more often', async () => {
    const clock = new VirtualClock()
    const store = new MemoryRowStore(clock)
    const { mirror, seen, client } = setUp(undefined, undefined, clock, store, 0, 700)
    await clock.advance(1_000)
    const calls = vi.spyOn(client.store, 'readChanges')
    store.put(TABLE, 'a', '1')
    mirror.requestRead()
    mirror.requestRead()
    await clock.advance(100)
    expect([...seen]).toEqual([['a', '1']])
    expect(calls.mock.calls.length).toBe(1)
    mirror.requestRead()
    await clock.advance(1)
    mirror.requestRead()
    await clock.advance(400)
    expect(calls.mock.calls.length).toBe(3)
  })

  // Otherwise each announced new instance would cause a call to a store that is already failing.
  it('ignores read requests while the store does not answer', async () => {
    const callsIn10Seconds = async (isHurried: boolean): Promise<number> => {
      const { clock, mirror, faults, client } = setUp()
      await clock.advance(1_000)
      faults.isCut = true
      await clock.advance(3_000)
      const calls = vi.spyOn(client.store, 'readChanges')
      for (let turn = 0; turn < 1_000; turn += 1) {
        if (isHurried) mirror.requestRead()
        await clock.advance(10)
      }
      return calls.mock.calls.length
    }
    const usual = await callsIn10Seconds(false)
    expect(usual).toBeGreaterThan(0)
    expect(await callsIn10Seconds(true)).toBe(usual)
  })

  it('has the rows from before its start, and every change since', async () => {
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

  it('reads the whole table again when the store dropped the changes that it lacks', async () => {
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

  it('gets rows from a peer while the store does not answer, and continues from there', async () => {
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

  it('continues after rows that its listener cannot read', async () => {
    const { clock, store, seen, listenerFaults } = setUp()
    await clock.advance(1_000)
    store.put(TABLE, 'a', 'poison')
    await clock.advance(1_000)
    store.put(TABLE, 'b', '2')
    await clock.advance(1_000)
    expect(listenerFaults).toHaveLength(1)
    expect(seen.get('b')).toBe('2')
  })

  // A row that could not be read kept the others of its page from the listener.
  it.each(['a page of changes', 'the whole table'])(
    'has the sound rows before and after one that its listener cannot read, in %s',
    async page => {
      const { clock, store, seen, faults, listenerFaults } = setUp()
      const isWhole = page === 'the whole table'
      if (!isWhole) await clock.advance(1_000)
      faults.isCut = true
      await clock.advance(3_000)
      const rows = [
        { key: 'a', value: '1' },
        { key: 'b', value: 'poison' },
        { key: 'c', value: '3' },
      ]
      for (const { key, value } of rows) store.put(TABLE, key, value)
      faults.isCut = false
      await clock.advance(3_000)
      expect([...seen]).toEqual([
        ['a', '1'],
        ['c', '3'],
      ])
      expect(listenerFaults.length).toBeGreaterThan(0)
    },
  )

  // A version that the store never reached was the position for good.
  it('reads the whole table again after a version that is larger than a later one', async () => {
    const { clock, store, seen, client } = setUp()
    await clock.advance(1_000)
    vi.spyOn(client.store, 'readChanges').mockImplementationOnce(async () => {
      store.put(TABLE, 'a', '1')
      return { kind: 'changes', rows: [], version: 2 ** 50, storeTime: 1 }
    })
    await clock.advance(3_000)
    expect([...seen]).toEqual([['a', '1']])
  })

  // A rejected query ended the loop, so that the table was never read again.
  it.each(['a query to the store', 'a query to a peer', 'its listener'])(
    'continues after a fault of %s',
    async source => {
      let isFaulty = false
      const throwIf = (name: string) => {
        if (isFaulty && source === name) throw new RangeError('port out of range')
      }
      const { clock, store, seen, faults, client, listenerFaults, listener } = setUp(async () => {
        throwIf('a query to a peer')
        return undefined
      })
      const readChanges = client.store.readChanges.bind(client.store)
      vi.spyOn(client.store, 'readChanges').mockImplementation(async (...query) => {
        throwIf('a query to the store')
        return readChanges(...query)
      })
      listener.onRead = () => throwIf('its listener')
      await clock.advance(1_000)
      isFaulty = true
      faults.isCut = source === 'a query to a peer'
      await clock.advance(5_000)
      expect(listenerFaults.length).toBeGreaterThan(0)
      expect(listenerFaults.length).toBeLessThan(50)
      isFaulty = false
      faults.isCut = false
      store.put(TABLE, 'a', '1')
      await clock.advance(3_000)
      expect([...seen]).toEqual([['a', '1']])
    },
  )

  it('reads nothing while changes are not wanted, and the whole table when they are again', async () => {
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
    // A holding that an earlier incarnation left in a budget is seen only by this read, and no
    // other instance frees it.
    store.put(TABLE, 'a', '1', 'budget')
    wanted.partitions = ['budget']
    await clock.advance(1_000)
    expect([...seen]).toEqual([['a', '1']])
  })
})

describe('a mirror with an upstream peer', () => {
  /**
   * A mirror that follows the store, and another one that asks the first mirror before the store.
   */
  async function setUpTwo() {
    const clock = new VirtualClock()
    const store = new MemoryRowStore(clock)
    // Endpoints and members change constantly, so no call waits for a change.
    const source = setUp(undefined, undefined, clock, store, 0)
    let isPreferred = true
    let asked = 0
    const upstreamPeer: UpstreamPeer = {
      isPreferred: () => isPreferred,
      ask: (_, after) => {
        asked += 1
        return Promise.resolve(source.mirror.since(after))
      },
      maximumAgeMilliseconds: 600,
    }
    const follower = setUp(undefined, upstreamPeer, clock, store, 0)
    source.store.put(TABLE, 'a', '1')
    await source.clock.advance(1_000)
    return { source, follower, asked: () => asked, prefer: (is: boolean) => (isPreferred = is) }
  }

  it('has each change without a call to the store', async () => {
    const { source, follower, asked } = await setUpTwo()
    follower.faults.isCut = true
    source.store.put(TABLE, 'b', '2')
    source.store.remove(TABLE, 'a')
    await source.clock.advance(700)
    expect([...follower.seen]).toEqual([
      ['a', undefined],
      ['b', '2'],
    ])
    expect(asked()).toBeGreaterThan(10)
    expect(follower.mirror.age).toBeLessThan(600)
  })

  it('asks the store if the peer has no recent enough page', async () => {
    const { source, follower } = await setUpTwo()
    source.faults.isCut = true
    await source.clock.advance(2_000)
    source.store.put(TABLE, 'b', '2')
    await source.clock.advance(600)
    expect(source.seen.get('b')).toBeUndefined()
    expect(follower.seen.get('b')).toBe('2')
  })

  it("is as stale as the peer's page, never fresher", async () => {
    const { source, follower } = await setUpTwo()
    follower.faults.isCut = true
    source.faults.isCut = true
    await source.clock.advance(3_000)
    expect(follower.mirror.age).toBeGreaterThan(2_000)
  })

  it('follows the store itself if the peer is not preferred', async () => {
    const { source, follower, asked, prefer } = await setUpTwo()
    prefer(false)
    await source.clock.advance(100)
    const before = asked()
    source.store.put(TABLE, 'b', '2')
    await source.clock.advance(700)
    expect([follower.seen.get('b'), asked()]).toEqual(['2', before])
  })

  // A standby instance sent requests to an endpoint that was gone, since its peer still sent the endpoint's row.
  it.each(['the store', 'a peer'])(
    'sends no row that was removed in a gap of the history and read whole from %s',
    async source => {
      const { source: first, follower } = await setUpTwo()
      const { store, clock } = first
      if (source === 'a peer') follower.faults.isCut = true
      first.faults.isCut = true
      await clock.advance(10)
      store.remove(TABLE, 'a')
      store.put(TABLE, 'b', '2')
      store.forgetHistory()
      first.faults.isCut = false
      await clock.advance(5_000)
      expect([...follower.seen].filter(([, value]) => value !== undefined)).toEqual([['b', '2']])
      for (const { mirror } of [first, follower]) {
        const page = mirror.since(0)
        expect(page?.isWhole).toBe(true)
        expect(page?.rows.map(({ key }) => key)).toEqual(['b'])
      }
    },
  )
})
