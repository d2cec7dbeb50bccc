/**
 * Monitors the age of the operator's and the endpoints' rows by which this instance serves. Queries peers for newer
 * rows before the rows reach their bound, rejects requests while the rows are too old, and reports when that begins and
 * ends. Without the monitor, an instance whose own load delays its copy of the rows would go on serving by revoked
 * keys and deleted routes.
 *
 * Owns the send times of the queries that peers answered; decisions/admitting/configurationStaleness decides when to
 * query and when to reject. All times are in milliseconds.
 */

import { NotRunError, ResultCode, repeat } from '@rackwalk/shared'
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

/** The state in which the instance began or stopped refusing requests because of the age of a table's rows. */
export interface StalenessChange {
  readonly isRefusing: boolean
  /** The table whose rows are too old; if the refusals ended, the table whose rows were. */
  readonly table: string
  readonly rows: RowStaleness
  readonly reachability: ContactAges
}

/**
 * Returns the log fields of a change; an age is undefined, and so omitted from the JSON, if there was no contact yet.
 */
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

/** Returns log fields with the times since the last contact with the store and with peers. */
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
  /** The tables by name; the name of the table that is too old is the detail of a refusal. */
  readonly tables: ReadonlyMap<string, MonitoredTable>
  readonly reachability: () => ContactAges
  /** The instance began or stopped refusing requests because of the age of its rows. */
  readonly onChange: (change: StalenessChange) => void
  readonly onFault: (error: unknown) => void
}

/**
 * Time between two checks. A check sends no query unless rows are old, and a staleness bound of 3 s, the default, spans 15.
 */
const CHECK_INTERVAL_MILLISECONDS = 200
/** Queries sent for a table at each check: a queried peer may be without a connection to the store as well. */
const PEERS_PER_CHECK = 2
/** Limit of the pending queries for a table: more answers would slow down the link whose delay keeps them pending. */
const MAXIMUM_PENDING_QUERIES = 16

/** Keeps an instance from serving by old rows while the store or a peer that may have newer ones is in contact. */
export class StalenessMonitor {
  /**
   * Send time of the newest query that a peer answered, by table. An answer counts whether or not it holds newer rows,
   * since those are applied.
   */
  private readonly confirmedAt = new Map<string, Milliseconds>()
  /** Number of queries that no peer has answered and that have not failed, by table. */
  private readonly pendingQueries = new Map<string, number>()
  private timer: Timer | undefined
  private staleTable: string | undefined

  constructor(private readonly parts: StalenessMonitorParts) {}

  start(): void {
    this.timer = repeat(
      this.parts.clock,
      () => CHECK_INTERVAL_MILLISECONDS,
      () => this.checkTables(),
    )
  }

  stop(): void {
    this.timer?.cancel()
  }

  /** Throws `NotRunError` with `KnowledgeTooOld` if requests have to be refused because a table's rows are too old. */
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

  /** Sends queries without waiting for earlier ones, so that an answer delayed by a full link holds up no query. */
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
