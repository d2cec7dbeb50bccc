/**
 * The operator's configuration that is in force at this instance, and the failure domains that are being evacuated,
 * both from the rows of the configuration table. Decides which row takes effect: a row that cannot be parsed does not,
 * and the configuration never returns to an older version when the change feed is read again from an earlier point.
 * Owns the configuration and the set of evacuated failure domains.
 */

import { RouteTable } from '@rackwalk/router'
import type { GatewayConfiguration } from '@rackwalk/router'
import type { ChangedRow } from '@rackwalk/stores'
import type { PlatformAdapter } from './platformAdapter.js'

/** Callbacks on a change, and the source that reads the rows. */
export interface ActiveConfigurationParts {
  readonly source: PlatformAdapter['configuration']
  /** A newer version took effect; `before` is the version that it replaced. */
  readonly onConfiguration: (routes: RouteTable, before: number) => void
  /** No new requests may be sent to a failure domain, or it may be used again. */
  readonly onEvacuation: (failureDomain: string, isEvacuated: boolean) => void
  /** A row could not be parsed as a configuration; the previous version stays in force. */
  readonly onRefused: (detail: string) => void
}

/** Length, in characters, to which a reported fault text is cut. */
const LONGEST_DETAIL = 500
/** Version before any configuration is known. */
const NO_VERSION = -1

/** Follows the rows of the configuration and of evacuations. */
export class ActiveConfiguration {
  private known: RouteTable | undefined
  private readonly evacuated = new Set<string>()

  constructor(private readonly parts: ActiveConfigurationParts) {}

  /** The routes of the configuration in force; undefined until the first configuration is known. */
  get routes(): RouteTable | undefined {
    return this.known
  }

  /** Failure domains that are being evacuated. */
  get evacuations(): readonly string[] {
    return [...this.evacuated]
  }

  /** Applies rows in their current state; with `isWhole` they are all rows that exist. */
  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    this.observeEvacuations(rows, isWhole)
    // A feed that was behind returns every version that it missed, oldest first; only the last one is applied. If the
    // last change removed the row, the configuration in force stays.
    const row = rows.findLast(({ key }) => key === this.parts.source.key)
    if (row?.value !== undefined) this.apply(row.value)
  }

  private observeEvacuations(rows: readonly ChangedRow[], isWhole: boolean): void {
    const present = new Set<string>()
    for (const { key, value } of rows) {
      const failureDomain = this.parts.source.readEvacuation(key)
      if (failureDomain === undefined) continue
      if (value === undefined) this.restore(failureDomain)
      else this.evacuate(failureDomain)
      present.add(failureDomain)
    }
    if (!isWhole) return
    // The change history was lost or never read: a missing row was removed in the meantime.
    const missing = this.evacuations.filter(failureDomain => !present.has(failureDomain))
    for (const failureDomain of missing) this.restore(failureDomain)
  }

  private evacuate(failureDomain: string): void {
    if (this.evacuated.has(failureDomain)) return
    this.evacuated.add(failureDomain)
    this.parts.onEvacuation(failureDomain, true)
  }

  private restore(failureDomain: string): void {
    if (this.evacuated.delete(failureDomain)) this.parts.onEvacuation(failureDomain, false)
  }

  private apply(value: string): void {
    const configuration = this.parse(value)
    if (configuration === undefined) return
    const before = this.known?.version ?? NO_VERSION
    // The feed may be read again from an older point; the version in force never goes back.
    if (configuration.version <= before) return
    this.known = new RouteTable(configuration)
    this.parts.onConfiguration(this.known, before)
  }

  private parse(value: string): GatewayConfiguration | undefined {
    try {
      return this.parts.source.parse(value)
    } catch (thrown) {
      this.parts.onRefused(String(thrown).slice(0, LONGEST_DETAIL))
      return undefined
    }
  }
}
