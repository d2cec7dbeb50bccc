/**
 * Tracks which software versions of each service served recently, so that this instance knows at which
 * versions a resumed stream may have begun. Owns when each version was last seen.
 */

import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import type { Clock, Milliseconds, SoftwareVersion } from '@rackwalk/shared'

/** Software versions of all services, as known to one instance. */
export class RecentVersions {
  /** By service, then by version: monotonic time at which the version was last seen. */
  private readonly seenAt = new Map<string, Map<SoftwareVersion, Milliseconds>>()
  /** By service: monotonic time at which the service was first seen. */
  private readonly firstSeenAt = new Map<string, Milliseconds>()

  constructor(
    private readonly clock: Clock,
    /** Versions of the listed endpoints of a service. */
    private readonly listed: (service: string) => ReadonlySet<SoftwareVersion>,
  ) {}

  /** A version serves now, or served until now. */
  note(service: string, version: SoftwareVersion): void {
    const now = this.clock.monotonic()
    if (!this.firstSeenAt.has(service)) this.firstSeenAt.set(service, now)
    const seen = this.seenAt.get(service) ?? new Map<SoftwareVersion, Milliseconds>()
    seen.set(version, now)
    this.seenAt.set(service, seen)
  }

  /**
   * Versions whose streams may still be resumed: those listed, and those seen within the resumption window.
   */
  recentVersions(service: string): readonly SoftwareVersion[] {
    const oldest = this.clock.monotonic() - RESUMPTION_WINDOW_MILLISECONDS
    const listed = this.listed(service)
    const seen = this.seenAt.get(service) ?? new Map<SoftwareVersion, Milliseconds>()
    for (const [version, at] of seen) {
      if (at < oldest && !listed.has(version)) seen.delete(version)
    }
    return [...new Set([...listed, ...seen.keys()])]
  }

  /** Time since the service was first seen; 0 if it never was. */
  knownFor(service: string): Milliseconds {
    const since = this.firstSeenAt.get(service)
    return since === undefined ? 0 : this.clock.monotonic() - since
  }

  get services(): readonly string[] {
    return [...this.firstSeenAt.keys()]
  }
}
