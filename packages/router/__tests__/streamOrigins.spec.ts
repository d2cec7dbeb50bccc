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
  let readHistory = () => {}
  const origins = new StreamOrigins({
    clock,
    listedVersions: () => listed,
    isListFresh: () => isListFresh,
    replicateStreams: begun =>
      sent.push(...begun.map(({ key, origin }) => `${key} began at ${origin.softwareVersion}`)),
    broadcastVersions: versions =>
      sent.push(versions.map(({ softwareVersion }) => softwareVersion).join(' and ')),
    untilHistoryRead: async () => Promise.resolve(readHistory()),
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
  const cutOff = () => (isListFresh = false)
  const noteEarlierInstances = () => (isFleetNew = false)
  const readLate = (history: readonly ServiceHistory[]) => {
    readHistory = () => origins.restore(history)
  }
  const toldBy = { clock, origins, sent, asked, list, drop, find }
  return { ...toldBy, cutOff, noteEarlierInstances, readLate }
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
  it('sends and asks nothing while only one software version serves', async () => {
    const { clock, origins, sent, asked, list, find } = setUp()
    list('v1')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS)
    origins.noteStarted(begunAt('v1'))
    expect(await find(KEY)).toBe('v1 (remembered)')
    expect(await find(OTHER)).toBe('v1 (only-version)')
    expect([sent, asked]).toEqual([[], []])
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
    const unknowing = setUp([answer([], ['v1', 'v1.1'])])
    unknowing.list('v1')
    expect(await unknowing.find(KEY)).toBe('nowhere (unknown)')
    const alone = setUp()
    alone.list('v1')
    alone.cutOff()
    expect(await alone.find(KEY)).toBe('nowhere (unknown)')
  })

  it('continues at the only version right after its start if the others know no other', async () => {
    const { asked, list, find } = setUp([answer([], ['v1'])])
    list('v1')
    expect([await find(KEY), await find(undefined)]).toEqual([
      'v1 (only-version)',
      'v1 (only-version)',
    ])
    expect(asked).toEqual(['stream', 'unnamed'])
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
    const { clock, list, drop, find } = setUp()
    list('v1')
    list('v1.1')
    await clock.advance(2 * RESUMPTION_WINDOW_MILLISECONDS)
    drop('v1')
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS + 1)
    expect(await find(KEY)).toBe('v1.1 (only-version)')
  })
})

describe('an instance that starts where the older of two software versions has gone', () => {
  it('does not resume a stream of that version at the newer one where its peers are as new', async () => {
    const { list, find, asked } = setUp([answer([], ['v2'], 900), answer([], ['v2'], 400)])
    list('v2')
    expect(await find(KEY)).toBe('nowhere (unproven)')
    expect(asked).toEqual(['stream'])
  })

  it('does not resume it at the newer one where no peer answers', async () => {
    const { clock, list, find } = setUp()
    list('v2')
    expect(await find(KEY)).toBe('nowhere (unproven)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })

  it('does not resume it at the newer one where the store is silent and one new peer answers', async () => {
    const { list, find, cutOff } = setUp([answer([], ['v2'], 1_000)])
    list('v2')
    cutOff()
    expect(await find(KEY)).toBe('nowhere (unproven)')
  })

  it('does not take the word of a peer that tells no time', async () => {
    const { list, find } = setUp([answer([], ['v2'], 0)])
    list('v2')
    expect(await find(KEY)).toBe('nowhere (unproven)')
  })

  it('does not resume it at the newer one if the record names the older one', async () => {
    const { clock, origins, list, find } = setUp()
    list('v2')
    origins.restore(recorded({ v1: 0, v2: 0 }))
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(RESUMPTION_WINDOW_MILLISECONDS + 1)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })

  it('counts the time since the older one was last listed', async () => {
    const { clock, origins, list, find } = setUp()
    list('v2')
    origins.restore(recorded({ v1: RESUMPTION_WINDOW_MILLISECONDS - 100, v2: 0 }))
    expect(await find(KEY)).toBe('nowhere (unknown)')
    await clock.advance(101)
    expect(await find(KEY)).toBe('v2 (only-version)')
  })
})

describe('an instance that starts where one software version has served all the time', () => {
  it('resumes streams at once if the record says so, and asks nobody', async () => {
    const { origins, list, find, asked, sent } = setUp()
    origins.restore(recorded({ v1: 0 }))
    list('v1')
    expect(await find(KEY)).toBe('v1 (only-version)')
    expect([asked, sent]).toEqual([[], []])
  })

  it('waits for the record with the first stream that needs it', async () => {
    const { list, find, readLate } = setUp()
    list('v1')
    readLate(recorded({ v1: 0 }))
    expect(await find(KEY)).toBe('v1 (only-version)')
  })

  it('resumes streams of a service that has no record if no instance ran before', async () => {
    const { origins, list, find } = setUp()
    origins.restore([])
    list('v1')
    expect(await find(KEY)).toBe('v1 (only-version)')
  })

  it('takes the word of peers alone if there is no record although instances ran before', async () => {
    const knowing = setUp([answer([], ['v1'])])
    const unknowing = setUp([answer([], ['v1'], 1_000)])
    for (const { origins, list, noteEarlierInstances } of [knowing, unknowing]) {
      origins.restore([])
      list('v1')
      noteEarlierInstances()
    }
    expect(await knowing.find(KEY)).toBe('v1 (only-version)')
    expect(await unknowing.find(KEY)).toBe('nowhere (unproven)')
  })

  it('does not resume streams that began before the record did', async () => {
    const { clock, origins, list, find } = setUp()
    origins.restore(recorded({ v1: 0 }, RESUMPTION_WINDOW_MILLISECONDS - 100))
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
