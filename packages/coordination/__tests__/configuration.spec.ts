import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { IncarnationId, TransactionId } from '@rackwalk/shared'
import type { TableService } from '@rackwalk/stores'
import { ConfigurationFollower, MemoryCounters, ResourceStore } from '@rackwalk/coordination'
import type { PeerChannel, ResourceWrite } from '@rackwalk/coordination'
import { MemoryTable } from '@rackwalk/stand-ins'

const KINDS = ['teams']
const PEER = asId<IncarnationId>('peer')

/** A table whose operations run when the scheduler decides, and of which some get no answer. */
function scheduledTable(table: MemoryTable, scheduler: fc.Scheduler, lost: () => boolean) {
  const step = () => scheduler.schedule(Promise.resolve())
  const scheduled: TableService = {
    get: async key => {
      await step()
      return table.get(key)
    },
    query: async (partition, range) => {
      await step()
      return table.query(partition, range)
    },
    transact: async (id, writes) => scheduled.transactMany([{ id, writes }]),
    transactMany: async parts => {
      await step()
      const result = await table.transactMany(parts)
      if (lost()) throw new RackwalkError(ResultCode.PlatformAmbiguous)
      return result
    },
  }
  return scheduled
}

function write(id: string, name: string, expected: ResourceWrite['expected']): ResourceWrite {
  return {
    writeId: asId<TransactionId>(id),
    operator: 'operator',
    kind: 'teams',
    name,
    expected,
    content: { spec: { by: id }, labels: {} },
  }
}

function createStore(table: TableService, seed = 1): ResourceStore {
  return new ResourceStore(table, new VirtualClock(), new SeededRandom(seed))
}

function createFollower(table: TableService, peers?: PeerChannel): ConfigurationFollower {
  const silent: PeerChannel = { call: () => Promise.reject(new Error('unreachable')) }
  return new ConfigurationFollower({
    table,
    peers: peers ?? silent,
    counters: new MemoryCounters(),
    kinds: KINDS,
    peersToAsk: () => [PEER],
  })
}

const brokenTable: TableService = {
  get: () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable)),
  query: () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable)),
  transact: () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable)),
  transactMany: () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable)),
}

describe('the configuration', () => {
  it('loses no update of racing operators, under thousands of interleavings', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), fc.integer(), async (scheduler, seed) => {
        const table = new MemoryTable()
        await createStore(table).write(write('first', 'shared', 'absent'))
        const random = new SeededRandom(seed)
        const lost = () => random.next() < 0.1
        const operators = [0, 1, 2].map(async number => {
          const store = createStore(scheduledTable(table, scheduler, lost), number + 2)
          return attemptWrite(store, write(`operator-${number}`, 'shared', 1))
        })
        await scheduler.waitFor(Promise.all(operators))
        const outcomes = await Promise.all(operators)
        const changes = await table.query('changes')
        // Exactly one of them saw version 1; a write that was reported as accepted is in the log.
        expect(changes).toHaveLength(2)
        expect(outcomes.filter(outcome => outcome === 'accepted').length).toBeLessThanOrEqual(1)
        expect(outcomes.every(outcome => outcome !== 'failed')).toBe(true)
      }),
      { numRuns: 2_000, seed: 7 },
    )
  })

  it('finds a write whose answer was lost, and accepts it once', async () => {
    const table = new MemoryTable()
    const store = createStore(table)
    const first = await store.write(write('again', 'a', undefined))
    const second = await store.write(write('again', 'a', undefined))
    expect(second).toEqual(first)
    expect(await store.findWrite(asId<TransactionId>('again'))).toEqual({ revision: 1 })
    expect(await store.findWrite(asId<TransactionId>('never'))).toBeUndefined()
  })

  it('answers a stale write with the current state', async () => {
    const store = createStore(new MemoryTable())
    await store.write(write('one', 'a', 'absent'))
    await store.write(write('two', 'a', 1))
    const stale = await store.write(write('three', 'a', 1))
    expect(stale).toMatchObject({ kind: 'conflict', current: { metadata: { version: 2 } } })
  })

  it('is taken from a peer when the table is down, also by an instance that just started', async () => {
    const table = new MemoryTable()
    const store = createStore(table)
    for (const name of ['a', 'b', 'c']) await store.write(write(name, name, 'absent'))
    const peer = createFollower(table)
    await peer.catchUp()
    const channel = {
      call: async (_: unknown, __: unknown, request: { revision: number }) =>
        peer.answerPeer(request),
    }
    const started = createFollower(brokenTable, channel as unknown as PeerChannel)
    await started.catchUp()
    expect(started.revision).toBe(3)
    expect(started.list('teams').map(({ metadata }) => metadata.name)).toEqual(['a', 'b', 'c'])
  })

  it('never returns to an older revision, whatever an outdated peer sends', async () => {
    const table = new MemoryTable()
    const store = createStore(table)
    const outdated = createFollower(table)
    await store.write(write('a', 'a', 'absent'))
    await outdated.catchUp()
    await store.write(write('b', 'a', 1))
    const current = createFollower(table)
    await current.catchUp()
    const seen: number[] = []
    current.subscribe(() => seen.push(current.revision))
    const old = outdated.answerPeer({ revision: 0 })
    const channel = { call: async () => ({ snapshot: { revision: 1, resources: [] }, ...old }) }
    const cutOff = createFollower(brokenTable, channel as unknown as PeerChannel)
    await cutOff.catchUp()
    expect(cutOff.revision).toBe(1)
    expect(current.revision).toBe(2)
    expect(seen).toEqual([])
  })

  it('delivers every change once and in order to a watcher that starts at a revision', async () => {
    const table = new MemoryTable()
    const store = createStore(table)
    const follower = createFollower(table)
    const seen: number[] = []
    let from = 0
    for (let round = 0; round < 20; round += 1) {
      await store.write(write(`write-${round}`, `name-${round % 3}`, undefined))
      await follower.catchUp()
      // A watcher that reconnects from time to time continues from its last revision.
      if (round % 3 !== 0) continue
      const changes = follower.changesSince(from) ?? []
      seen.push(...changes.map(change => change.revision))
      from = seen.at(-1) ?? from
    }
    seen.push(...(follower.changesSince(from) ?? []).map(change => change.revision))
    expect(seen).toEqual(Array.from({ length: 20 }, (_, index) => index + 1))
  })
})

async function attemptWrite(store: ResourceStore, request: ResourceWrite): Promise<string> {
  try {
    return (await store.write(request)).kind
  } catch (thrown) {
    const isUnknown =
      thrown instanceof RackwalkError && thrown.code === ResultCode.OutcomeOfWriteUnknown
    return isUnknown ? 'unknown' : 'failed'
  }
}

describe('a configuration that receives a malformed resource from a peer', () => {
  const TEAM = { kind: 'teams', metadata: { name: 'team', version: 1, labels: {}, createdAt: 0 } }
  const MALFORMED = { kind: 'teams' }
  const CHANGE = { revision: 2, kind: 'teams', name: 'team', operator: 'operator', at: 0 }

  it.each([
    ['a snapshot', { snapshot: { revision: 2, resources: [MALFORMED] } }],
    [
      'a change',
      { changes: [{ ...CHANGE, writeId: asId<TransactionId>('w'), resource: MALFORMED }] },
    ],
  ])('in %s stays unchanged', async (_, malformedReply) => {
    const replies: object[] = [{ snapshot: { revision: 1, resources: [{ ...TEAM, spec: {} }] } }]
    const peers: PeerChannel = { call: async () => (replies.shift() ?? {}) as never }
    const unavailable = () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable))
    const table: TableService = {
      get: unavailable,
      query: unavailable,
      transact: unavailable,
      transactMany: unavailable,
    }
    const follower = createFollower(table, peers)
    await follower.catchUp()
    replies.push(malformedReply)
    await follower.catchUp()
    expect(follower.find('teams', 'team')?.metadata.version).toBe(1)
    expect(follower.revision).toBe(1)
  })
})
