/**
 * The operator's word as this instance follows it: the configuration, and the failure domains that are being
 * emptied. Owns both; neither goes back to an older version when history is read again.
 */

import { RouteTable } from '@rackwalk/router'
import type { GatewayConfiguration } from '@rackwalk/router'
import type { ChangedRow } from '@rackwalk/stores'
import type { PlatformAdapter } from './platformAdapter.js'

/** What follows a change. */
export interface ConfigurationInForceParts {
  readonly source: PlatformAdapter['configuration']
  /** A newer version is in force. */
  readonly onConfiguration: (routes: RouteTable, before: number) => void
  /** A document that is no configuration; the version before stays in force. */
  readonly onRefused: (detail: string) => void
}

/** Longest text of a fault that is told. */
const LONGEST_DETAIL = 500
/** What is known before the first version. */
const NO_VERSION = -1

/** Follows the rows in which the operator says what is in force. */
export class ConfigurationInForce {
  private known: RouteTable | undefined

  constructor(private readonly parts: ConfigurationInForceParts) {}

  /** Undefined until one is known. */
  get routes(): RouteTable | undefined {
    return this.known
  }

  /** Takes in rows as they now are. */
  observe(rows: readonly ChangedRow[]): void {
    // A feed that was behind gives every version that it missed, oldest first.
    const row = rows.findLast(({ key }) => key === this.parts.source.key)
    if (row?.value !== undefined) this.take(row.value)
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
