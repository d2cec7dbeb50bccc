import { describe, expect, it } from 'vitest'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import type { ServiceHistory, StreamOrigin } from '@rackwalk/decisions'
import { StreamOriginCache, StreamOrigins } from '@rackwalk/router'
import type { StartedStream, OriginAnswer } from '@rackwalk/router'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { SoftwareVersion, StreamKey } from '@rackwalk/shared'

/** What one instance remembers of streams, what it sends to others, and whom it asks. */

const SERVICE = 'models'
const KEY = asId<StreamKey>('stream')
const OTHER = asId<StreamKey>('of-another-instance')
const LATER = asId<StreamKey>('later')
const LIFETIME = 5_000

function originOf(version: string): StreamOrigin {
  return { service: SERVICE, softwareVersion: asId<SoftwareVersion>(version) }
}

function begunAt(version: string, key = KEY): StartedStream {
  return { key, origin: originOf(version), lifetimeMilliseconds: LIFETIME }
}

function setUp(answers: readonly OriginAnswer[] = []) {
  const clock = new VirtualClock()
  const listed = new Set<SoftwareVersion>()
  const sent: string[] = []
  const asked: string[] = []
  let isListFresh = true
  let isFleetNew = true
  let isStoreSilent = false
  /** The record of the service in the store, with the time at which it was written. */
  let record: { readonly history: ServiceHistory; readonly at: number } | undefined
  const reads: string[] = []
  let onRead = () => {}
  const origins = new StreamOrigins({
    clock,
    listedVersions: () => listed,
    isListFresh: () => isListFresh,
    replicateStreams: begun =>
      sent.push(...begun.map(({ key, origin }) => `${key} began at ${origin.softwareVersion}`)),
    broadcastVersions: versions =>
      sent.push(versions.map(({ softwareVersion }) => softwareVersion).join(' and ')),
    listAge: () => (isListFresh ? 0 : Number.POSITIVE_INFINITY),
    readRecord: async service => {
      reads.push(service)
      await Promise.resolve()
      onRead()
      if (isStoreSilent) return undefined
      const history = record && aged(record.history, clock.monotonic() - record.at)
      return { reader: 'this-instance', history }
    },
    recordedVersions: () =>
      record?.history.versions.map(({ softwareVersion }) => softwareVersion) ?? [],
    untilRecordChanges: () => Promise.resolve(false),
    isFleetNew: () => isFleetNew,
    ask: async ({ key }) => {
      asked.push(key ?? 'unnamed')
      return Promise.resolve(answers)
    },
  })
  const list = (version: string) => {
    origins.noteListed(originOf(version))
    listed.add(asId(version))
  }
  const drop = (version: string) => {
    listed.delete(asId(version))
    origins.noteUnlisted(originOf(version))
  }
  const find = async (key: StreamKey | undefined) => {
    const { origin, source } = await origins.find({ key, service: SERVICE })
    return `${origin?.softwareVersion ?? 'nowhere'} (${source})`
  }
  const cutOff = () => {
    isListFresh = false
    isStoreSilent = true
  }
  const silenceStore = () => (isStoreSilent = true)
  const noteEarlierInstances = () => (isFleetNew = false)
  const write = (versions: Readonly<Record<string, number>>, knownForMilliseconds?: number) => {
    const [history] = recorded(versions, knownForMilliseconds)
    record = history && { history, at: clock.monotonic() }
  }
  const whileReading = (action: () => void) => (onRead = action)
  const toldBy = { clock, origins, sent, asked, reads, list, drop, find, write, whileReading }
  return { ...toldBy, cutOff, silenceStore, noteEarlierInstances }
}

/** What the record tells some time after it was written. */
function aged(history: ServiceHistory, milliseconds: number): ServiceHistory {
  const { service, knownForMilliseconds, versions } = history
  const recent = versions.flatMap(({ softwareVersion, seenAgoMilliseconds }) => {
    // A version that is still listed was seen just now.
    const ago = seenAgoMilliseconds === 0 ? 0 : seenAgoMilliseconds + milliseconds
    return ago > RESUMPTION_WINDOW_MILLISECONDS
      ? []
      : [{ softwareVersion, seenAgoMilliseconds: ago }]
  })
  return { service, knownForMilliseconds: knownForMilliseconds + milliseconds, versions: recent }
}

function answer(
  origins: readonly string[],
  versions: readonly string[],
  knownForMilliseconds = RESUMPTION_WINDOW_MILLISECONDS,
): OriginAnswer {
  return {
    origins: origins.map(originOf),
    versions: versions.map(version => asId(version)),
    knownForMilliseconds,
  }
}

/** What the store says of the service: each version with the time since it was last listed. */
function recorded(
  versions: Readonly<Record<string, number>>,
  knownForMilliseconds = RESUMPTION_WINDOW_MILLISECONDS,
): readonly ServiceHistory[] {
  const seen = Object.entries(versions).map(([version, seenAgoMilliseconds]) => {
    return { softwareVersion: asId<SoftwareVersion>(version), seenAgoMilliseconds }
  })
  return [{ service: SERVICE, knownForMilliseconds, versions: seen }]
}

describe('an instance', () => {
  it('sends and asks nothing while only one software version serves, and reads the record once for a stream', async () => {
    const { clock, origins, sent, asked, reads, list, find, write } = setUp()
    list('v1')
    write({ v1: 0 })
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS)
    origins.noteStarted(begunAt('v1'))
    expect(await find(KEY)).toBe('v1 (remembered)')
    expect(reads).toEqual([])
    expect(await find(OTHER)).toBe('v1 (only-version)')
    expect([sent, asked, reads]).toEqual([[], [], [SERVICE]])
  })

  it('replicates streams while the store is out of contact, and those that began before', () => {
    const { origins, sent, list } = setUp()
    list('v1')
    origins.noteStarted(begunAt('v1'))
    origins.noteStoreContact(false)
    origins.noteStarted(begunAt('v1', LATER))
    origins.noteStoreContact(true)
    origins.noteStarted(begunAt('v1', OTHER))
    expect(sent).toEqual(['stream began at v1', 'later began at v1'])
  })

  it('replicates each stream while several versions serve, and its own earlier ones when a second version appears', () => {
    const { origins, sent, list } = setUp()
    list('v1')
    origins.noteStarted(begunAt('v1'))
    list('v1.1')
    origins.noteStarted(begunAt('v1.1', LATER))
    expect(sent).toEqual(['stream began at v1', 'v1 and v1.1', 'later began at v1.1'])
  })

  it('learns of a version from another instance before its row is read', () => {
    const { origins, sent, list } = setUp()
    list('v1')
    origins.noteStarted(begunAt('v1'))
    origins.observe({ begun: [], versions: [originOf('v1'), originOf('v1.1')] })
    expect(sent).toEqual(['stream began at v1'])
    list('v1.1')
    expect(sent).toEqual(['stream began at v1'])
    expect(origins.versionsSnapshot).toEqual([originOf('v1'), originOf('v1.1')])
  })

  it('continues a replicated stream without asking', async () => {
    const { origins, asked, list, find } = setUp()
    list('v1')
    list('v1.1')
    origins.observe({ begun: [begunAt('v1.1')], versions: [] })
    expect(await find(KEY)).toBe('v1.1 (remembered)')
    expect(asked).toEqual([])
  })

  it('asks if it does not remember a stream, and refuses if no instance does', async () => {
    const knowing = setUp([answer([], ['v1', 'v1.1']), answer(['v1'], ['v1', 'v1.1'])])
    knowing.list('v1')
    knowing.list('v1.1')
    expect(await knowing.find(KEY)).toBe('v1 (remembered)')
    expect(knowing.reads).toEqual([])
    const unknowing = setUp([answer([], ['v1', 'v1.1'])])
    unknowing.list('v1')
    unknowing.silenceStore()
    expect(await unknowing.find(KEY)).toBe('nowhere (unknown)')
    const alone = setUp()
    alone.list('v1')
    alone.cutOff()
    expect(await alone.find(KEY)).toBe('nowhere (unread)')
  })

  it('asks others for a stream where the store is silent, although one version is known', async () => {
    const { list, find, silenceStore } = setUp([answer(['v1'], ['v1'])])
    list('v1')
    silenceStore()
    expect(await find(KEY)).toBe('v1 (remembered)')
  })

  it('continues nowhere if two instances report different origins', async () => {
    const { origins, list, find } = setUp()
    list('v1')
    list('v1.1')
    origins.noteStarted(begunAt('v1'))
    origins.observe({ begun: [begunAt('v1.1')], versions: [] })
    expect(await find(KEY)).toBe('nowhere (contradictory)')
  })

  it('counts a removed version for as long as its streams may be resumed', async () => {
    const { clock, list, drop, find, write } = setUp()
    list('v1')
    list('v1.1')
    await clock.advance(2 * RESUMPTION_WINDOW_MILLISECONDS)
    drop('v1')
    write({ v1: 1, 'v1.1': 0 })
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS + 1)
    expect(await find(KEY)).toBe('v1.1 (only-version)')
  })

  it('begins streams at a recorded version alone, also at the first version of a service', () => {
    const { origins, list, write } = setUp()
    const startable = () => ['v1', 'v2'].filter(version => origins.canBegin(originOf(version)))
    list('v1')
    const began = [startable()]
    list('v2')
    began.push(startable())
    write({ v1: 0 })
    began.push(startable())
    write({ v1: 0, v2: 0 })
    began.push(startable())
    expect(began).toEqual([[], [], ['v1'], ['v1', 'v2']])
  })
})

describe('an instance that has missed a software version', () => {
  it('does not resume a stream of that version at the only one that it lists', async () => {
    const { list, find, write } = setUp()
    list('v1')
    write({ v1: 0, v2: 0 })
    expect(await find(KEY)).toBe('nowhere (unknown)')
  })

  it('does not resume it there where peers have missed the version as well', async () => {
    const { list, find, cutOff } = setUp([answer([], ['v1']), answer([], ['v1'])])
    list('v1')
    cutOff()
    expect(await find(KEY)).toBe('nowhere (unread)')
  })

  it('does not resume it there although its list is within the staleness bound', async () => {
    const { list, find, silenceStore } = setUp()
    list('v1')
    silenceStore()
    expect(await find(KEY)).toBe('nowhere (unread)')
  })

  it('resumes it at that version once it has heard where it began, also while it reads the record', async () => {
    const { origins, list, find, write, whileReading } = setUp()
    list('v1')
    write({ v1: 0, v2: 0 })
    whileReading(() => origins.observe({ begun: [begunAt('v2')], versions: [] }))
    expect(await find(KEY)).toBe('v2 (remembered)')
  })

  it('does not vouch for the time in which it heard of no change', async () => {
    const { clock, origins, list } = setUp()
    const known = () => origins.answer({ key: KEY, service: SERVICE }).knownForMilliseconds
    list('v1')
    origins.restore(recorded({ v1: 0 }))
    origins.noteStoreContact(false)
    await clock.advance(5_000)
    expect(known()).toBe(RESUMPTION_WINDOW_MILLISECONDS)
    origins.noteStoreContact(true)
    await clock.advance(700)
    expect(known()).toBe(700)
    origins.restore(recorded({ v1: 0 }))
    expect(known()).toBe(RESUMPTION_WINDOW_MILLISECONDS)
  })
})

describe('an instance that starts where the older of two software versions has gone', () => {
  it('does not resume a stream of that version at the newer one where its peers are as new', async () => {
    const { list, find, asked, noteEarlierInstances } = setUp([answer([], ['v2'], 900)])
    list('v2')
    noteEarlierInstances()
    expect(await find(KEY)).toBe('nowhere (unproven)')
    expect(asked).toEqual(['stream'])
  })

  it('does not resume it at the newer one where no peer answers', async () => {
    const { clock, list, find, noteEarlierInstances, write } = setUp()
    list('v2')
    noteEarlierInstances()
    expect(await find(KEY)).toBe('nowhere (unproven)')
    write({ v2: 0 }, 0)
    expect(await find(KEY)).toBe('nowhere (unproven)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })

  it('does not resume it at the newer one where the store is silent and a peer answers', async () => {
    const knownFor = [0, 1_000, RESUMPTION_WINDOW_MILLISECONDS]
    for (const milliseconds of knownFor) {
      const { list, find, cutOff } = setUp([answer([], ['v2'], milliseconds)])
      list('v2')
      cutOff()
      expect(await find(KEY)).toBe('nowhere (unread)')
    }
  })

  it('does not resume it at the newer one if the record names the older one', async () => {
    const { clock, list, find, write } = setUp()
    list('v2')
    write({ v1: 1, v2: 0 })
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS + 1)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })

  it('counts the time since the older one was last listed', async () => {
    const { clock, origins, list, find, write } = setUp()
    list('v2')
    const versions = { v1: RESUMPTION_WINDOW_MILLISECONDS - 100, v2: 0 }
    write(versions)
    origins.restore(recorded(versions))
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(101)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })
})

describe('an instance that starts where one software version has served all the time', () => {
  it('resumes streams at once if the record says so, and asks nobody', async () => {
    const { list, find, write, asked, sent } = setUp()
    write({ v1: 0 })
    list('v1')
    expect(await find(KEY)).toBe('v1 (only-version)')
    expect([asked, sent]).toEqual([[], []])
  })

  it('resumes no stream of a service that has no record, although no instance ran before', async () => {
    const { list, find } = setUp()
    list('v1')
    expect(await find(KEY)).toBe('nowhere (unproven)')
  })

  it('does not take the word of peers if there is no record although instances ran before', async () => {
    const { list, find, noteEarlierInstances } = setUp([answer([], ['v1'])])
    list('v1')
    noteEarlierInstances()
    expect(await find(KEY)).toBe('nowhere (unproven)')
  })

  it('does not resume streams that began before the record did', async () => {
    const { clock, list, find, write } = setUp()
    write({ v1: 0 }, RESUMPTION_WINDOW_MILLISECONDS - 100)
    list('v1')
    expect(await find(KEY)).toBe('nowhere (unproven)')
    await clock.advance(100)
    expect(await find(KEY)).toBe('v1 (only-version)')
  })

  it('tells peers for how long the service is known', async () => {
    const { clock, origins, list } = setUp()
    const known = () => origins.answer({ key: KEY, service: SERVICE }).knownForMilliseconds
    list('v1')
    await clock.advance(700)
    expect(known()).toBe(700)
    origins.restore(recorded({ v1: 0 }, 8_000))
    expect(known()).toBe(8_000)
  })
})

describe('the cache of stream origins', () => {
  it('forgets a stream when its caller can no longer resume it', async () => {
    const clock = new VirtualClock()
    const cache = new StreamOriginCache(clock)
    cache.note(begunAt('v1'), true)
    await clock.advance(LIFETIME - 1)
    expect(cache.originsOf(KEY)).toEqual([originOf('v1')])
    await clock.advance(1)
    expect([cache.originsOf(KEY), cache.servedLocally(SERVICE)]).toEqual([[], []])
  })

  it('is bounded and drops the oldest streams', () => {
    const cache = new StreamOriginCache(new VirtualClock())
    for (let index = 0; index < 20_000; index += 1) {
      cache.note(begunAt('v1', asId<StreamKey>(`stream-${index}`)), index % 2 === 0)
    }
    expect(cache.size).toBe(16_384)
    expect(cache.originsOf(asId<StreamKey>('stream-0'))).toEqual([])
    expect(cache.originsOf(asId<StreamKey>('stream-19999'))).toEqual([originOf('v1')])
    expect(cache.servedLocally(SERVICE).length).toBe(8_192)
  })
})
