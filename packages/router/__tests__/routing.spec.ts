import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointId, ModelId } from '@rackwalk/shared'
import {
  EventSplitter,
  PREFIX_BLOCK_BYTES,
  PREFIX_BLOCK_TOKENS,
  PrefixIndex,
  ROUTING_POLICY_NAMES,
  createRoutingPolicy,
  findUsage,
  parseChatRequest,
  planPlacements,
  prefixHashes,
} from '@rackwalk/router'
import type { EndpointView, ModelEndpointSpec, PlannerEndpoint } from '@rackwalk/router'

const ENDPOINT = asId<EndpointId>('engine')

function view(name: string, change: Partial<EndpointView> = {}): EndpointView {
  return {
    endpointId: asId<EndpointId>(name),
    inFlight: 0,
    maximumInFlight: 64,
    report: { running: 0, waiting: 0, cacheUse: 0, leaving: false, queuedPromptTokens: 0 },
    reportAgeMilliseconds: 0,
    sentSinceReport: 0,
    promptTokensSinceReport: 0,
    prefillTokensPerSecond: 10_000,
    cachedTokens: 0,
    ...change,
  }
}

describe('routing policies', () => {
  const demand = { promptTokens: 1_000, instances: 8 }

  it.each(ROUTING_POLICY_NAMES)('%s chooses a candidate, and nothing from nothing', name => {
    const policy = createRoutingPolicy(name)
    const random = new SeededRandom(1)
    const views = [view('a'), view('b'), view('c')]
    expect(policy.choose([], demand, random)).toBeUndefined()
    for (let round = 0; round < 30; round += 1) {
      const choice = policy.choose(views, demand, random)
      expect(views.map(({ endpointId }) => endpointId)).toContain(choice?.endpointId)
    }
  })

  it('goes where the prompt is cached, unless the queue there costs more than it saves', () => {
    const policy = createRoutingPolicy('expected-first-token')
    const random = new SeededRandom(1)
    const others = [view('a'), view('b'), view('c')]
    const cached = view('cached', { cachedTokens: 900 })
    expect(policy.choose([...others, cached], demand, random)?.endpointId).toBe('cached')
    const busy = view('cached', { cachedTokens: 900, promptTokensSinceReport: 5_000 })
    expect(policy.choose([...others, busy], demand, random)?.endpointId).not.toBe('cached')
  })

  it('decides the same from the same inputs', () => {
    const views = Array.from({ length: 40 }, (_, n) => view(`e${n}`, { inFlight: n % 7 }))
    const decide = () =>
      createRoutingPolicy('expected-first-token').choose(views, demand, new SeededRandom(9))
    expect(decide()).toEqual(decide())
  })
})

describe('PrefixIndex', () => {
  const prompt = Buffer.alloc(PREFIX_BLOCK_BYTES * 4, 'a')
  const hashes = prefixHashes(prompt)

  it('matches the longest common beginning only', () => {
    const index = new PrefixIndex(new VirtualClock())
    index.noteSent(ENDPOINT, hashes.slice(0, 2))
    expect(index.cachedTokens(ENDPOINT, hashes)).toBe(2 * PREFIX_BLOCK_TOKENS)
    const other = prefixHashes(Buffer.concat([Buffer.from('b'), prompt]))
    expect(index.cachedTokens(ENDPOINT, other)).toBe(0)
  })

  it('forgets everything of an endpoint when events were lost, and decays', async () => {
    const clock = new VirtualClock()
    const index = new PrefixIndex(clock)
    index.apply(ENDPOINT, [{ sequence: 1, kind: 'stored', hashes }])
    expect(index.apply(ENDPOINT, [{ sequence: 3, kind: 'stored', hashes: [] }])).toBe(true)
    expect(index.cachedTokens(ENDPOINT, hashes)).toBe(0)
    index.noteSent(ENDPOINT, hashes)
    await clock.advance(11 * 60_000)
    expect(index.cachedTokens(ENDPOINT, hashes)).toBe(0)
  })
})

describe('EventSplitter', () => {
  it('gives the same events however the stream is cut', () => {
    const text = 'data: {"a":1}\n\ndata: two\n\ndata: [DONE]\n\n'
    for (let size = 1; size <= text.length; size += 1) {
      const splitter = new EventSplitter()
      const events: string[] = []
      for (let start = 0; start < text.length; start += size) {
        const chunk = Buffer.from(text.slice(start, start + size))
        events.push(...splitter.split(chunk).map(String))
      }
      expect(events).toEqual(['data: {"a":1}\n\n', 'data: two\n\n', 'data: [DONE]\n\n'])
      expect(splitter.remainderBytes).toBe(0)
    }
  })
})

describe('what engines and callers send', () => {
  it('finds the usage report, and is not fooled by text that looks like one', () => {
    const usage = '"usage":{"prompt_tokens":3,"completion_tokens":4,"details":{"x":1}}'
    expect(findUsage(`{"choices":[],${usage}}`)).toEqual({ promptTokens: 3, generatedTokens: 4 })
    expect(findUsage('{"usage":null}')).toBeUndefined()
    const quoted = JSON.stringify({ content: `{${usage}}` })
    expect(findUsage(quoted)).toBeUndefined()
  })

  it('bounds the cost of a request by its bytes and the enforced output limit', () => {
    const limits = {
      modelId: asId<ModelId>('m'),
      maximumOutputTokens: 100,
      defaultOutputTokens: 10,
    }
    const parse = (extra: object) =>
      parseChatRequest(
        Buffer.from(
          JSON.stringify({
            model: 'm',
            messages: [{ role: 'user', content: 'ő'.repeat(50) }],
            ...extra,
          }),
        ),
        () => limits,
      )
    expect(parse({}).outputTokenLimit).toBe(10)
    expect(parse({ max_tokens: 5_000 }).outputTokenLimit).toBe(100)
    expect(parse({ max_completion_tokens: 7 }).body).toMatchObject({ max_tokens: 7 })
    expect(parse({}).promptTokenBound).toBeGreaterThan(100)
  })
})

describe('planPlacements', () => {
  const spec: ModelEndpointSpec = {
    kind: 'model',
    address: 'http://127.0.0.1:1',
    models: ['m'],
    maximumInFlight: 1,
    prefillTokensPerSecond: 1,
    checksOrders: true,
  }
  const placement = {
    model: 'm',
    version: '2',
    adapters: [],
    replicas: 2,
    maximumOutputTokens: 1,
    defaultOutputTokens: 1,
  }
  const endpoint = (
    name: string,
    loaded: Record<string, string> | undefined,
    change: Partial<ModelEndpointSpec> = {},
  ): PlannerEndpoint => ({
    endpointId: asId<EndpointId>(name),
    spec: { ...spec, ...change },
    loaded: loaded && new Map(Object.entries(loaded) as [ModelId, string][]),
    leaving: false,
  })

  it('loads what is missing, within what the weight store serves at once', () => {
    const endpoints = ['a', 'b', 'c'].map(name => endpoint(name, {}))
    const plan = planPlacements([placement], endpoints, { maximumLoads: 1 })
    expect(plan.map(({ endpointId, action }) => [endpointId, action])).toEqual([['a', 'load']])
  })

  it('orders nothing of an endpoint that has not reported or is leaving', () => {
    const silent = endpoint('a', undefined)
    const leaving = { ...endpoint('b', {}), leaving: true }
    expect(planPlacements([placement], [silent, leaving], { maximumLoads: 9 })).toEqual([])
  })

  it('tells only endpoints that check epochs to unload', () => {
    const full = ['a', 'b', 'c'].map(name => endpoint(name, { m: '2' }))
    const unchecked = ['a', 'b', 'c'].map(name =>
      endpoint(name, { m: '2' }, { checksOrders: false }),
    )
    const unload = planPlacements([placement], full, { maximumLoads: 9 })
    expect(unload.map(({ action }) => action)).toEqual(['unload'])
    expect(planPlacements([placement], unchecked, { maximumLoads: 9 })).toEqual([])
  })
})
