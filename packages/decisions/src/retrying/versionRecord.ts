/**
 * Decides what the fleet stores about the software versions of a service, which instance writes it and when, and what an
 * instance learns from it when it starts or resumes a stream.
 *
 * Load pattern: instances crash, are cut off or stand still while a new version of the endpoints' software is rolled out.
 * Callers come back to their streams at instances that have just started or have missed the release, and endpoints of the
 * version that began a stream may be gone. Without a record, such an instance would take the version that it lists for
 * the one that began the stream.
 *
 * Inputs: the stored record, what this instance lists, the versions that it saw leave, and its rank among the instances of
 * the fleet. All times are those of the store's clock, which all instances share.
 *
 * | change                                                  | written by               | after               |
 * | ------------------------------------------------------- | ------------------------ | ------------------- |
 * | addition: a listed version is not in the record         | the instance of rank 0   | at once             |
 * | removal: a recorded version is not listed any more      | the instance of rank 0   | 2 s                 |
 * | creation: the service has no record                     | the instance of rank 0   | 2 s                 |
 * | any, still not in the store                             | those of ranks 1 and 2   | 1 s more for each   |
 * | none                                                    | nobody                   |                     |
 *
 * Limits: one call to the store for each change, and up to two more that find the record written where the others were
 * not told. A removal that is not written does no harm: a reader counts the version as listed until then. A version that
 * comes and leaves while nobody can write is not recorded, and begins no stream.
 */

import type { Milliseconds, SoftwareVersion } from '@rackwalk/shared'
import { RESUMPTION_WINDOW_MILLISECONDS } from './streamResumption.js'

/** A software version in the record of a service. */
interface RecordedVersion {
  readonly softwareVersion: SoftwareVersion
  /** Store time at which the version was last listed; undefined if it was listed when the record was written. */
  readonly unlistedAt: Milliseconds | undefined
}

/** What the store holds about the software versions of one service. */
export interface VersionRecord {
  /** Store time since which each version that was listed is in the record, until its streams cannot be resumed. */
  readonly knownSince: Milliseconds
  readonly versions: readonly RecordedVersion[]
}

/** What one instance knows about the software versions of one service. */
export interface VersionView {
  readonly listed: readonly SoftwareVersion[]
  /** Versions that the instance saw and that are not listed any more, with the store time at which each was last listed. */
  readonly unlisted: ReadonlyMap<SoftwareVersion, Milliseconds>
  /** Store time since which the instance knows all versions that were listed. */
  readonly knownSince: Milliseconds
  /** Store time of the view. */
  readonly at: Milliseconds
}

/** A software version that served before this instance started. */
interface EarlierVersion {
  readonly softwareVersion: SoftwareVersion
  /** Least time since the version was last listed; 0 if it may have been listed until now. */
  readonly seenAgoMilliseconds: Milliseconds
}

/** What an instance learns about a service from its record. */
export interface ServiceHistory {
  readonly service: string
  /** Time for which all versions that were listed are known. */
  readonly knownForMilliseconds: Milliseconds
  readonly versions: readonly EarlierVersion[]
}

/** In what a record differs from what an instance lists. */
export type RecordChange = 'addition' | 'removal' | 'creation'

/** Number of instances that write the changes of a service; all but the first find them written, mostly. */
const RECORDERS = 3
/** Time that each recorder leaves to the one before it. */
const RECORDER_MILLISECONDS: Milliseconds = 1_000
/**
 * Delay of changes that are not urgent. Rows of endpoints may be missing for a moment, and instances that start together
 * know each other by then.
 */
const UNHURRIED_MILLISECONDS: Milliseconds = 2_000

/**
 * Instances read the list of endpoints at different times, so the time at which a version was last listed differs between
 * them by up to this.
 */
const LISTING_TOLERANCE_MILLISECONDS: Milliseconds = 3_000

/** Returns in what the record differs from the view; undefined if nothing has to be written. */
export function recordChange(
  record: VersionRecord | undefined,
  { listed, unlisted, at }: VersionView,
): RecordChange | undefined {
  if (record === undefined) return listed.length + unlisted.size > 0 ? 'creation' : undefined
  const serving = record.versions.filter(({ unlistedAt }) => unlistedAt === undefined)
  const isServing = (version: SoftwareVersion) => {
    return serving.some(({ softwareVersion }) => softwareVersion === version)
  }
  if (!listed.every(isServing)) return 'addition'
  if (!serving.every(({ softwareVersion }) => listed.includes(softwareVersion))) return 'removal'
  return misses(record, unlisted, at) ? 'removal' : undefined
}

/** Whether a version served later than the record says. */
function misses(
  { versions }: VersionRecord,
  unlisted: VersionView['unlisted'],
  at: Milliseconds,
): boolean {
  const recorded = new Map(versions.map(version => [version.softwareVersion, version.unlistedAt]))
  return [...unlisted].some(([version, unlistedAt]) => {
    const known = recorded.get(version) ?? Number.NEGATIVE_INFINITY
    return isRecent(unlistedAt, at) && unlistedAt - known > LISTING_TOLERANCE_MILLISECONDS
  })
}

/** Returns the record with the view applied, without versions whose streams cannot be resumed any more. */
export function nextVersionRecord(
  record: VersionRecord | undefined,
  { listed, unlisted, knownSince, at }: VersionView,
): VersionRecord {
  const before = (record?.versions ?? []).map(({ softwareVersion, unlistedAt }) => {
    return { softwareVersion, unlistedAt: unlistedAt ?? unlisted.get(softwareVersion) ?? at }
  })
  const left = new Map(
    before.map(({ softwareVersion, unlistedAt }) => [softwareVersion, unlistedAt]),
  )
  for (const [version, unlistedAt] of unlisted) {
    left.set(version, Math.max(unlistedAt, left.get(version) ?? unlistedAt))
  }
  const recent = [...left]
    .filter(([version, unlistedAt]) => !listed.includes(version) && isRecent(unlistedAt, at))
    .map(([softwareVersion, unlistedAt]) => ({ softwareVersion, unlistedAt }))
  const serving = listed.map(softwareVersion => ({ softwareVersion, unlistedAt: undefined }))
  return {
    knownSince: Math.min(knownSince, record?.knownSince ?? knownSince),
    versions: [...serving, ...recent],
  }
}

/**
 * Returns how long after it saw a change the instance of this rank writes it; undefined if it leaves that to others, or
 * while its rank is unknown. The instance of rank 0 is the first one.
 */
export function recordingDelay(
  change: RecordChange,
  rank: number | undefined,
): Milliseconds | undefined {
  if (rank === undefined || rank >= RECORDERS) return undefined
  const delay = change === 'addition' ? 0 : UNHURRIED_MILLISECONDS
  return delay + rank * RECORDER_MILLISECONDS
}

/**
 * Returns what an instance that has just started learns from a record that it read at this store time. A version that was
 * listed when the record was written may have served until now: nobody may have been there to see it leave.
 */
export function historyOf(
  service: string,
  { knownSince, versions }: VersionRecord,
  at: Milliseconds,
): ServiceHistory {
  return {
    service,
    knownForMilliseconds: Math.max(0, at - knownSince),
    versions: versions
      .filter(({ unlistedAt }) => unlistedAt === undefined || isRecent(unlistedAt, at))
      .map(({ softwareVersion, unlistedAt }) => {
        const seenAgo = at - (unlistedAt ?? at) - LISTING_TOLERANCE_MILLISECONDS
        return { softwareVersion, seenAgoMilliseconds: Math.max(0, seenAgo) }
      }),
  }
}

/** Whether streams of a version that was last listed at this time may still be resumed. */
function isRecent(unlistedAt: Milliseconds, at: Milliseconds): boolean {
  return at - unlistedAt <= RESUMPTION_WINDOW_MILLISECONDS + LISTING_TOLERANCE_MILLISECONDS
}
