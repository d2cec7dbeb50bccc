/**
 * Monitors the age of the rows by which this instance serves, and queries peers before the rows are too old. Owns the
 * times of the peers' last answers; the rule is in decisions/admitting/configurationStaleness.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Clock, Milliseconds, Timer } from '@rackwalk/shared'
import {
  confirmationLifetime,
  isTooStale,
  toRetryAfterSeconds,
  shouldAskPeers,
} from '@rackwalk/decisions'
import type { RowStaleness, ContactAges } from '@rackwalk/decisions'
import type { TableMirror } from '@rackwalk/coordination'
import type { GatewaySettings } from './gatewaySettings.js'
import type { PlatformAdapter } from './platformAdapter.js'

/** A table whose changes have to take effect within a bound. */
export interface MonitoredTable {
  readonly mirror: TableMirror
  readonly boundMilliseconds: Milliseconds
}

/** Returns the tables whose changes have to take effect within a bound, by name. */
export function monitoredTables(
  { configuration, endpoints }: Pick<PlatformAdapter, 'configuration' | 'endpoints'>,
  mirrors: ReadonlyMap<string, TableMirror>,
  { configurationMilliseconds, endpointsMilliseconds }: GatewaySettings['freshness'],
): ReadonlyMap<string, MonitoredTable> {
  const bounds: readonly [string, Milliseconds][] = [
    [configuration.table, configurationMilliseconds],
    [endpoints.table, endpointsMilliseconds],
  ]
  const tables = bounds.flatMap(([table, boundMilliseconds]) => {
    const mirror = mirrors.get(table)
    return mirror === undefined ? [] : [[table, { mirror, boundMilliseconds }] as const]
  })
  return new Map(tables)
}

/** The state on which the instance began or stopped refusing requests. */
export interface StalenessChange {
  readonly isRefusing: boolean
  readonly table: string
  readonly rows: RowStaleness
  readonly reachability: ContactAges
}

/** Fields of the log line about such a change; an infinite age is omitted from its JSON. */
export function stalenessFields(change: StalenessChange): Readonly<Record<string, unknown>> {
  const { isRefusing, table, rows, reachability } = change
  return {
    isRefusing,
    table,
    ageMilliseconds: finite(rows.ageMilliseconds),
    ...reachabilityFields(reachability),
    peerConfirmedAgoMilliseconds: finite(rows.confirmedAgoMilliseconds),
  }
}

/** Fields of a log line about the last contact with the store and with peers. */
export function reachabilityFields({
  answeredAgoMilliseconds,
  heardAgoMilliseconds,
}: ContactAges): Readonly<Record<string, unknown>> {
  return {
    storeAnsweredAgoMilliseconds: finite(answeredAgoMilliseconds),
    peerHeardAgoMilliseconds: finite(heardAgoMilliseconds),
  }
}

function finite(milliseconds: Milliseconds): Milliseconds | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined
}

/** What the monitor needs. */
export interface StalenessMonitorParts {
  readonly clock: Clock
  /** By name, which is used as the detail of a refusal. */
  readonly tables: ReadonlyMap<string, MonitoredTable>
  readonly reachability: () => ContactAges
  /** The instance began or stopped refusing requests because of the age of its rows. */
  readonly onChange: (change: StalenessChange) => void
  readonly onFault: (error: unknown) => void
}

/** Time between two checks. A check costs no call unless rows are old, and a staleness bound spans ten of them. */
const CHECK_INTERVAL_MILLISECONDS = 200
/** Peers queried at each check: one of them may be cut off from the store as well. */
const PEERS_PER_CHECK = 2
/** Most queries for a table that are pending at a time: their answers share the link that delays them. */
const MAXIMUM_PENDING_QUERIES = 16

/** Keeps an instance from serving by rows that are too old through its own fault. */
export class StalenessMonitor {
  /** Send time of the newest query that a peer answered, by table. */
  private readonly confirmedAt = new Map<string, Milliseconds>()
  /** Number of pending queries, by table. */
  private readonly pendingQueries = new Map<string, number>()
  private timer: Timer | undefined
  private staleTable: string | undefined

  constructor(private readonly parts: StalenessMonitorParts) {}

  start(): void {
    this.timer = this.parts.clock.after(CHECK_INTERVAL_MILLISECONDS, () => {
      this.checkTables()
      this.start()
    })
  }

  stop(): void {
    this.timer?.cancel()
  }

  /** Throws if no request may be served because the known rows are too old. */
  check(): void {
    const table = this.findStaleTable()
    if (table === undefined) return
    throw new NotRunError(ResultCode.KnowledgeTooOld, table, toRetryAfterSeconds(undefined))
  }

  private checkTables(): void {
    for (const [name, monitored] of this.parts.tables) {
      if (monitored.mirror.isLoaded && shouldAskPeers(this.stalenessOf(name, monitored))) {
        this.queryPeers(name, monitored)
      }
    }
    this.reportChange(this.findStaleTable())
  }

  private reportChange(table: string | undefined): void {
    if (table === this.staleTable) return
    const name = table ?? this.staleTable ?? ''
    this.staleTable = table
    const monitored = this.parts.tables.get(name)
    if (monitored === undefined) return
    this.parts.onChange({
      isRefusing: table !== undefined,
      table: name,
      rows: this.stalenessOf(name, monitored),
      reachability: this.parts.reachability(),
    })
  }

  /** Queries overlap, so that one query that waits behind a full link does not hold up the next. */
  private queryPeers(name: string, { mirror, boundMilliseconds }: MonitoredTable): void {
    for (let query = 0; query < PEERS_PER_CHECK; query += 1) {
      const pending = this.pendingQueries.get(name) ?? 0
      if (pending >= MAXIMUM_PENDING_QUERIES) return
      this.pendingQueries.set(name, pending + 1)
      this.trackAnswer(name, mirror.askPeers(confirmationLifetime(boundMilliseconds)))
    }
  }

  private trackAnswer(name: string, answer: Promise<boolean>): void {
    const sentAt = this.parts.clock.sinceStart()
    answer
      .then(isAnswered => {
        if (isAnswered) this.noteConfirmed(name, sentAt)
      })
      .catch((error: unknown) => this.parts.onFault(error))
      .finally(() => this.pendingQueries.set(name, (this.pendingQueries.get(name) ?? 1) - 1))
  }

  private noteConfirmed(name: string, sentAt: Milliseconds): void {
    const before = this.confirmedAt.get(name) ?? Number.NEGATIVE_INFINITY
    this.confirmedAt.set(name, Math.max(before, sentAt))
  }

  private findStaleTable(): string | undefined {
    const reachability = this.parts.reachability()
    for (const [name, monitored] of this.parts.tables) {
      // A table that was never read is skipped: the instance is not ready until it is loaded.
      if (!monitored.mirror.isLoaded) continue
      if (isTooStale(this.stalenessOf(name, monitored), reachability)) return name
    }
    return undefined
  }

  private stalenessOf(name: string, { mirror, boundMilliseconds }: MonitoredTable): RowStaleness {
    const confirmedAt = this.confirmedAt.get(name) ?? Number.NEGATIVE_INFINITY
    const confirmedAgoMilliseconds = this.parts.clock.sinceStart() - confirmedAt
    return { ageMilliseconds: mirror.age, boundMilliseconds, confirmedAgoMilliseconds }
  }
}
