import { describe, expect, it } from 'vitest'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import type { StreamOrigin } from '@rackwalk/decisions'
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
  const origins = new StreamOrigins({
    clock,
    listedVersions: () => listed,
    isListFresh: () => isListFresh,
    replicateStreams: begun =>
      sent.push(...begun.map(({ key, origin }) => `${key} began at ${origin.softwareVersion}`)),
    broadcastVersions: versions =>
      sent.push(versions.map(({ softwareVersion }) => softwareVersion).join(' and ')),
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
  return { clock, origins, sent, asked, list, drop, find, cutOff }
}

function answer(origins: readonly string[], versions: readonly string[]): OriginAnswer {
  return { origins: origins.map(originOf), versions: versions.map(version => asId(version)) }
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
