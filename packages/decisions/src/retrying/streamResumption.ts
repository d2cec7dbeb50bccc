/**
 * Where may a stream go on that its caller takes up again?
 *
 * Load pattern: versions of the endpoints' software are rolled through a service while endpoints and instances end under their
 * streams. Callers come back at any instance, mostly not the one that served them. What two versions write does not fit together.
 *
 * | what is remembered of where it began | versions that served lately | who told       | the stream goes on at    |
 * | ------------------------------------ | --------------------------- | -------------- | ------------------------ |
 * | one version of one service           | any                         | anybody        | that version             |
 * | several                              | any                         | anybody        | nowhere                  |
 * | nothing                              | one                         | store or peers | that version             |
 * | nothing                              | one                         | nobody         | nowhere                  |
 * | nothing                              | several                     | anybody        | nowhere                  |
 * | nothing                              | none                        | anybody        | nowhere                  |
 *
 * Limits: an instance that hears nobody does not know which versions have come since, so it goes on only with what it remembers
 * itself. Versions count for as long as a caller may come back to a stream.
 */

import type { Milliseconds, SoftwareVersion } from '@rackwalk/shared'

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string
  readonly softwareVersion: SoftwareVersion
}

/** What is known of a stream that is taken up, by this instance and by those that answered it. */
export interface ResumptionKnowledge {
  readonly origins: readonly StreamOrigin[]
  /** Software versions of the service that served lately. */
  readonly versions: readonly SoftwareVersion[]
  /** Whether the store told of endpoints a moment ago, or another instance answered. */
  readonly isConfirmed: boolean
}

/** How an origin became known, or why it did not. */
export type OriginSource = 'remembered' | 'only-version' | 'contradictory' | 'unknown'

/** Where a stream goes on; nowhere without an origin. */
export interface Resumption {
  readonly origin: StreamOrigin | undefined
  readonly source: OriginSource
}

/** What one instance knows of the software versions of a service. */
export interface ServiceVersions {
  /** That served lately. */
  readonly versions: readonly SoftwareVersion[]
  /** Since the service was first seen. */
  readonly knownForMilliseconds: Milliseconds
  /** Whether the store told of endpoints a moment ago. */
  readonly isFresh: boolean
}

/** A caller may come back to a stream for this long. */
export const RESUMPTION_WINDOW_MILLISECONDS: Milliseconds = 30_000

/** Where a stream of a service goes on. */
export function resolveResumption(service: string, knowledge: ResumptionKnowledge): Resumption {
  const { versions, isConfirmed } = knowledge
  const [origin, other] = differentOrigins(knowledge.origins)
  if (other !== undefined) return { origin: undefined, source: 'contradictory' }
  if (origin !== undefined) return { origin, source: 'remembered' }
  const [softwareVersion, second] = [...new Set(versions)]
  const isOnly = softwareVersion !== undefined && second === undefined
  if (!isOnly || !isConfirmed) return { origin: undefined, source: 'unknown' }
  return { origin: { service, softwareVersion }, source: 'only-version' }
}

/** Whether all streams of a service that may be taken up again began at one software version, as far as anybody can know. */
export function hasSingleVersion({
  versions,
  knownForMilliseconds,
  isFresh,
}: ServiceVersions): boolean {
  return versions.length === 1 && isFresh && knownForMilliseconds >= RESUMPTION_WINDOW_MILLISECONDS
}

/** Whether it matters which software version began a stream, so that others have to remember it. */
export function hasMixedVersions(versions: readonly SoftwareVersion[]): boolean {
  return versions.length > 1
}

function differentOrigins(origins: readonly StreamOrigin[]): readonly StreamOrigin[] {
  return origins.filter((origin, index) => {
    return origins.findIndex(other => isSameOrigin(origin, other)) === index
  })
}

/** Whether two origins are the same software version of the same service. */
export function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
  return left.service === right.service && left.softwareVersion === right.softwareVersion
}
