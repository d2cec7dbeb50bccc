/**
 * The operator's word as this instance follows it: the configuration, and the failure domains that are being
 * emptied. Owns both; neither goes back to an older version when history is read again.
 */

import { RouteTable } from '@rackwalk/router'
import type { GatewayConfiguration } from '@rackwalk/router'
import type { ChangedRow } from '@rackwalk/stores'
import type { PlatformAdapter } from './platformAdapter.js'

/** What follows a change. */
export interface ActiveConfigurationParts {
  readonly source: PlatformAdapter['configuration']
  /** A newer version is in force. */
  readonly onConfiguration: (routes: RouteTable, before: number) => void
  /** Nothing new may be sent to a failure domain, or it may be used again. */
  readonly onEvacuation: (failureDomain: string, isEvacuated: boolean) => void
  /** A document that is no configuration; the version before stays in force. */
  readonly onRefused: (detail: string) => void
}

/** Longest text of a fault that is told. */
const LONGEST_DETAIL = 500
/** What is known before the first version. */
const NO_VERSION = -1

/** Follows the rows in which the operator says what is in force. */
export class ActiveConfiguration {
  private known: RouteTable | undefined
  private readonly evacuated = new Set<string>()

  constructor(private readonly parts: ActiveConfigurationParts) {}

  /** Undefined until one is known. */
  get routes(): RouteTable | undefined {
    return this.known
  }

  /** Failure domains that are being emptied. */
  get evacuations(): readonly string[] {
    return [...this.evacuated]
  }

  /** Takes in rows as they now are; with `isWhole` they are all that there are. */
  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    this.observeEvacuations(rows, isWhole)
    // A feed that was behind gives every version that it missed, oldest first.
    const row = rows.findLast(({ key }) => key === this.parts.source.key)
    if (row?.value !== undefined) this.take(row.value)
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
    // History was lost, or was never seen: a row that is not there was taken away meanwhile.
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

  private take(value: string): void {
    const configuration = this.parse(value)
    if (configuration === undefined) return
    const before = this.known?.version ?? NO_VERSION
    // History may be read again from an older point: what is in force never goes back.
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
