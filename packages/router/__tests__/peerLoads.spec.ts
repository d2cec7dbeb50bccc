import { describe, expect, it } from 'vitest'
import {
  UNKNOWN_SOFTWARE_VERSION,
  SystemRandom,
  VirtualClock,
  endpointStart,
} from '@rackwalk/shared'
import {
  LoadReporter,
  PeerLoads,
  PromptCaches,
  EndpointDirectory,
  snapshotEndpoint,
} from '@rackwalk/router'
import { rankEndpoints } from '@rackwalk/decisions'
import type { PeerLoadReport } from '@rackwalk/router'

const SERVER = {
  service: 'model',
  address: '127.0.0.1:1',
  failureDomain: 'hall-a',
  softwareVersion: UNKNOWN_SOFTWARE_VERSION,
  slots: 8,
  isLeaving: false,
  coldMilliseconds: 0,
}

const SELF = { instance: 'self', incarnation: 'first' }

const PARTS = [
  { id: 'system', tokens: 300 },
  { id: 'subject', tokens: 500 },
  { id: 'own', tokens: 100 },
]

function report(sequence: number, running: number, rest: Partial<PeerLoadReport> = {}) {
  const loads =
    running > 0 ? [{ endpoint: 's1', running, pendingTokens: running * 100, parts: [] }] : []
  return { instance: 'peer', incarnation: 'first', sequence, isWhole: false, loads, ...rest }
}

function directoryOf(...ids: string[]): EndpointDirectory {
  return directoryAt(new VirtualClock(), ...ids)
}

function directoryAt(clock: VirtualClock, ...ids: string[]): EndpointDirectory {
  const directory = new EndpointDirectory({
    clock,
    instances: () => 1,
    maximumConnections: () => 100,
    coldMilliseconds: () => 0,
    onChange: () => {},
  })
  for (const id of ids) directory.set({ ...SERVER, id, start: endpointStart(id, undefined) })
  return directory
}

describe('PeerLoads', () => {
  it('adds up the requests in progress of several instances', () => {
    const loads = new PeerLoads(new VirtualClock())
    loads.observe(report(1, 2))
    loads.observe({ ...report(1, 3), instance: 'other' })
    expect(loads.at('s1')).toEqual({ running: 5, pendingTokens: 500 })
    expect(loads.at('s2')).toEqual({ running: 0, pendingTokens: 0 })
  })

  it('drops a report that arrives out of order, and accepts one from a new run of the instance', () => {
    const loads = new PeerLoads(new VirtualClock())
    loads.observe(report(100, 4))
    loads.observe(report(99, 1))
    expect(loads.at('s1').running).toBe(4)
    loads.observe(report(1, 2, { incarnation: 'second' }))
    expect(loads.at('s1').running).toBe(2)
  })

  it('makes up for a lost report with the next full one', () => {
    const loads = new PeerLoads(new VirtualClock())
    loads.observe(report(1, 4))
    // The report that this request had ended was lost.
    loads.observe(report(3, 0, { isWhole: true }))
    expect(loads.at('s1')).toEqual({ running: 0, pendingTokens: 0 })
  })

  it('forgets a silent instance', async () => {
    const clock = new VirtualClock()
    const loads = new PeerLoads(clock)
    loads.observe(report(1, 4))
    await clock.advance(900)
    loads.expire(1_000)
    expect(loads.hasRecentReport('peer')).toBe(true)
    expect(loads.at('s1').running).toBe(4)
    await clock.advance(200)
    loads.expire(1_000)
    expect(loads.hasRecentReport('peer')).toBe(false)
    expect(loads.at('s1').running).toBe(0)
  })
})

describe('use of endpoints by an instance', () => {
  it('follows from the work that it reports, until some time after that has ended', async () => {
    const clock = new VirtualClock()
    const loads = new PeerLoads(clock)
    loads.observe(report(1, 0))
    expect(loads.isUsing('peer')).toBe(false)
    loads.observe(report(2, 3))
    await clock.advance(10_000)
    // A long answer is reported only once.
    expect(loads.isUsing('peer')).toBe(true)
    loads.observe(report(3, 0, { isWhole: true }))
    expect(loads.isUsing('peer')).toBe(false)
    loads.observe(report(4, 1))
    loads.observe(report(5, 0, { isWhole: true }))
    expect(loads.isUsing('peer')).toBe(true)
    await clock.advance(4_000)
    expect(loads.isUsing('peer')).toBe(false)
  })
})

describe('LoadReporter', () => {
  it('tells what changed, then that it ended, and nothing in between', () => {
    const directory = directoryOf('s1', 's2')
    const caches = new PromptCaches()
    const reporter = new LoadReporter(SELF, directory, caches, () => true)
    const [endpoint] = directory.available('model')
    if (endpoint === undefined) throw new Error('no endpoint')
    caches.noteSent('s1', PARTS, undefined)
    endpoint.running = 1
    endpoint.pendingTokens = 700
    const reported = [reporter.next(false), reporter.next(false)]
    endpoint.running = 0
    endpoint.pendingTokens = 0
    expect([
      ...reported,
      reporter.next(false),
      reporter.next(false),
      reporter.next(true),
    ]).toMatchSnapshot()
  })

  it('tells of no service that the others need not know of', () => {
    const directory = directoryOf('s1')
    const start = endpointStart('plain-1', undefined)
    directory.set({ ...SERVER, id: 'plain-1', start, service: 'plain' })
    for (const endpoint of [...directory.available('model'), ...directory.available('plain')]) {
      endpoint.running = 1
    }
    const isTold = (service: string) => service === 'model'
    const reporter = new LoadReporter(SELF, directory, new PromptCaches(), isTold)
    expect(reporter.next(false)?.loads.map(({ endpoint }) => endpoint)).toEqual(['s1'])
  })

  it('tells a newcomer everything at once, and what came later as a change', () => {
    const directory = directoryOf('s1', 's2')
    const reporter = new LoadReporter(SELF, directory, new PromptCaches(), () => true)
    const [first, second] = directory.available('model')
    if (first === undefined || second === undefined) throw new Error('no endpoint')
    first.running = 3
    const before = reporter.next(false)
    const whole = reporter.fullReport()
    expect(whole).toMatchObject({ isWhole: true, loads: [{ endpoint: 's1', running: 3 }] })
    expect(whole.sequence).toBeGreaterThan(before?.sequence ?? 0)
    second.running = 1
    expect(reporter.next(false)?.loads.map(({ endpoint }) => endpoint)).toEqual(['s2'])
  })

  it('gives signs of life that name one endpoint in use and put no whole report off', () => {
    const directory = directoryOf('s1', 's2')
    const reporter = new LoadReporter(SELF, directory, new PromptCaches(), () => true)
    for (const endpoint of directory.available('model')) endpoint.running = 1
    const wholes: number[] = []
    const named: number[] = []
    for (let turn = 1; turn <= 24; turn += 1) {
      const heartbeat = reporter.heartbeatReport()
      expect(heartbeat).toMatchObject({ isWhole: false, sequence: 2 * turn - 1 })
      named.push(heartbeat.loads.length)
      if (reporter.next(true)?.isWhole) wholes.push(turn)
    }
    expect(wholes).toEqual([12, 24])
    // Nothing was reported before the first report, and a heartbeat contains nothing that a report did not.
    expect(named).toEqual([0, ...Array.from({ length: 23 }, () => 1)])
  })

  it('lets two that know only of active instances learn of each other', () => {
    const loads = new PeerLoads(new VirtualClock())
    const directory = directoryOf('s1')
    const reporter = new LoadReporter(SELF, directory, new PromptCaches(), () => true)
    loads.observe(reporter.heartbeatReport())
    expect(loads.isUsing('self')).toBe(false)
    const [endpoint] = directory.available('model')
    if (endpoint !== undefined) endpoint.running = 1
    reporter.next(false)
    loads.observe(reporter.heartbeatReport())
    expect(loads.isUsing('self')).toBe(true)
  })
})

describe('PromptCaches', () => {
  it('counts the leading parts that an endpoint has cached, up to the first uncached one', () => {
    const caches = new PromptCaches()
    caches.note('s1', [{ id: 'system', tokens: 300 }], undefined)
    expect(caches.cachedTokens('s1', PARTS)).toBe(300)
    caches.note('s1', [{ id: 'own', tokens: 100 }], undefined)
    expect(caches.cachedTokens('s1', PARTS)).toBe(300)
    caches.note('s1', [{ id: 'subject', tokens: 500 }], undefined)
    expect(caches.cachedTokens('s1', PARTS)).toBe(900)
    expect(caches.cachedTokens('s2', PARTS)).toBe(0)
  })

  it('drops the least recently used part when an endpoint is full', () => {
    const caches = new PromptCaches()
    const capacity = 1_000
    caches.note('s1', [{ id: 'a', tokens: 300 }], capacity)
    caches.note('s1', [{ id: 'b', tokens: 200 }], capacity)
    caches.note('s1', [{ id: 'a', tokens: 300 }], capacity)
    caches.note('s1', [{ id: 'c', tokens: 200 }], capacity)
    const held = ['a', 'b', 'c'].filter(id => caches.cachedTokens('s1', [{ id, tokens: 1 }]) > 0)
    expect(held).toEqual(['a', 'c'])
  })
})

describe('the choice of an endpoint', () => {
  it('counts the requests of other instances', () => {
    const directory = directoryOf('s1', 's2')
    const peers = new PeerLoads(new VirtualClock())
    const fleet = {
      ofPeers: (endpoint: string) => peers.at(endpoint),
      recentTokens: () => 0,
      slowness: () => 1,
      isInSubset: () => true,
      uncachedTokens: () => 0,
    }
    const prompt = { tokens: undefined, promptParts: [] }
    const choose = () => {
      const available = directory.available('model')
      return rankEndpoints({
        open: available.map(endpoint => snapshotEndpoint(endpoint, fleet, prompt, 0)),
        serviceIds: available.map(({ record }) => record.id),
        sharedPartId: undefined,
        answerTokens: 0,
        pauseStretch: undefined,
        failureDomain: 'hall-a',
        chance: new SystemRandom().next(),
      })[0]?.id
    }
    // Guards against instances that each saw only a seventh of a long prompt queue.
    peers.observe(report(1, 5))
    expect(choose()).toBe('s2')
    peers.observe({ ...report(1, 9), instance: 'other', loads: [load('s2')] })
    expect(choose()).toBe('s1')
  })

  const FLEET = {
    ofPeers: () => ({ running: 0, pendingTokens: 0 }),
    recentTokens: () => 0,
    slowness: () => 1,
    isInSubset: () => true,
    uncachedTokens: () => 500,
  }
  const PROMPT = { tokens: { prompt: 500, maximumOutput: 100 }, promptParts: [] }
  const LOAD = { running: 1, waiting: 0, slots: 8 }

  function scoresAfter(clock: VirtualClock, directory: EndpointDirectory): readonly number[] {
    const available = directory.available('model')
    const ranked = rankEndpoints({
      open: available.map(endpoint => snapshotEndpoint(endpoint, FLEET, PROMPT, clock.monotonic())),
      serviceIds: available.map(({ record }) => record.id),
      sharedPartId: undefined,
      answerTokens: 100,
      pauseStretch: 0,
      failureDomain: 'hall-a',
      chance: 0,
    })
    return available.map(({ record }) => ranked.find(({ id }) => id === record.id)?.score ?? 0)
  }

  // Guards against a slow endpoint that is chosen like a fast one, and against one that is avoided for ever.
  it('avoids an endpoint that reports to be slow, until the report is old', async () => {
    const clock = new VirtualClock()
    const directory = directoryAt(clock, 's1', 's2')
    const [slow, usual] = directory.available('model')
    slow?.noteLoad({ ...LOAD, pace: 300 })
    usual?.noteLoad({ ...LOAD, pace: 100 })
    const [slowScore = 0, usualScore = 0] = scoresAfter(clock, directory)
    expect(slowScore).toBe(usualScore + 1_000)
    await clock.advance(10_000)
    const [laterScore = 0, laterUsualScore = 0] = scoresAfter(clock, directory)
    expect(laterScore - laterUsualScore).toBeLessThan(1)
  })

  // Guards against another choice among endpoints that report no pace.
  it('is the same for endpoints that report three figures or a normal pace', () => {
    const clock = new VirtualClock()
    const directory = directoryAt(clock, 's1', 's2')
    const [first, second] = directory.available('model')
    first?.noteLoad(LOAD)
    second?.noteLoad({ ...LOAD, pace: 100 })
    expect(first?.reportedSlowness).toBe(1)
    const [firstScore, secondScore] = scoresAfter(clock, directory)
    expect(firstScore).toBe(secondScore)
  })
})

function load(endpoint: string) {
  return { endpoint, running: 9, pendingTokens: 9_000, parts: [] }
}
