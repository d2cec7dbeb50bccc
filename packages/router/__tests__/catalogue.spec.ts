import { describe, expect, it } from 'vitest'
import type { Resource } from '@rackwalk/coordination'
import { Catalogue, hashApiKey } from '@rackwalk/router'

type JsonValue = Resource['spec']

/** One resource that cannot be read keeps no other one from being in force. */

const DEEP = JSON.parse('['.repeat(50_000) + ']'.repeat(50_000)) as JsonValue
const ODD: readonly JsonValue[] = [null, 7, 'text', true, [], DEEP, ['a']]
const NUMBERS: readonly JsonValue[] = [-1, -1e308, '5', null, [], {}]

const SOUND = {
  teams: { budget: 'b', keyHashes: [hashApiKey('key')], weight: 1 },
  endpoints: {
    ...{ kind: 'model', address: 'http://127.0.0.1:8000', models: ['m'], maximumInFlight: 64 },
    ...{ prefillTokensPerSecond: 8_000, checksOrders: true },
  },
  placements: {
    ...{ model: 'm', version: 'v1', adapters: [], replicas: 1 },
    ...{ maximumOutputTokens: 4_096, defaultOutputTokens: 1_024 },
  },
  'routing-policies': {
    ...{ model: 'm', policy: 'random', maximumQueue: 10, maximumQueueMilliseconds: 2_000 },
    retryShare: 0.1,
  },
} as const

type Kind = keyof typeof SOUND

function oddSpecs(kind: Kind): readonly JsonValue[] {
  const sound = SOUND[kind] as unknown as Readonly<Record<string, JsonValue>>
  const fields = Object.entries(sound).flatMap(([field, value]) => {
    const odd = typeof value === 'number' ? NUMBERS : [null, 7, {}, DEEP, '']
    return odd.map(replaced => ({ ...sound, [field]: replaced }))
  })
  return [...ODD, ...fields]
}

const ODD_ADDRESSES = [
  ...['http://127.0.0.1:99999', 'http://127.0.0.1:-1', 'http://', '127.0.0.1:80', 'ftp://a:80'],
  ...['http://a b:80', 'https://a:80', 'http://a:80x', `http://a:${'9'.repeat(40)}`],
]

const ODD_RESOURCES: readonly (readonly [Kind, JsonValue])[] = [
  ...(Object.keys(SOUND) as Kind[]).flatMap(kind =>
    oddSpecs(kind).map(spec => [kind, spec] as const),
  ),
  ...(['teams', 'endpoints', 'placements'] as const).map(kind => [kind, {}] as const),
  ...[0.5, 1e308, 0].flatMap(number => [
    ['endpoints', { ...SOUND.endpoints, maximumInFlight: number }] as const,
    ['placements', { ...SOUND.placements, maximumOutputTokens: number }] as const,
    [
      'routing-policies',
      { ...SOUND['routing-policies'], maximumQueueMilliseconds: number },
    ] as const,
  ]),
  ...ODD_ADDRESSES.map(address => ['endpoints', { ...SOUND.endpoints, address }] as const),
]

function resource(kind: string, name: string, spec: JsonValue): Resource {
  return { kind, metadata: { name, version: 1, labels: {}, createdAt: 0 }, spec }
}

function catalogueOf(odd: readonly (readonly [string, JsonValue])[]) {
  const malformed: string[] = []
  const of = (kind: string, name: string) =>
    resource(kind, name, SOUND[kind as Kind] as unknown as JsonValue)
  const resources = [
    ...Object.keys(SOUND).map(kind => of(kind, 'before')),
    ...odd.map(([kind, spec], index) => resource(kind, `odd-${index}`, spec)),
    ...Object.keys(SOUND).map(kind => of(kind, 'later')),
    resource('evacuations', 'zone-a', 7),
  ]
  const catalogue = new Catalogue(
    {
      isLoaded: true,
      list: kind => resources.filter(candidate => candidate.kind === kind),
      subscribe: () => () => {},
    },
    ({ metadata }) => malformed.push(metadata.name),
  )
  return { catalogue, malformed }
}

describe('a resource whose spec cannot be read', () => {
  it.each(ODD_RESOURCES.map((_, index) => index))('keeps no other one out: %i', index => {
    const { catalogue, malformed } = catalogueOf(ODD_RESOURCES.slice(index, index + 1))
    for (let turn = 0; turn < 2; turn += 1) {
      expect(catalogue.findTeamByKey('key')?.teamId).toBe('later')
      expect(catalogue.endpoints.map(({ endpointId }) => endpointId)).toEqual(['before', 'later'])
      expect(catalogue.placements).toHaveLength(2)
      expect(catalogue.models).toMatchObject([{ modelId: 'm', maximumOutputTokens: 4_096 }])
      expect(catalogue.policyFor('m').policy).toBe('random')
    }
    expect(malformed).toEqual(['odd-0'])
  })

  it('is in force where only its name counts', () => {
    const failureDomain = 'zone-a'
    const { catalogue } = catalogueOf([['endpoints', { ...SOUND.endpoints, failureDomain }]])
    expect(catalogue.endpoints.map(endpoint => catalogue.isEvacuated(endpoint))).toEqual([
      false,
      true,
      false,
    ])
  })

  it('is not one with fields of a newer release', () => {
    const kinds = Object.keys(SOUND) as Kind[]
    const { catalogue, malformed } = catalogueOf(
      kinds.map(kind => [kind, { ...SOUND[kind], newField: 1 } as unknown as JsonValue]),
    )
    expect(catalogue.endpoints).toHaveLength(3)
    expect(malformed).toEqual([])
  })
})
