import { describe, expect, it } from 'vitest'
import {
  RESUMPTION_WINDOW_MILLISECONDS,
  MINIMUM_ORIGIN_REPLICAS,
  canBeginStream,
  hasMixedVersions,
  rankOriginReplicas,
  resolveResumption,
  resumptionDelay,
} from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'

/**
 * A stream that is resumed at another software version than the one that began it is corrupt. These tests check where a
 * stream is resumed, and which instances remember where it began.
 */

const V1 = asId<SoftwareVersion>('v1')
const V2 = asId<SoftwareVersion>('v2')

const ORIGINS = {
  'nobody remembers it': [],
  'all remember v1': [
    { service: 'models', softwareVersion: V1 },
    { service: 'models', softwareVersion: V1 },
  ],
  'two remember it differently': [
    { service: 'models', softwareVersion: V1 },
    { service: 'models', softwareVersion: V2 },
  ],
  'it began at another service of the route': [{ service: 'others', softwareVersion: V1 }],
}
const WINDOW = RESUMPTION_WINDOW_MILLISECONDS
const RECORDS = {
  'not read': undefined,
  empty: { versions: [], knownForMilliseconds: WINDOW },
  v1: { versions: [V1], knownForMilliseconds: WINDOW },
  'v1, incomplete': { versions: [V1], knownForMilliseconds: WINDOW - 1 },
  'v1 and v2': { versions: [V1, V2], knownForMilliseconds: WINDOW },
}
const VERSIONS = { none: [], 'v1 alone': [V1, V1], 'v2 alone': [V2], 'v1 and v2': [V1, V2] }

describe('a stream that its caller takes up', () => {
  it('goes on at the version that began it, or nowhere', () => {
    for (const [read, record] of Object.entries(RECORDS)) {
      const rows = Object.entries(ORIGINS).flatMap(([remembered, origins]) =>
        Object.entries(VERSIONS).map(([seen, versions]) => {
          const { origin, source } = resolveResumption('models', { origins, versions, record })
          const where = origin === undefined ? 'nowhere' : Object.values(origin).join(' ')
          return `${remembered}; seen: ${seen}: ${where} (${source})`
        }),
      )
      expect(rows).toMatchSnapshot(`the record is: ${read}`)
    }
  })

  it('is not resumed at the only version of a service whose record does not cover the time for which a caller may come back', () => {
    const record = { versions: [V2], knownForMilliseconds: WINDOW - 1 }
    const resumption = resolveResumption('models', { origins: [], versions: [V2], record })
    expect([resumption.origin, resumption.source]).toEqual([undefined, 'unproven'])
    expect(resumptionDelay(resumption, record)).toBe(1)
  })

  it('is not resumed at the only version that is known if the record was not read since the caller returned', () => {
    const knowledge = { origins: [], versions: [V1, V1], record: undefined }
    const resumption = resolveResumption('models', knowledge)
    expect([resumption.origin, resumption.source]).toEqual([undefined, 'unread'])
    expect(resumptionDelay(resumption, undefined)).toBeUndefined()
  })
})

describe('a stream that may be resumed', () => {
  it('begins only at a recorded version', () => {
    const recorded = { nothing: [], v1: [V1], 'v1 and v2': [V1, V2] }
    const rows = Object.entries(recorded).map(([record, versions]) => {
      const startable = [V1, V2].filter(version => canBeginStream(version, versions))
      return `${record} recorded: ${startable.join(' and ') || 'nowhere'}`
    })
    expect(rows).toMatchInlineSnapshot(`
      [
        "nothing recorded: nowhere",
        "v1 recorded: v1",
        "v1 and v2 recorded: v1 and v2",
      ]
    `)
  })

  it('is remembered by other instances while several versions serve', () => {
    const mixed = [[], [V1], [V1, V2]].map(versions => hasMixedVersions(versions))
    expect(mixed).toEqual([false, false, true])
  })
})

describe('the instances that remember where a stream began', () => {
  const fleet = Array.from({ length: 12 }, (_, index) => ({
    instance: `instance-${index}`,
    failureDomain: `domain-${index % 3}`,
  }))
  const replicasOf = (key: string, candidates = fleet) =>
    rankOriginReplicas(key, candidates)
      .slice(0, MINIMUM_ORIGIN_REPLICAS)
      .map(({ instance }) => instance)

  it('are found by any instance without asking the one that served the stream', () => {
    for (let index = 0; index < 200; index += 1) {
      const serving = fleet.slice(1)
      const asking = fleet.filter((_, other) => other !== 0 && other !== 1 + (index % 11))
      const found = replicasOf(`stream-${index}`, asking)
      const recorded = replicasOf(`stream-${index}`, serving)
      expect(recorded.filter(replica => found.includes(replica)).length).toBeGreaterThanOrEqual(
        MINIMUM_ORIGIN_REPLICAS - 1,
      )
    }
  })

  it('lie in more than one failure domain if there are several', () => {
    for (let index = 0; index < 200; index += 1) {
      const [first, second] = rankOriginReplicas(`stream-${index}`, fleet)
      expect(first?.failureDomain).not.toBe(second?.failureDomain)
    }
    expect(rankOriginReplicas('stream', fleet.slice(0, 1))).toEqual(fleet.slice(0, 1))
    expect(rankOriginReplicas('stream', [])).toEqual([])
  })

  it('carry about the same number of streams', () => {
    const counts = new Map<string, number>()
    for (let index = 0; index < 2_000; index += 1) {
      for (const replica of replicasOf(`stream-${index}`)) {
        counts.set(replica, (counts.get(replica) ?? 0) + 1)
      }
    }
    const mean = (2_000 * MINIMUM_ORIGIN_REPLICAS) / fleet.length
    expect(Math.max(...counts.values())).toBeLessThan(1.3 * mean)
    expect(Math.min(...counts.values())).toBeGreaterThan(0.7 * mean)
  })
})
