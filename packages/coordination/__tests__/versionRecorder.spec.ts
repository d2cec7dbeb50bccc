import { describe, expect, it } from 'vitest'
import {
  StoreClock,
  VERSION_PARTITION,
  VERSION_TABLE,
  VersionRecorder,
} from '@rackwalk/coordination'
import type { ServiceHistory } from '@rackwalk/decisions'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/** The software versions of services are recorded at changes, by one instance mostly, and read by those that start. */

const SERVICE = 'models'

type Faults = ReturnType<MemoryRowStore['connect']>['faults']

function setUp() {
  const clock = new VirtualClock()
  const store = new MemoryRowStore(clock)
  const listed = new Set<SoftwareVersion>()
  const unlisted = new Map<SoftwareVersion, number>()
  let calls = 0
  const startInstance = (rank: number, initialFaults: Partial<Faults> = {}) => {
    const { store: client, faults } = store.connect()
    Object.assign(faults, initialFaults)
    const told: (readonly ServiceHistory[])[] = []
    const malformed: string[] = []
    const recorder = new VersionRecorder({
      store: {
        ...client,
        readPartition: (...address) => client.readPartition(...address),
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
      onHistory: histories => told.push(histories),
      onMalformedRow: ({ key }) => malformed.push(key),
    })
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
  return { clock, startInstance, row, put, list, drop, calls: () => calls }
}

async function startFleet(size: number) {
  const fleet = setUp()
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
  it('writes each change of a release once, and calls the store three times for it at the most', async () => {
    const { clock, list, drop, row, calls, noteChange } = await startFleet(12)
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
    expect(rows).toMatchInlineSnapshot(`
      [
        "{"knownSince":72055,"versions":[{"softwareVersion":"v1"}]}",
        "{"knownSince":72055,"versions":[{"softwareVersion":"v1"},{"softwareVersion":"v2"}]}",
        "{"knownSince":72055,"versions":[{"softwareVersion":"v2"},{"softwareVersion":"v1","unlistedAt":120000}]}",
      ]
    `)
    expect(counts).toEqual([3, 6, 9])
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

  it('lets a stream wait for its first read, but not for a store that is silent', async () => {
    const { clock, startInstance } = setUp()
    const { recorder, faults, told } = startInstance(0, { isCut: true })
    let waited = 0
    const wait = () => recorder.untilRead(200).then(() => (waited += 1))
    void wait()
    await clock.advance(199)
    expect([waited, told]).toEqual([0, []])
    await clock.advance(1)
    expect([waited, told]).toEqual([1, []])
    faults.isCut = false
    await clock.advance(5_000)
    expect(told).toEqual([[]])
    const answering = startInstance(0)
    void answering.recorder.untilRead(200).then(() => (waited += 1))
    await clock.advance(20)
    expect([waited, answering.told]).toEqual([2, [[]]])
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
