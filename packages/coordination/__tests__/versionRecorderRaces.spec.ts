import { describe, expect, it } from 'vitest'
import {
  StoreClock,
  VERSION_PARTITION,
  VERSION_TABLE,
  VersionRecorder,
} from '@rackwalk/coordination'
import type { WrittenRecord } from '@rackwalk/coordination'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/** Guards against records that lose a version that still serves, and against instances that learn of records late. */

const SERVICE = 'models'
const OTHER_SERVICE = 'pictures'

interface Listed {
  readonly listed: Set<SoftwareVersion>
  readonly unlisted: Map<SoftwareVersion, number>
}

/** Instances of which each lists its own versions and is told of records only where a test does so. */
class RecordingFleet {
  readonly clock = new VirtualClock()
  private readonly store = new MemoryRowStore(this.clock)

  async start(): Promise<void> {
    await this.clock.advance(50_000)
  }

  startInstance(rank: number, services = [SERVICE]) {
    const { clock } = this
    const { store, faults } = this.store.connect()
    const lists = new Map<string, Listed>(
      services.map(service => [service, { listed: new Set(), unlisted: new Map() }]),
    )
    const written: WrittenRecord[] = []
    const peers: { records: readonly WrittenRecord[] } = { records: [] }
    const recorder = new VersionRecorder({
      store,
      storeClock: new StoreClock(clock),
      clock,
      services: () => services,
      versionsOf: service => ({
        listed: [...(lists.get(service)?.listed ?? [])],
        unlisted: lists.get(service)?.unlisted ?? new Map(),
        knownForMilliseconds: RESUMPTION_WINDOW_MILLISECONDS,
      }),
      isListFresh: () => true,
      rank: () => rank,
      instanceCount: () => 1,
      onHistory: () => {},
      recordsOfPeers: () => Promise.resolve(peers.records),
      onWritten: record => written.push(record),
      onMalformedRow: () => {},
    })
    recorder.start()
    const list = (version: string, service = SERVICE) => {
      lists.get(service)?.listed.add(asId(version))
      lists.get(service)?.unlisted.delete(asId(version))
      recorder.noteChange()
    }
    const drop = (version: string, service = SERVICE) => {
      lists.get(service)?.listed.delete(asId(version))
      lists.get(service)?.unlisted.set(asId(version), clock.monotonic())
      recorder.noteChange()
    }
    return { recorder, faults, written, peers, list, drop }
  }

  /** The versions in the stored record of a service. */
  storedVersions(service = SERVICE): readonly string[] {
    const outcome = this.store.read(VERSION_TABLE, VERSION_PARTITION)
    const rows = outcome.kind === 'rows' ? outcome.rows : []
    const value = rows.find(({ key }) => key === service)?.value ?? '{"versions":[]}'
    const { versions } = JSON.parse(value) as {
      versions: { softwareVersion: string; unlistedAt?: number }[]
    }
    return versions.map(({ softwareVersion, unlistedAt }) => {
      return unlistedAt === undefined ? softwareVersion : `${softwareVersion} (left)`
    })
  }
}

describe('a record of software versions', () => {
  it('keeps a version that another instance recorded while this one wrote the record of another service', async () => {
    const fleet = new RecordingFleet()
    await fleet.start()
    const services = [SERVICE, OTHER_SERVICE]
    const [writing, other] = [fleet.startInstance(0, services), fleet.startInstance(7, services)]
    for (const service of services) writing.list('v1', service)
    await fleet.clock.advance(5_000)
    for (const record of writing.written) other.recorder.noteWritten(record)
    for (const service of services) other.list('v1', service)
    writing.faults.slowMilliseconds = 200
    for (const service of services) writing.list('v1.1', service)
    await fleet.clock.advance(100)
    other.list('v2', OTHER_SERVICE)
    void other.recorder.untilRecordChanges(OTHER_SERVICE, 100)
    await fleet.clock.advance(50)
    for (const record of other.written) writing.recorder.noteWritten(record)
    expect(other.recorder.recordedVersions(OTHER_SERVICE)).toContain('v2')
    await fleet.clock.advance(300)
    expect(fleet.storedVersions(OTHER_SERVICE)).toEqual(['v1', 'v1.1', 'v2 (left)'])
  })

  it('keeps a version that is listed again before a write that removes it takes effect', async () => {
    const fleet = new RecordingFleet()
    await fleet.start()
    const { faults, list, drop } = fleet.startInstance(0)
    for (const version of ['v1', 'v2']) list(version)
    await fleet.clock.advance(5_000)
    faults.lateMilliseconds = 4_000
    drop('v1')
    await fleet.clock.advance(2_500)
    faults.lateMilliseconds = 0
    list('v1')
    await fleet.clock.advance(60_000)
    expect(fleet.storedVersions()).toEqual(['v1', 'v2'])
  })
})

describe('an instance that starts while the store is silent', () => {
  it('learns the records from peers soon after it knows some, also while streams are resumed there', async () => {
    const fleet = new RecordingFleet()
    await fleet.start()
    const { written, list } = fleet.startInstance(0)
    list('v1')
    await fleet.clock.advance(5_000)
    const { recorder, faults, peers } = fleet.startInstance(7)
    faults.isCut = true
    for (let stream = 0; stream < 40; stream += 1) {
      void recorder.readRecords()
      await fleet.clock.advance(100)
    }
    peers.records = written
    await fleet.clock.advance(5_000)
    expect(recorder.recordedVersions(SERVICE)).toEqual(['v1'])
  })
})
