import { describe, expect, it } from 'vitest'
import {
  StoreClock,
  VERSION_PARTITION,
  VERSION_TABLE,
  VersionRecorder,
} from '@rackwalk/coordination'
import type { WrittenRecord } from '@rackwalk/coordination'
import type { ServiceHistory } from '@rackwalk/decisions'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/** The software versions of services are recorded at changes, by one instance mostly, and read by those that start. */

const SERVICE = 'models'

/** Most reads for resumed streams at one instance, and at all together. */
const MOST_READS_A_SECOND = 40
const MOST_READS_OF_A_FLEET = 2_000

type Faults = ReturnType<MemoryRowStore['connect']>['faults']

function setUp() {
  const clock = new VirtualClock()
  const store = new MemoryRowStore(clock)
  const listed = new Set<SoftwareVersion>()
  const unlisted = new Map<SoftwareVersion, number>()
  let calls = 0
  let reads = 0
  let isGossipLost = false
  const recorders: VersionRecorder[] = []
  const gossip = (record: WrittenRecord) => {
    if (!isGossipLost) for (const recorder of recorders) recorder.noteWritten(record)
  }
  const loseGossip = () => (isGossipLost = true)
  const startInstance = (rank: number, initialFaults: Partial<Faults> = {}) => {
    const { store: client, faults } = store.connect()
    Object.assign(faults, initialFaults)
    const told: (readonly ServiceHistory[])[] = []
    const malformed: string[] = []
    const recorder = new VersionRecorder({
      store: {
        ...client,
        readPartition: (...address) => {
          reads += 1
          return client.readPartition(...address)
        },
        readChanges: (...address) => client.readChanges(...address),
        close: () => client.close(),
        write: transaction => {
          calls += 1
          return client.write(transaction)
        },
      },
      storeClock: new StoreClock(clock),
      clock,
      services: () => (listed.size + unlisted.size > 0 ? [SERVICE] : []),
      versionsOf: () => ({
        listed: [...listed],
        unlisted,
        knownForMilliseconds: RESUMPTION_WINDOW_MILLISECONDS,
      }),
      isListFresh: () => true,
      rank: () => rank,
      instanceCount: () => recorders.length,
      onHistory: histories => told.push(histories),
      recordsOfPeers: () => Promise.resolve(recorders[0]?.knownRecords ?? []),
      onWritten: gossip,
      onMalformedRow: ({ key }) => malformed.push(key),
    })
    recorders.push(recorder)
    recorder.start()
    return { recorder, told, malformed, faults }
  }
  const row = () => {
    const outcome = store.read(VERSION_TABLE, VERSION_PARTITION)
    return outcome.kind === 'rows' ? outcome.rows[0]?.value : undefined
  }
  const put = (value: string) => store.put(VERSION_TABLE, SERVICE, value)
  const list = (version: string) => listed.add(asId(version))
  const drop = (version: string) => {
    listed.delete(asId(version))
    unlisted.set(asId(version), clock.monotonic())
  }
  const counts = { calls: () => calls, reads: () => reads }
  return { clock, startInstance, row, put, list, drop, loseGossip, ...counts }
}

async function startFleet(size: number, isGossipLost = false) {
  const fleet = setUp()
  if (isGossipLost) fleet.loseGossip()
  await fleet.clock.advance(50_000)
  const instances = Array.from({ length: size }, (_, rank) => fleet.startInstance(rank))
  fleet.list('v1')
  const noteChange = () => {
    for (const { recorder } of instances) recorder.noteChange()
  }
  await fleet.clock.advance(10_000)
  return { ...fleet, instances, noteChange }
}

describe('the recorder of software versions', () => {
  it.each([
    ['once, where the others hear of it', false, 1],
    ['three times at the most, where nobody hears of it', true, 3],
  ])('writes each change of a release %s', async (_, isGossipLost, most) => {
    const fleet = await startFleet(12, isGossipLost)
    const { clock, list, drop, row, calls, noteChange } = fleet
    const rows = [row()]
    const changes = [() => list('v2'), () => drop('v1')]
    const counts = [calls()]
    for (const change of changes) {
      change()
      noteChange()
      await clock.advance(10_000)
      rows.push(row())
      counts.push(calls())
    }
    expect(rows).toEqual([
      '{"knownSince":72055,"versions":[{"softwareVersion":"v1"}]}',
      '{"knownSince":72055,"versions":[{"softwareVersion":"v1"},{"softwareVersion":"v2"}]}',
      '{"knownSince":72055,"versions":[{"softwareVersion":"v2"},{"softwareVersion":"v1","unlistedAt":120000}]}',
    ])
    expect(counts).toEqual([most, 2 * most, 3 * most])
  })

  it('calls the store for nothing but its read while no version changes', async () => {
    const { clock, calls, noteChange } = await startFleet(12)
    const before = calls()
    for (let round = 0; round < 20; round += 1) {
      noteChange()
      await clock.advance(10_000)
    }
    expect(calls()).toBe(before)
  })

  it.each([1, 8, 75, 360])(
    'calls the store next to never, and shares reads between resumed streams, with %i instances',
    async size => {
      const fleet = await startFleet(size)
      const { clock, instances, list, drop, calls, reads, noteChange } = fleet
      let [before, readsBefore] = [calls(), reads()]
      const callsSince = () => {
        const since = { writes: calls() - before, reads: reads() - readsBefore }
        before = calls()
        readsBefore = reads()
        return since
      }
      await clock.advance(600_000)
      const calm = callsSince()
      list('v2')
      noteChange()
      await clock.advance(30_000)
      drop('v1')
      noteChange()
      await clock.advance(30_000)
      const release = callsSince()
      const waits: Promise<unknown>[] = []
      for (let stream = 0; stream < 1_000; stream += 1) {
        const { recorder } = instances[0] ?? {}
        if (recorder !== undefined) waits.push(recorder.readRecords())
        await clock.advance(10)
      }
      await clock.advance(1_000)
      await Promise.all(waits)
      const { writes, reads: resumed } = callsSince()
      expect({ calm, release }).toEqual({
        calm: { writes: 0, reads: 0 },
        release: { writes: 2, reads: 0 },
      })
      expect(writes).toBe(0)
      const seconds = 10
      const mostASecond = Math.min(MOST_READS_A_SECOND, MOST_READS_OF_A_FLEET / size)
      // The first stream finds no earlier read, and the last one waits for one more.
      expect(resumed - 2).toBeLessThanOrEqual(seconds * mostASecond)
    },
  )

  it('tells an instance that starts what is recorded, a version that may have left unseen as listed until now', async () => {
    const { clock, startInstance, put } = setUp()
    await clock.advance(50_000)
    const versions = [{ softwareVersion: 'v1' }, { softwareVersion: 'v0', unlistedAt: 95_000 }]
    put(JSON.stringify({ knownSince: 20_000, versions, ofALaterRelease: true }))
    const { told } = startInstance(5)
    await clock.advance(10)
    expect(told).toEqual([
      [
        {
          service: SERVICE,
          knownForMilliseconds: 80_000,
          versions: [
            { softwareVersion: 'v1', seenAgoMilliseconds: 0 },
            { softwareVersion: 'v0', seenAgoMilliseconds: 2_000 },
          ],
        },
      ],
    ])
  })

  it('takes a malformed record for one that tells nothing, and replaces it', async () => {
    const texts = ['', '{', '[]', '{"versions":[]}', '{"knownSince":"0","versions":[]}']
    const deep = ['{"knownSince":1e999,"versions":[]}', '{"knownSince":0,"versions":[{}]}']
    for (const text of [...texts, ...deep]) {
      const { clock, startInstance, put, list, row } = setUp()
      await clock.advance(50_000)
      put(text)
      list('v2')
      const { told, malformed } = startInstance(0)
      await clock.advance(10_000)
      expect(told).toEqual([[{ service: SERVICE, knownForMilliseconds: 0, versions: [] }]])
      expect(malformed).toEqual([SERVICE])
      expect(JSON.parse(row() ?? '')).toMatchObject({ versions: [{ softwareVersion: 'v2' }] })
    }
  })

  it('reads for a stream only after it was asked, once for all streams that wait', async () => {
    const { clock, startInstance, put, reads } = setUp()
    await clock.advance(50_000)
    const { recorder } = startInstance(5)
    await clock.advance(100)
    const before = reads()
    const seen = async () => (await recorder.readRecords())?.get(SERVICE)?.versions.length ?? 0
    const first = seen()
    await clock.advance(0)
    put(JSON.stringify({ knownSince: 0, versions: [{ softwareVersion: 'v1' }] }))
    const others = [seen(), seen(), seen()]
    await clock.advance(100)
    // A read that is under way does not count for a stream that comes meanwhile.
    expect(await Promise.all([first, ...others])).toEqual([0, 1, 1, 1])
    expect(reads() - before).toBe(2)
  })

  it('tells that a store that does not answer was not read', async () => {
    const { clock, startInstance } = setUp()
    const { recorder, faults, told } = startInstance(0, { isCut: true })
    const read = recorder.readRecords()
    await clock.advance(5_000)
    expect([await read, told]).toEqual([undefined, []])
    faults.isCut = false
    await clock.advance(30_000)
    expect(told).toEqual([[]])
  })

  it('knows a version as recorded when its write is done, there and at instances that are told', async () => {
    const { clock, startInstance, list } = setUp()
    await clock.advance(50_000)
    const [writing, told] = [startInstance(0), startInstance(7)]
    await clock.advance(100)
    const recorded = () => {
      return [writing, told].map(({ recorder }) => recorder.recordedVersions(SERVICE))
    }
    list('v1')
    for (const { recorder } of [writing, told]) recorder.noteChange()
    expect(recorded()).toEqual([[], []])
    await clock.advance(5_000)
    expect(recorded()).toEqual([['v1'], ['v1']])
    list('v2')
    for (const { recorder } of [writing, told]) recorder.noteChange()
    expect(recorded()).toEqual([['v1'], ['v1']])
    await clock.advance(100)
    expect(recorded()).toEqual([
      ['v1', 'v2'],
      ['v1', 'v2'],
    ])
  })

  it('learns from another instance which versions are recorded if it starts while the store is silent', async () => {
    const { clock, startInstance, list } = setUp()
    await clock.advance(50_000)
    startInstance(0)
    list('v1')
    await clock.advance(5_000)
    const { recorder, told } = startInstance(7, { isCut: true })
    expect(recorder.recordedVersions(SERVICE)).toEqual([])
    await clock.advance(5_000)
    expect([recorder.recordedVersions(SERVICE), told]).toEqual([['v1'], []])
  })

  it('learns of a change that nobody told it by a read, without a write', async () => {
    const { clock, startInstance, list, loseGossip, calls } = setUp()
    await clock.advance(50_000)
    loseGossip()
    const [, untold] = [startInstance(0), startInstance(7)]
    list('v1')
    await clock.advance(4_000)
    expect([untold.recorder.recordedVersions(SERVICE), calls()]).toEqual([[], 1])
    await clock.advance(10_000)
    expect([untold.recorder.recordedVersions(SERVICE), calls()]).toEqual([['v1'], 1])
  })

  it('tells the others what it finds written, since they may have missed it as well', async () => {
    const { clock, startInstance, list, put } = setUp()
    await clock.advance(50_000)
    const [, writer, other] = [startInstance(5), startInstance(1), startInstance(7)]
    list('v1')
    await clock.advance(2_500)
    put(JSON.stringify({ knownSince: 0, versions: [{ softwareVersion: 'v1' }] }))
    await clock.advance(1_000)
    const known = [writer, other].map(({ recorder }) => recorder.recordedVersions(SERVICE))
    expect(known).toEqual([['v1'], ['v1']])
  })

  it('writes a change at once where a stream waits for it, whosever turn it is', async () => {
    const { clock, startInstance, list } = setUp()
    await clock.advance(50_000)
    const { recorder } = startInstance(7)
    await clock.advance(100)
    list('v1')
    let isOver = false
    void recorder.untilRecordChanges(SERVICE, 100).then(() => (isOver = true))
    await clock.advance(50)
    expect([isOver, recorder.recordedVersions(SERVICE)]).toEqual([true, ['v1']])
  })

  it('does not go back to an older row that arrives late', async () => {
    const { clock, startInstance, list } = setUp()
    await clock.advance(50_000)
    list('v1')
    const { recorder } = startInstance(0)
    await clock.advance(5_000)
    recorder.noteWritten({ service: SERVICE, version: 0, value: '{"knownSince":0,"versions":[]}' })
    recorder.noteWritten({ service: SERVICE, version: 1_000, value: 'malformed' })
    expect(recorder.recordedVersions(SERVICE)).toEqual(['v1'])
  })

  it('writes a change that could not be written as soon as the store takes it', async () => {
    const { clock, startInstance, list, row } = setUp()
    await clock.advance(50_000)
    const { faults, recorder } = startInstance(0)
    await clock.advance(100)
    faults.isThrottled = true
    list('v1')
    recorder.noteChange()
    await clock.advance(10_000)
    expect(row()).toBeUndefined()
    faults.isThrottled = false
    await clock.advance(30_000)
    expect(JSON.parse(row() ?? '')).toMatchObject({ versions: [{ softwareVersion: 'v1' }] })
  })
})
