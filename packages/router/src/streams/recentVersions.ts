/**
 * Tracks which software versions of each service served recently, so that this instance knows at which
 * versions a resumed stream may have begun. Owns when each version was last seen, and for how long all
 * versions of a service are known.
 */

import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import type { ServiceHistory } from '@rackwalk/decisions'
import type { Clock, Milliseconds, SoftwareVersion } from '@rackwalk/shared'

/** Dependencies of `RecentVersions`. */
export interface RecentVersionsParts {
  readonly clock: Clock
  /** Versions of the listed endpoints of a service. */
  readonly listed: (service: string) => ReadonlySet<SoftwareVersion>
  /** Whether no instance ran before those that are starting now. */
  readonly isFleetNew: () => boolean
}

/** By service, then by version: monotonic time at which the version was last seen. */
type SeenVersions = Map<string, Map<SoftwareVersion, Milliseconds>>

/** Software versions of all services, as known to one instance. */
export class RecentVersions {
  private readonly seenAt: SeenVersions = new Map()
  /** What is recorded of the time before this instance listed endpoints. */
  private readonly recordedAt: SeenVersions = new Map()
  /** Monotonic time since which this instance has listed endpoints without a gap; it has seen all versions since. */
  private listingSince: Milliseconds | undefined
  /** By recorded service: monotonic time since which all versions are known; undefined before the records were read. */
  private recordedSince: ReadonlyMap<string, Milliseconds> | undefined

  constructor(private readonly parts: RecentVersionsParts) {}

  /** A version is listed now. */
  noteListed(service: string, version: SoftwareVersion): void {
    this.listingSince ??= this.parts.clock.monotonic()
    this.note(service, version)
  }

  /** A version serves now, or served until now. */
  note(service: string, version: SoftwareVersion): void {
    noteSeenAt(this.seenAt, service, version, this.parts.clock.monotonic())
  }

  /** Versions may have come and left unseen until now; what is recorded of that time is not read yet. */
  noteGap(): void {
    if (this.listingSince !== undefined) this.listingSince = this.parts.clock.monotonic()
    this.recordedSince = undefined
  }

  /** Applies what is recorded of the time before this instance listed endpoints. */
  restore(histories: readonly ServiceHistory[]): void {
    const now = this.parts.clock.monotonic()
    for (const { service, versions } of histories) {
      for (const { softwareVersion, seenAgoMilliseconds } of versions) {
        noteSeenAt(this.recordedAt, service, softwareVersion, now - seenAgoMilliseconds)
      }
    }
    this.recordedSince = new Map(
      histories.map(({ service, knownForMilliseconds }) => [service, now - knownForMilliseconds]),
    )
  }

  /**
   * Versions whose streams may still be resumed: those listed, and those seen within the resumption window.
   */
  recentVersions(service: string): readonly SoftwareVersion[] {
    const recorded = this.recentOf(this.recordedAt, service).keys()
    const listed = this.parts.listed(service)
    return [...new Set([...listed, ...this.unlistedVersions(service).keys(), ...recorded])]
  }

  /**
   * Versions that this instance has seen within the resumption window and that are not listed, with the
   * monotonic times.
   */
  unlistedVersions(service: string): ReadonlyMap<SoftwareVersion, Milliseconds> {
    const listed = this.parts.listed(service)
    const recent = this.recentOf(this.seenAt, service)
    return new Map([...recent].filter(([version]) => !listed.has(version)))
  }

  private recentOf(
    seenVersions: SeenVersions,
    service: string,
  ): ReadonlyMap<SoftwareVersion, Milliseconds> {
    const oldest = this.parts.clock.monotonic() - RESUMPTION_WINDOW_MILLISECONDS
    const listed = this.parts.listed(service)
    const seen = seenVersions.get(service) ?? new Map<SoftwareVersion, Milliseconds>()
    for (const [version, at] of seen) if (at < oldest && !listed.has(version)) seen.delete(version)
    return seen
  }

  /**
   * Time for which all versions of the service are known, at most the resumption window; 0 if no version is.
   */
  knownFor(service: string): Milliseconds {
    if (!this.seenAt.has(service)) return 0
    const now = this.parts.clock.monotonic()
    const since = Math.min(this.listingSince ?? now, this.recordedSinceOf(service) ?? now)
    return Math.min(RESUMPTION_WINDOW_MILLISECONDS, now - since)
  }

  get services(): readonly string[] {
    return [...new Set([...this.seenAt.keys(), ...this.recordedAt.keys()])]
  }

  /** A service without a record has had no endpoint before unless instances ran that wrote none. */
  private recordedSinceOf(service: string): Milliseconds | undefined {
    const { recordedSince } = this
    if (recordedSince === undefined) return undefined
    const recorded = recordedSince.get(service)
    if (recorded !== undefined) return recorded
    return this.parts.isFleetNew() ? Number.NEGATIVE_INFINITY : undefined
  }
}

function noteSeenAt(
  versions: SeenVersions,
  service: string,
  version: SoftwareVersion,
  at: Milliseconds,
): void {
  const seen = versions.get(service) ?? new Map<SoftwareVersion, Milliseconds>()
  seen.set(version, Math.max(at, seen.get(version) ?? at))
  versions.set(service, seen)
}
