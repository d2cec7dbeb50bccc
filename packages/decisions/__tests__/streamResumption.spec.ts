import { describe, expect, it } from 'vitest'
import {
  RESUMPTION_WINDOW_MILLISECONDS,
  MINIMUM_ORIGIN_REPLICAS,
  hasMixedVersions,
  hasSingleVersion,
  rankOriginReplicas,
  resolveResumption,
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
const KNOWN = {
  'for as long as a caller may come back': RESUMPTION_WINDOW_MILLISECONDS,
  'for a shorter time': RESUMPTION_WINDOW_MILLISECONDS - 1,
}
const VERSIONS = { none: [], 'v1 alone': [V1, V1], 'v2 alone': [V2], 'v1 and v2': [V1, V2] }

describe('a stream that its caller takes up', () => {
  it('goes on at the version that began it, or nowhere', () => {
    for (const [known, knownForMilliseconds] of Object.entries(KNOWN)) {
      const rows = Object.entries(ORIGINS).flatMap(([remembered, origins]) =>
        Object.entries(VERSIONS).flatMap(([served, versions]) =>
          [true, false].map(isConfirmed => {
            const knowledge = { origins, versions, isConfirmed, knownForMilliseconds }
            const { origin, source } = resolveResumption('models', knowledge)
            const where = origin === undefined ? 'nowhere' : Object.values(origin).join(' ')
            return `${remembered}; served: ${served}; ${isConfirmed ? 'heard' : 'alone'}: ${where} (${source})`
          }),
        ),
      )
      expect(rows).toMatchSnapshot(`a service that is known ${known}`)
    }
  })

  it('is not resumed at the only version of a service that nobody has known for as long as a caller may come back', () => {
    const { origin, source } = resolveResumption('models', {
      origins: [],
      versions: [V2],
      isConfirmed: true,
      knownForMilliseconds: RESUMPTION_WINDOW_MILLISECONDS - 1,
    })
    expect([origin, source]).toEqual([undefined, 'unproven'])
  })

  it('is resumed without asking other instances only if one version has served for as long as a caller may come back', () => {
    const long = RESUMPTION_WINDOW_MILLISECONDS
    const rows = [[V1], [V1, V2], []].flatMap(versions =>
      [long, long - 1].flatMap(knownForMilliseconds =>
        [true, false].map(isFresh => hasSingleVersion({ versions, knownForMilliseconds, isFresh })),
      ),
    )
    expect(rows).toEqual([true, ...Array<boolean>(11).fill(false)])
    expect([[], [V1], [V1, V2]].map(versions => hasMixedVersions(versions))).toEqual([
      false,
      false,
      true,
    ])
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
