/**
 * Tracks which configuration revision is in force on each instance, and since when. Owns the times at which
 * heartbeats reported it.
 */

import type { Clock, IncarnationId, InstanceId, Milliseconds, Version } from '@rackwalk/shared'
import type { Membership } from '@rackwalk/coordination'

/** Whether a revision is in force on an instance, and when that was first seen. */
export interface RolloutStatus {
  readonly instanceId: InstanceId
  readonly inForce: boolean
  /** Wall time at which this instance learned of it. */
  readonly seenAt?: Milliseconds
}

interface Sighting {
  readonly revision: Version
  readonly at: Milliseconds
}

const KEPT_SIGHTINGS = 256

/** Records when each instance was first seen at each configuration revision. */
export class RolloutTracker {
  private readonly sightings = new Map<IncarnationId, Sighting[]>()

  constructor(
    private readonly membership: Membership,
    private readonly clock: Clock,
  ) {}

  /** Records the revisions that the members report; called with each heartbeat. */
  refresh(): void {
    const live = this.membership.liveMembers()
    for (const member of live) this.note(member.incarnation, member.configurationRevision)
    const present = new Set(live.map(member => member.incarnation))
    for (const incarnation of this.sightings.keys()) {
      if (!present.has(incarnation)) this.sightings.delete(incarnation)
    }
  }

  /** Returns for each live instance whether a revision is in force there, and since when. */
  report(revision: Version): readonly RolloutStatus[] {
    this.refresh()
    return this.membership.liveMembers().map(member => {
      const inForce = member.configurationRevision >= revision
      const sightings = this.sightings.get(member.incarnation) ?? []
      const first = sightings.find(sighting => sighting.revision >= revision)
      return { instanceId: member.instanceId, inForce, seenAt: first?.at }
    })
  }

  private note(incarnation: IncarnationId, revision: Version): void {
    const known = this.sightings.get(incarnation) ?? []
    if ((known.at(-1)?.revision ?? -1) >= revision) return
    known.push({ revision, at: this.clock.wallTime() })
    this.sightings.set(incarnation, known.slice(-KEPT_SIGHTINGS))
  }
}
