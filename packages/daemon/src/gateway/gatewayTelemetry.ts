/**
 * What an instance reports about itself to operators: log lines, counts of events and of malformed input, and metrics.
 * Owns the logger, the batch of changes (state changes that share a log line) and, once the parts that the gauges read
 * exist, the metrics. Events before that are logged but not counted.
 */

import { RESULT_TABLE, ResultCode } from '@rackwalk/shared'
import type { Bytes, Clock, TeamId } from '@rackwalk/shared'
import type { Takeover } from '@rackwalk/coordination'
import type { RowAddress } from '@rackwalk/stores'
import type {
  EndpointCrash,
  GatewayRecord,
  RefusedBodyCounters,
  RefusedBodyOutcome,
} from '@rackwalk/router'
import type { AcceptQueueObserver } from '../callers/acceptQueue.js'
import { BoundedLogger } from '../observe/boundedLogger.js'
import type { DroppedLine } from '../observe/boundedLogger.js'
import { ChangeBatch } from '../observe/changeBatch.js'
import type { UnparsedRefusal } from '../observe/httpAnswer.js'
import { JsonLogger } from '../observe/logger.js'
import type { Logger } from '../observe/logger.js'
import { MalformedInputLog } from '../observe/malformedInputLog.js'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewayGauges } from './gatewayMetrics.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { claimsNotExecuted } from '@rackwalk/decisions'
import { notRunCause } from '@rackwalk/router'
import { requestLogFields } from './requestLogFields.js'

type Fields = Readonly<Record<string, unknown>>

/** Creates the telemetry of an instance; without a logger, with a log that has the rate limit of the settings. */
export function createTelemetry(
  { log, instance }: GatewaySettings,
  clock: Clock,
  logger?: Logger,
): GatewayTelemetry {
  const inner = new JsonLogger(log.level, instance.id)
  const onDropped: DroppedLine = (event, fields) => telemetry.noteDroppedLine(event, fields)
  const bounded = new BoundedLogger(inner, clock, log.linesPerSecond, onDropped)
  const telemetry: GatewayTelemetry = new GatewayTelemetry(logger ?? bounded)
  return telemetry
}

/** Counts and logs what an instance does and detects. */
export class GatewayTelemetry implements RefusedBodyCounters, AcceptQueueObserver {
  /** Undefined until all parts that the gauges read exist. */
  private metrics: GatewayMetrics | undefined
  private readonly malformed: MalformedInputLog
  private readonly changes: ChangeBatch

  constructor(private readonly logger: Logger) {
    this.malformed = new MalformedInputLog(logger, () => this.count('malformed_form'))
    this.changes = new ChangeBatch((event, fields) => logger.info(event, fields))
  }

  /** Creates the metrics, from which point events are counted; call it once. */
  createMetrics(gauges: GatewayGauges): GatewayMetrics {
    this.metrics = new GatewayMetrics(gauges)
    return this.metrics
  }

  /** Counts an event and logs a line for it. */
  note(event: string, fields: Fields): void {
    this.count(event)
    this.logger.info(event, fields)
  }

  /** Counts a state change of one of many objects; changes that occur together share a log line. */
  noteChange(event: string, kind: string, fields: Fields): void {
    this.count(event)
    this.changes.note(event, { kind, fields })
  }

  /** An instance appeared, or began to drain. */
  noteMemberState(member: string, state: string): void {
    this.noteChange('member_state', state, { member, state })
  }

  /** The holding (prepaid tokens that an instance may spend) of a terminated instance was closed. */
  noteTakeover(budget: string, takeover: Takeover): void {
    this.metrics?.noteTakeover(budget, takeover)
  }

  /** An internal error: the operation that failed is abandoned and the process continues. */
  noteFault(error: unknown): void {
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error)
    this.count('fault')
    this.logger.warn('fault', { detail })
  }

  noteMalformed(input: MalformedInput): void {
    this.malformed.note(input)
  }

  noteMalformedRow({ table, partition, key }: RowAddress): void {
    this.malformed.note({ form: 'row', source: `${table}/${partition}/${key}` })
  }

  /** A request has ended. */
  noteRecord(record: GatewayRecord): void {
    this.metrics?.noteRecord(record)
    const isServed = record.code === ResultCode.Ok
    const notRun = notRunCause(record)
    if (notRun !== undefined) this.metrics?.noteNotRun(notRun)
    this.logger[isServed ? 'info' : 'warn']('request', { ...requestLogFields(record), notRun })
  }

  /** A connection was refused on which no request was parsed. */
  noteUnparsed({ code, cause, caller }: UnparsedRefusal): void {
    const status = RESULT_TABLE[code].httpStatus
    if (!claimsNotExecuted(status)) return
    this.metrics?.noteNotRun('not-parsed')
    this.logger.warn('unparsed_request', { status, code, cause, caller, notRun: 'not-parsed' })
  }

  /** A line was dropped because of the limit on lines per second. */
  noteDroppedLine(event: string, { notRun }: Fields): void {
    this.metrics?.noteDroppedLine(event, notRun !== undefined)
  }

  /**
   * An endpoint crashed. Names the requests that it had not begun to answer; `informedPeers` is the number of
   * instances that the crash is broadcast to.
   */
  noteEndpointCrash({ endpoint, signs, unanswered }: EndpointCrash, informedPeers: number): void {
    const { id, service } = endpoint
    this.metrics?.noteEndpointCrash(service)
    const requests = unanswered.map(({ fingerprint }) => fingerprint)
    const parts = [...new Set(unanswered.flatMap(request => request.parts ?? []))]
    const fields = { server: id, service, signs, unanswered: requests, parts, told: informedPeers }
    this.logger.warn('server_ended', fields)
  }

  /** The listener for callers was paused. */
  noteReturned(): void {
    this.metrics?.noteReturned()
  }

  noteListenerPause(): void {
    this.metrics?.noteListenerPause()
  }

  noteAccepted(count: number): void {
    this.metrics?.noteAcceptedConnections(count)
  }

  noteUnaccepted(cause: string): void {
    this.metrics?.noteUnacceptedConnections(cause)
  }

  noteDrainingChange(isTaken: boolean, detail: string): void {
    this.note('waiting_connections', { isTaken, detail })
  }

  /** A request of a team that counts as starved (served almost nothing) was not served. */
  noteStarvedRequest(team: TeamId, code: ResultCode): void {
    this.metrics?.noteStarvedRequest(team, code)
  }

  noteRefusedBody(outcome: RefusedBodyOutcome): void {
    this.metrics?.noteRefusedBody(outcome)
  }

  noteDiscardedBytes(bytes: Bytes): void {
    this.metrics?.noteDiscardedBytes(bytes)
  }

  /** A datagram came from an instance whose row was not read yet. */
  noteUnknownSender(): void {
    this.metrics?.noteUnknownSender()
  }

  noteStoreCall(call: string, table: string, outcome: string): void {
    this.metrics?.noteStoreCall(call, table, outcome)
  }

  private count(event: string): void {
    this.metrics?.noteEvent(event)
  }
}
