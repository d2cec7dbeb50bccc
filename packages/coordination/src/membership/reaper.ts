/**
 * Finds terminated incarnations (runs of instances' processes), has them sealed and their
 * allocations returned. Without the reaper, tokens that a crashed instance held would be lost to
 * their budgets. Owns the time since which each incarnation has been missing.
 */

import type { Clock, IncarnationId, Milliseconds } from '@rackwalk/shared'
import type { ListedInstance } from '@rackwalk/stores'
import type { Reclaimer } from '../budget/reclaimer.js'
import type { IncarnationRecord, IncarnationRegistry } from './incarnationRegistry.js'
import type { Membership } from './membership.js'
import type { Sealer } from './sealer.js'

/** Dependencies of a `Reaper`. */
export interface ReaperParts {
  readonly incarnation: IncarnationId
  readonly clock: Clock
  readonly registry: IncarnationRegistry
  readonly membership: Membership
  readonly reclaimer: Reclaimer
  readonly createSealer: (isConfirmedDead: (incarnation: IncarnationId) => boolean) => Sealer
  /** Maximum lag of the platform's list of instances. */
  readonly listLagMilliseconds: Milliseconds
}

/**
 * Finds terminated incarnations, seals them and returns their allocations. Nothing that a sealed
 * incarnation still does can become a bill, so there is no need to wait until its requests would
 * have ended (docs/design/budgets.md). Silence alone is never sufficient: for at least the list's
 * lag, the platform's list must lack the instance, or another incarnation of the instance must be
 * live. If that other incarnation serves the same peer address, the process has terminated, which
 * needs no wait: after a simultaneous power loss of all instances, such processes hold nearly all
 * tokens of every budget.
 */
export class Reaper {
  /** Monotonic time since when each incarnation has been unlisted or replaced. */
  private readonly missingSince = new Map<IncarnationId, Milliseconds>()
  /** Incarnations whose addresses are now served by other incarnations of their instances. */
  private superseded: ReadonlySet<IncarnationId> = new Set()
  private readonly sealer: Sealer

  constructor(private readonly parts: ReaperParts) {
    this.sealer = parts.createSealer(incarnation => this.isConfirmedDead(incarnation))
  }

  /** Checks all registered incarnations once. */
  async reapOnce(listed: readonly ListedInstance[]): Promise<void> {
    const records = await this.parts.registry.list()
    this.updateMissing(records, listed)
    this.updateSuperseded(records)
    for (const record of records) {
      if (this.isConfirmedDead(record.incarnation)) await this.reap(record)
    }
  }

  /**
   * Whether an incarnation counts as terminated: it is not live by its heartbeats, and it has been
   * missing for at least the list's lag or another incarnation serves its address.
   */
  isConfirmedDead(incarnation: IncarnationId): boolean {
    if (this.parts.membership.isLive(incarnation)) return false
    if (this.superseded.has(incarnation)) return true
    const since = this.missingSince.get(incarnation)
    if (since === undefined) return false
    return this.parts.clock.monotonic() - since >= this.parts.listLagMilliseconds
  }

  private updateMissing(
    records: readonly IncarnationRecord[],
    listed: readonly ListedInstance[],
  ): void {
    const present = new Set(listed.map(instance => instance.instanceId))
    for (const record of records) {
      const isMissing = !present.has(record.instanceId) || this.isReplaced(record)
      if (!isMissing) this.missingSince.delete(record.incarnation)
      else if (!this.missingSince.has(record.incarnation)) {
        this.missingSince.set(record.incarnation, this.parts.clock.monotonic())
      }
    }
  }

  private updateSuperseded(records: readonly IncarnationRecord[]): void {
    const superseded = records.filter(record => {
      const current = this.parts.membership.findInstance(record.instanceId)
      return this.isReplaced(record) && current?.peerAddress === record.peerAddress
    })
    this.superseded = new Set(superseded.map(({ incarnation }) => incarnation))
  }

  /** Whether another incarnation of the same instance is live. */
  private isReplaced(record: IncarnationRecord): boolean {
    const current = this.parts.membership.findInstance(record.instanceId)
    return current !== undefined && current.incarnation !== record.incarnation
  }

  private async reap(record: IncarnationRecord): Promise<void> {
    const { incarnation } = record
    if ((await this.sealer.seal(record)) !== 'sealed') return
    const outcome = await this.parts.reclaimer.reclaim(incarnation)
    if (outcome === 'reclaimed') this.missingSince.delete(incarnation)
  }
}
