/**
 * Decides at which software version a stream is resumed when its caller reconnects. Also decides whether other instances
 * must be asked for that version, and whether they must remember it.
 *
 * Load pattern: a new version of the endpoints' software is rolled out through a service while endpoints and instances
 * terminate under their streams. Callers reconnect at any instance, mostly not the one that served them. The output of two
 * versions does not fit together, so a stream resumed at the wrong version would be corrupt.
 *
 * Inputs: the origins of the stream (service and software version where the stream began) that this instance and its peers
 * remember, the versions that served recently, whether the store or a peer has confirmed these versions, and for how long
 * the service is known: from the record of its versions, or because this instance or a peer that answered has listed its
 * endpoints for so long.
 *
 * | remembered origins         | versions that served recently | confirmed by   | known for the window | the stream is resumed at |
 * | -------------------------- | ----------------------------- | -------------- | -------------------- | ------------------------ |
 * | one version of one service | any                           | any or none    | yes or no            | that version             |
 * | several different ones     | any                           | any or none    | yes or no            | nowhere                  |
 * | none                       | one                           | store or peers | yes                  | that version             |
 * | none                       | one                           | store or peers | no                   | nowhere                  |
 * | none                       | one                           | none           | yes or no            | nowhere                  |
 * | none                       | several                       | any or none    | yes or no            | nowhere                  |
 * | none                       | none                          | any or none    | yes or no            | nowhere                  |
 *
 * Limits: an instance that hears from neither the store nor its peers does not know which versions were added since its
 * last contact, so it resumes only streams whose origin it remembers itself. A version counts as recent for as long as a
 * caller may come back to a stream (the window). A list that was read after the stream had begun does not show which
 * versions served then, so a service that nobody has known for the window has no single version.
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
  /** Whether this instance read the list of endpoints from the store a moment ago, or another instance answered it. */
  readonly isConfirmed: boolean
  /** Longest time for which this instance or a peer that answered knows all versions of the service. */
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
  /** No origin is remembered, and no single confirmed version is known. */
  | 'unknown'
  /** No origin is remembered. One version is known, but not for as long as a caller may come back. */
  | 'unproven'

/** Where a stream is resumed. A stream whose origin is undefined is not resumed. */
export interface Resumption {
  readonly origin: StreamOrigin | undefined
  readonly source: OriginSource
}

/** What one instance knows about the software versions of a service. */
export interface ServiceVersions {
  /** The versions that served recently, each once. */
  readonly versions: readonly SoftwareVersion[]
  /** Time for which this instance knows all versions of the service. */
  readonly knownForMilliseconds: Milliseconds
  /** Whether this instance read the list of endpoints from the store a moment ago. */
  readonly isFresh: boolean
}

/** Time for which a caller may come back to a stream after its connection broke. Versions count as recent for this time. */
export const RESUMPTION_WINDOW_MILLISECONDS: Milliseconds = 30_000

/** Returns where a stream of a service is resumed, according to the table in the module head. */
export function resolveResumption(service: string, knowledge: ResumptionKnowledge): Resumption {
  const { versions, isConfirmed, knownForMilliseconds } = knowledge
  const [origin, other] = differentOrigins(knowledge.origins)
  if (other !== undefined) return { origin: undefined, source: 'contradictory' }
  if (origin !== undefined) return { origin, source: 'remembered' }
  const [softwareVersion, second] = [...new Set(versions)]
  const isSingle = softwareVersion !== undefined && second === undefined
  if (!isSingle || !isConfirmed) return { origin: undefined, source: 'unknown' }
  if (!coversWindow(knownForMilliseconds)) return { origin: undefined, source: 'unproven' }
  return { origin: { service, softwareVersion }, source: 'only-version' }
}

/**
 * Whether all resumable streams of a service must have begun at the same software version, so that no other instance need
 * be asked. The one version must be confirmed by the store, and the service must have been known for longer than a caller
 * may come back to a stream.
 */
export function hasSingleVersion({
  versions,
  knownForMilliseconds,
  isFresh,
}: ServiceVersions): boolean {
  return versions.length === 1 && isFresh && coversWindow(knownForMilliseconds)
}

/** Whether a service that is known for this long was known when any stream began that may still be resumed. */
export function coversWindow(knownForMilliseconds: Milliseconds): boolean {
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
