/**
 * Decides at which software version a stream is resumed when its caller reconnects. Also decides at which versions a
 * stream may begin, and whether other instances must remember where it began.
 *
 * Load pattern: a new version of the endpoints' software is rolled out through a service while endpoints and instances
 * terminate under their streams, and while single instances are cut off or stand still. Callers reconnect at any instance,
 * mostly not the one that served them. The output of two versions does not fit together, so a stream resumed at the wrong
 * version would be corrupt.
 *
 * Inputs: the origins of the stream (service and software version where the stream began) that this instance and its peers
 * remember, the versions that served recently, and the record of the service as read from the store after the caller had
 * reconnected.
 *
 * | remembered origins         | record, read after the caller reconnected      | versions, recorded or seen | the stream is resumed at |
 * | -------------------------- | ---------------------------------------------- | -------------------------- | ------------------------ |
 * | one version of one service | any or none                                    | any                        | that version             |
 * | several different ones     | any or none                                    | any                        | nowhere                  |
 * | none                       | none                                           | any                        | nowhere                  |
 * | none                       | complete for the window                        | one                        | that version             |
 * | none                       | complete for a shorter time                    | one                        | nowhere                  |
 * | none                       | any                                            | none or several            | nowhere                  |
 *
 * A version begins no stream before it is in the record of its service, so a read that began after the caller had
 * reconnected shows each version at which the stream may have begun. An older read or list does not, however recent it is:
 * nothing tells an instance what happened since.
 *
 * Limits: one read of the store for a resumed stream whose origin is not remembered, shared by all streams that wait for
 * it. While the store is not reached, directly or through a peer, only streams of remembered origin go on. A version counts
 * as recent for as long as a caller may come back to a stream (the window).
 */

import type { Milliseconds, SoftwareVersion } from '@rackwalk/shared'

/** The service and software version at which a stream began. */
export interface StreamOrigin {
  readonly service: string
  readonly softwareVersion: SoftwareVersion
}

/** What this instance and the peers that answered it know about a stream to be resumed. */
export interface ResumptionKnowledge {
  /** Every origin of the stream that this instance or a peer remembers, possibly the same one several times. */
  readonly origins: readonly StreamOrigin[]
  /** Software versions of the service that served recently, possibly the same one several times. */
  readonly versions: readonly SoftwareVersion[]
  /** The record as read from the store after the caller had reconnected; undefined if it was not read. */
  readonly record: RecordedVersions | undefined
}

/** What the record of a service tells about the versions that served recently. */
export interface RecordedVersions {
  readonly versions: readonly SoftwareVersion[]
  /** Time for which all versions of the service are recorded. */
  readonly knownForMilliseconds: Milliseconds
}

/** How the origin became known, or why it is unknown. */
export type OriginSource =
  /** This instance or a peer remembers the origin. */
  | 'remembered'
  /** Only one software version has served recently, so the stream must have begun there. */
  | 'only-version'
  /** Several different origins are remembered. */
  | 'contradictory'
  /** No origin is remembered, and several versions served recently, or none is known. */
  | 'unknown'
  /** No origin is remembered. One version is known, but the record does not cover as long as a caller may come back. */
  | 'unproven'
  /** No origin is remembered, and the record could not be read: a version may have come without this instance knowing. */
  | 'unread'

/** Where a stream is resumed. A stream whose origin is undefined is not resumed. */
export interface Resumption {
  readonly origin: StreamOrigin | undefined
  readonly source: OriginSource
}

/** Time for which a caller may come back to a stream after its connection broke. Versions count as recent for this time. */
export const RESUMPTION_WINDOW_MILLISECONDS: Milliseconds = 30_000

/** Returns where a stream of a service is resumed, according to the table in the module head. */
export function resolveResumption(service: string, knowledge: ResumptionKnowledge): Resumption {
  const { record } = knowledge
  const [origin, other] = differentOrigins(knowledge.origins)
  if (other !== undefined) return { origin: undefined, source: 'contradictory' }
  if (origin !== undefined) return { origin, source: 'remembered' }
  const versions = new Set([...knowledge.versions, ...(record?.versions ?? [])])
  const [softwareVersion] = versions
  if (softwareVersion === undefined || versions.size > 1) {
    return { origin: undefined, source: 'unknown' }
  }
  if (record === undefined) return { origin: undefined, source: 'unread' }
  if (!coversWindow(record.knownForMilliseconds)) return { origin: undefined, source: 'unproven' }
  return { origin: { service, softwareVersion }, source: 'only-version' }
}

/** Returns how long a caller waits at least until its stream may be resumed; undefined if that is not known. */
export function resumptionDelay(
  { source }: Resumption,
  record: RecordedVersions | undefined,
): Milliseconds | undefined {
  if (source !== 'unproven' || record === undefined) return undefined
  return RESUMPTION_WINDOW_MILLISECONDS - record.knownForMilliseconds
}

/**
 * Whether a stream that may be resumed can begin at a version, given those that are recorded as serving: whoever reads the
 * record for a resumed stream sees no other version. The first version of a service is no exception, since another
 * instance may know another one as the first.
 */
export function canBeginStream(
  version: SoftwareVersion,
  recorded: readonly SoftwareVersion[],
): boolean {
  return recorded.includes(version)
}

/** Whether a service that is known for this long was known when any stream began that may still be resumed. */
function coversWindow(knownForMilliseconds: Milliseconds): boolean {
  return knownForMilliseconds >= RESUMPTION_WINDOW_MILLISECONDS
}

/** Whether several versions have served recently, so that other instances must remember at which one a stream began. */
export function hasMixedVersions(versions: readonly SoftwareVersion[]): boolean {
  return versions.length > 1
}

/** Returns the origins without repetitions. */
function differentOrigins(origins: readonly StreamOrigin[]): readonly StreamOrigin[] {
  return origins.filter((origin, index) => {
    return origins.findIndex(other => isSameOrigin(origin, other)) === index
  })
}

/** Whether two origins name the same software version of the same service. */
export function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
  return left.service === right.service && left.softwareVersion === right.softwareVersion
}
