import { describe, expect, it } from 'vitest'
import {
  RESUMPTION_WINDOW_MILLISECONDS,
  historyOf,
  nextVersionRecord,
  recordChange,
  recordingDelay,
} from '@rackwalk/decisions'
import type { VersionRecord, VersionView } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { SoftwareVersion } from '@rackwalk/shared'

/** What is stored of the software versions of a service, so that instances that start know which ones served before. */

const AT = 100_000
const LONG_AGO = AT - RESUMPTION_WINDOW_MILLISECONDS - 5_000

/** Versions as 'v1' while listed, and as 'v1 until 90000' once they have left. */
function record(knownSince: number, ...texts: readonly string[]): VersionRecord {
  const versions = texts.map(text => {
    const [name = '', time] = text.split(' until ')
    const unlistedAt = time === undefined ? undefined : Number(time)
    return { softwareVersion: asId<SoftwareVersion>(name), unlistedAt }
  })
  return { knownSince, versions }
}

function textOf({ knownSince, versions }: VersionRecord): string {
  const texts = versions.map(({ softwareVersion, unlistedAt }) => {
    return unlistedAt === undefined ? softwareVersion : `${softwareVersion} until ${unlistedAt}`
  })
  return `since ${knownSince}: ${texts.join(', ')}`
}

function view(
  listed: readonly string[],
  unlisted: Readonly<Record<string, number>> = {},
): VersionView {
  return {
    listed: listed.map(version => asId<SoftwareVersion>(version)),
    unlisted: new Map(
      Object.entries(unlisted).map(([version, at]) => [asId<SoftwareVersion>(version), at]),
    ),
    knownSince: 60_000,
    at: AT,
  }
}

const RECORDS = {
  'no record': undefined,
  v1: record(50_000, 'v1'),
  'v1 and v2': record(50_000, 'v1', 'v2'),
  'v2, v1 until 90000': record(50_000, 'v2', 'v1 until 90000'),
  'v2, v1 until long ago': record(50_000, 'v2', `v1 until ${LONG_AGO}`),
}
const VIEWS = {
  'nothing is listed': view([]),
  'v1 is listed': view(['v1']),
  'v1 and v2 are listed': view(['v1', 'v2']),
  'v2 is listed': view(['v2']),
  'v2 is listed, v1 left at 95000': view(['v2'], { v1: 95_000 }),
  'v2 is listed, v1 left at 92000': view(['v2'], { v1: 92_000 }),
  'v2 is listed, v3 came and left at 95000': view(['v2'], { v3: 95_000 }),
  'v2 is listed, v3 left long ago': view(['v2'], { v3: LONG_AGO }),
}

describe('the record of the software versions of a service', () => {
  it('is written when a version appears or leaves, and holds those whose streams may be resumed', () => {
    const rows = Object.entries(RECORDS).flatMap(([recorded, known]) =>
      Object.entries(VIEWS).map(([seen, listed]) => {
        const change = recordChange(known, listed)
        if (change === undefined) return `${recorded}; ${seen}: nothing to write`
        return `${recorded}; ${seen}: ${change}; ${textOf(nextVersionRecord(known, listed))}`
      }),
    )
    expect(rows).toMatchSnapshot()
  })

  it('needs no other write once it was written', () => {
    for (const known of Object.values(RECORDS)) {
      for (const listed of Object.values(VIEWS)) {
        const next = nextVersionRecord(known, listed)
        expect(recordChange(next, listed)).toBeUndefined()
      }
    }
  })

  it('is written by the first instance, and a little later by the next two if it is not there by then', () => {
    const changes = ['addition', 'removal', 'creation'] as const
    const delays = changes.map(change =>
      [0, 1, 2, 3, 300].map(rank => recordingDelay(change, rank)),
    )
    expect(delays).toEqual([
      [0, 1_000, 2_000, undefined, undefined],
      [2_000, 3_000, 4_000, undefined, undefined],
      [2_000, 3_000, 4_000, undefined, undefined],
    ])
  })

  it('tells an instance that starts which versions served, and for how long that is known', () => {
    const later = {
      ...RECORDS,
      'written after the read': record(AT + 500, 'v2', `v1 until ${AT + 20}`),
    }
    const rows = Object.entries(later).flatMap(([recorded, known]) => {
      if (known === undefined) return []
      const { knownForMilliseconds, versions } = historyOf('models', known, AT)
      const texts = versions.map(({ softwareVersion, seenAgoMilliseconds }) => {
        return `${softwareVersion} seen ${seenAgoMilliseconds} ago`
      })
      return `${recorded}: known for ${knownForMilliseconds}, ${texts.join(', ')}`
    })
    expect(rows).toMatchInlineSnapshot(`
      [
        "v1: known for 50000, v1 seen 0 ago",
        "v1 and v2: known for 50000, v1 seen 0 ago, v2 seen 0 ago",
        "v2, v1 until 90000: known for 50000, v2 seen 0 ago, v1 seen 7000 ago",
        "v2, v1 until long ago: known for 50000, v2 seen 0 ago",
        "written after the read: known for 0, v2 seen 0 ago, v1 seen 0 ago",
      ]
    `)
  })
})
