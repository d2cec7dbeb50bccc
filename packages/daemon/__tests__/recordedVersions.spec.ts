import { describe, expect, it } from 'vitest'
import { StoreClock } from '@rackwalk/coordination'
import type { MemberDirectory, MemberRow } from '@rackwalk/coordination'
import type { EndpointRecord } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { SoftwareVersion, StreamKey } from '@rackwalk/shared'
import { MemoryRowStore } from '@rackwalk/stand-ins'
import { StreamCoordinator } from '../src/gateway/streamCoordinator.js'
import type { StreamCoordinatorParts } from '../src/gateway/streamCoordinator.js'

/** Guards against streams that begin at a version which the record, read later, does not show. */

const SERVICE = 'models'

/** Instances that share a store and hear nothing of each other. */
class UnacquaintedFleet {
  readonly clock = new VirtualClock()
  private readonly store = new MemoryRowStore(this.clock)

  startInstance(name: string) {
    const { clock } = this
    const { store, faults } = this.store.connect()
    const listed = new Set<SoftwareVersion>()
    const self = { instance: name, peerAddress: '', loadAddress: '' } as MemberRow
    const parts = {
      clock,
      store,
      storeClock: new StoreClock(clock),
      members: { isInitialized: true, isFleetNew: true, self } as unknown as MemberDirectory,
      identity: { instance: name, incarnation: name },
      directory: () => ({ softwareVersions: () => listed }),
      fleet: () => ({ usingOthers: [], idleOthers: [], isSilent: () => false }),
      exchange: () => undefined,
      isListFresh: () => !faults.isCut,
      listAge: () => 0,
      isConfigured: () => true,
      telemetry: { noteMalformed: () => {}, noteMalformedRow: () => {} },
    } as unknown as StreamCoordinatorParts
    const coordinator = new StreamCoordinator(parts)
    coordinator.start()
    const { origins } = coordinator
    const noteChange = (version: string, change: 'listed' | 'gone') => {
      const record = { service: SERVICE, softwareVersion: asId(version) } as EndpointRecord
      coordinator.noteChange(record, change)
    }
    const list = (version: string) => {
      listed.add(asId(version))
      noteChange(version, 'listed')
    }
    const drop = (version: string) => {
      listed.delete(asId(version))
      noteChange(version, 'gone')
    }
    const cut = () => {
      faults.isCut = true
      coordinator.noteStoreContact(false)
    }
    const canBegin = (version: string) => {
      return origins.canBegin({ service: SERVICE, softwareVersion: asId(version) })
    }
    const resume = async () => {
      const key = asId<StreamKey>('begun-elsewhere')
      const found = origins.find({ key, service: SERVICE })
      await clock.advance(2_000)
      const { origin, source } = await found
      return `${origin?.softwareVersion ?? 'nowhere'} (${source})`
    }
    return { list, drop, cut, canBegin, resume }
  }
}

async function startTwo() {
  const fleet = new UnacquaintedFleet()
  const [first, second] = [fleet.startInstance('first'), fleet.startInstance('second')]
  await fleet.clock.advance(60_000)
  return { clock: fleet.clock, first, second }
}

describe('a stream of a service whose record is not written yet', () => {
  it('goes on at no other version at an instance that listed only that one', async () => {
    const { first, second } = await startTwo()
    first.list('v1')
    second.list('v2')
    const began = first.canBegin('v1')
    expect([began, await second.resume()]).not.toEqual([true, 'v2 (only-version)'])
  })

  it('goes on at no other version after that one alone was recorded', async () => {
    const { clock, first, second } = await startTwo()
    first.list('v1')
    const began = first.canBegin('v1')
    first.cut()
    second.list('v2')
    await clock.advance(5_000)
    expect([began, await second.resume()]).not.toEqual([true, 'v2 (only-version)'])
  })
})
