/**
 * Monitors the instance's own service: the age of the rows that it serves by, and the teams that it serves almost
 * nothing. Owns both monitors; reports their changes to the telemetry.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ContactAges } from '@rackwalk/decisions'
import type { Gateway, GatewayRecord } from '@rackwalk/router'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { StalenessMonitor, stalenessFields, reachabilityFields } from './stalenessMonitor.js'
import type { MonitoredTable } from './stalenessMonitor.js'
import { StarvationMonitor } from './starvationMonitor.js'

/** What the monitors need. */
export interface InstanceHealthParts {
  readonly clock: Clock
  readonly telemetry: GatewayTelemetry
  readonly gateway: Pick<Gateway, 'admissionState' | 'inFlight'>
  /** Tables whose changes have to take effect within a bound, by name. */
  readonly tables: ReadonlyMap<string, MonitoredTable>
  readonly reachability: () => ContactAges
}

/** The health monitors of one instance. */
export class InstanceHealth {
  private readonly staleness: StalenessMonitor
  private readonly starvation: StarvationMonitor

  constructor(private readonly parts: InstanceHealthParts) {
    const { clock, telemetry, tables, reachability } = parts
    this.staleness = new StalenessMonitor({
      clock,
      tables,
      reachability,
      onChange: change => telemetry.note('knowledge_state', stalenessFields(change)),
      onFault: error => telemetry.noteFault(error),
    })
    this.starvation = new StarvationMonitor({
      clock,
      ownState: () => this.ownState(),
      onChange: (event, fields) => telemetry.note(event, fields),
      onUnserved: (team, code) => telemetry.noteStarvedRequest(team, code),
    })
  }

  start(): void {
    this.staleness.start()
    this.starvation.start()
  }

  stop(): void {
    this.staleness.stop()
    this.starvation.stop()
  }

  /** Throws `NotRunError` if requests have to be refused because a table's rows are too old. */
  checkStaleness(): void {
    this.staleness.check()
  }

  /** Whether the age of a table's rows is within its staleness bound; false for a table without a bound. */
  isFresh(table: string): boolean {
    const monitored = this.parts.tables.get(table)
    return monitored !== undefined && this.age(table) <= monitored.boundMilliseconds
  }

  /** Age of a table's rows; infinite for a table without a staleness bound. */
  age(table: string): Milliseconds {
    return this.parts.tables.get(table)?.mirror.age ?? Number.POSITIVE_INFINITY
  }

  /** A request has ended. */
  noteRecord(record: GatewayRecord): void {
    this.starvation.noteRecord(record)
  }

  /** Number of teams that are served almost nothing here. */
  get starvedTeams(): number {
    return this.starvation.size
  }

  private ownState(): Readonly<Record<string, unknown>> {
    const { gateway, tables, reachability } = this.parts
    const ages = [...tables.values()].map(({ mirror }) => mirror.age)
    return {
      inFlight: gateway.inFlight,
      ...gateway.admissionState,
      knowledgeAgeMilliseconds: Math.round(Math.max(0, ...ages)),
      ...reachabilityFields(reachability()),
    }
  }
}
