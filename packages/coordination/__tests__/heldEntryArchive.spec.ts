import { describe, expect, it } from 'vitest'
import {
  HeldEntryArchive,
  IncarnationRegistry,
  MemoryCounters,
  Sealer,
  tableKeys,
} from '@rackwalk/coordination'
import type { HeldEntry, PeerChannel } from '@rackwalk/coordination'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { BudgetId, IncarnationId, TransferId } from '@rackwalk/shared'
import { MemoryObjects, MemoryTable } from '@rackwalk/stand-ins'

/** Entries that wait for the table and whose holders all crash. */

const WRITER = asId<IncarnationId>('writer')
const SEALER = asId<IncarnationId>('sealer')
const UNREACHABLE: PeerChannel = {
  call: () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable)),
}

/** An object store that can be made unavailable. */
class FailingObjects extends MemoryObjects {
  isLost = false

  override async put(key: string, body: Buffer): Promise<void> {
    if (this.isLost) throw new RackwalkError(ResultCode.PlatformUnavailable)
    return super.put(key, body)
  }

  override async list(prefix: string, limit: number, after?: string) {
    if (this.isLost) throw new RackwalkError(ResultCode.PlatformUnavailable)
    return super.list(prefix, limit, after)
  }
}

function items(first: number, count: number): readonly HeldEntry[] {
  return Array.from({ length: count }, (_, offset) => ({
    index: first + offset,
    entry: {
      kind: 'lend',
      budgetId: asId<BudgetId>('budget'),
      transferId: asId<TransferId>(`transfer-${first + offset}`),
      borrower: SEALER,
      tokens: 10,
    },
  }))
}

function setUp() {
  const clock = new VirtualClock()
  const objects = new FailingObjects()
  const counters = new MemoryCounters()
  return { clock, objects, counters, archive: new HeldEntryArchive({ objects, clock, counters }) }
}

describe('entries held for a writer', () => {
  it('are read back in order, whatever others wrote', async () => {
    const { archive } = setUp()
    await archive.write(WRITER, items(9, 2))
    await archive.write(WRITER, items(11, 1))
    await archive.write(SEALER, items(1, 1))
    expect((await archive.read(WRITER)).map(({ index }) => index)).toEqual([9, 10, 11])
    expect(await archive.read(WRITER)).toEqual(items(9, 3))
  })

  it('do not wait for an object store that has just failed', async () => {
    const { archive, objects, counters, clock } = setUp()
    objects.isLost = true
    await archive.write(WRITER, items(1, 1))
    objects.isLost = false
    await archive.write(WRITER, items(2, 1))
    expect([objects.writes, counters.get('held_objects_failed')]).toEqual([0, 1])
    await clock.advance(5_000)
    await archive.write(WRITER, items(3, 1))
    expect([objects.writes, counters.get('held_objects_written')]).toEqual([1, 1])
  })

  it("are written to a terminated writer's journal once the object store returns them", async () => {
    const { archive, objects, counters } = setUp()
    const table = new MemoryTable()
    const random = new SeededRandom(1)
    const registry = new IncarnationRegistry(table, random)
    const record = {
      instanceId: asId<never>('instance'),
      incarnation: WRITER,
      region: asId<never>('region'),
      failureDomain: asId<never>('domain'),
      peerAddress: '10.0.0.1:80',
    }
    await registry.register(record)
    await archive.write(WRITER, items(1, 2))
    const parts = { incarnation: SEALER, table, registry, peers: UNREACHABLE, random, counters }
    const sealer = new Sealer({ ...parts, archive, isConfirmedDead: () => true })
    objects.isLost = true
    expect(await sealer.seal(record)).toBe('retry')
    objects.isLost = false
    expect(await sealer.seal(record)).toBe('sealed')
    const [slot] = await table.query(tableKeys.journalPartition(WRITER))
    expect(slot?.value).toMatchObject({ kind: 'seal', entries: items(1, 2) })
  })
})
