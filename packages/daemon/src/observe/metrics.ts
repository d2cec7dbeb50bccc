/**
 * The metrics of an instance of the OpenAI-style kind. Owns their registry. Names and labels are an interface to
 * operators and must not change by accident.
 */

import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { claimsNotExecuted } from '@rackwalk/decisions'
import { RESULT_TABLE, ResultCode, resultName } from '@rackwalk/shared'
import type { Bytes } from '@rackwalk/shared'
import type { CounterName, Counters } from '@rackwalk/coordination'
import type { DecisionRecord, RefusedBodyCounters, RefusedBodyOutcome } from '@rackwalk/router'

const FIRST_BYTE_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.69, 1, 2, 5, 10, 30]
const TOTAL_BUCKETS = [0.05, 0.2, 1, 5, 15, 60, 300, 600]

/**
 * Why a caller was told that its request has not run: no request was parsed in time, too many connections were open, the
 * request was refused before any attempt, or its attempts got no connection or a refusal.
 */
type NotRunCause = 'not-parsed' | 'too-many-connections' | 'not-attempted' | 'attempts'

/** Values that are read when the metrics are scraped. */
export interface GaugeSources {
  readonly inFlight: () => number
  readonly queued: () => number
  readonly journalBacklog: () => number
  readonly liveInstances: () => number
  readonly configurationRevision: () => number
  readonly serving: () => number
  readonly crashingRequests: () => number
}

/** The metrics of one instance, in their own registry. */
export class Metrics implements Counters, RefusedBodyCounters {
  readonly registry = new Registry()
  private readonly coordination: Counter
  private readonly requests: Counter
  private readonly answers: Counter
  private readonly notRunAnswers: Counter
  private readonly retries: Counter
  private readonly continuations: Counter
  private readonly endpointCrashes: Counter
  private readonly relays: Counter
  private readonly tokens: Counter
  private readonly billed: Counter
  private readonly refusedBodies: Counter
  private readonly discardedBytes: Counter
  private readonly acceptedConnections: Counter
  private readonly unacceptedConnections: Counter
  private readonly firstByte: Histogram
  private readonly total: Histogram

  constructor(withProcessMetrics = true) {
    const registers = [this.registry]
    if (withProcessMetrics) collectDefaultMetrics({ register: this.registry })
    this.coordination = new Counter({
      name: 'rackwalk_coordination_events_total',
      help: 'Events of the coordination parts, by name.',
      labelNames: ['event'],
      registers,
    })
    this.requests = new Counter({
      name: 'rackwalk_requests_total',
      help: 'Requests that ended, by result code.',
      labelNames: ['code', 'result', 'execution'],
      registers,
    })
    this.notRunAnswers = new Counter({
      name: 'rackwalk_not_run_answers_total',
      help: 'Answers that told a caller that its request has not run, by why that was known.',
      labelNames: ['cause'],
      registers,
    })
    this.answers = new Counter({
      name: 'rackwalk_endpoint_answers_total',
      help: 'Answers of endpoints, by framing, by what their reading ended with and by what became of them.',
      labelNames: ['framing', 'end', 'fate'],
      registers,
    })
    this.retries = new Counter({
      name: 'rackwalk_retries_total',
      help: 'Attempts made again after one that may have run.',
      registers,
    })
    this.continuations = new Counter({
      name: 'rackwalk_continued_answers_total',
      help: 'Streamed answers that were cut and with which another engine went on.',
      registers,
    })
    this.relays = new Counter({
      name: 'rackwalk_handed_over_total',
      help: 'Chats handed to other instances since no engine was reached from here, by outcome.',
      labelNames: ['outcome'],
      registers,
    })
    this.endpointCrashes = new Counter({
      name: 'rackwalk_endpoint_ends_total',
      help: 'Endpoints that were seen to end unannounced with unanswered requests from here.',
      registers,
    })
    this.tokens = new Counter({
      name: 'rackwalk_relayed_events_total',
      help: 'Events of streamed answers passed on.',
      registers,
    })
    this.billed = new Counter({
      name: 'rackwalk_billed_tokens_total',
      help: 'Tokens billed.',
      registers,
    })
    this.refusedBodies = new Counter({
      name: 'rackwalk_refused_bodies_total',
      help: 'Bodies of refused requests, by what became of them: read at once, read after a hold, or closed with their connection.',
      labelNames: ['outcome'],
      registers,
    })
    this.discardedBytes = new Counter({
      name: 'rackwalk_refused_body_bytes_total',
      help: 'Bytes of refused bodies that came over the link.',
      registers,
    })
    this.acceptedConnections = new Counter({
      name: 'rackwalk_taken_connections_total',
      help: 'Connections that waited before the listener for callers as it closed, and were taken and served.',
      registers,
    })
    this.unacceptedConnections = new Counter({
      name: 'rackwalk_untaken_connections_total',
      help: "Times that connections which waited as the listener for callers closed may have been reset, by cause: the system's word of an error, library, many or descriptor.",
      labelNames: ['cause'],
      registers,
    })
    this.firstByte = new Histogram({
      name: 'rackwalk_first_byte_seconds',
      help: 'Time from the arrival of a request to the first byte of its answer.',
      buckets: FIRST_BYTE_BUCKETS,
      registers,
    })
    this.total = new Histogram({
      name: 'rackwalk_request_seconds',
      help: 'Time from the arrival of a request to its end.',
      buckets: TOTAL_BUCKETS,
      registers,
    })
  }

  increment(name: CounterName, amount = 1): void {
    this.coordination.inc({ event: name }, amount)
  }

  noteRelay(outcome: string): void {
    this.relays.inc({ outcome })
  }

  noteEndpointCrash(): void {
    this.endpointCrashes.inc()
  }

  noteRefusedBody(outcome: RefusedBodyOutcome): void {
    this.refusedBodies.inc({ outcome })
  }

  noteDiscardedBytes(bytes: Bytes): void {
    this.discardedBytes.inc(bytes)
  }

  noteAcceptedConnections(count: number): void {
    this.acceptedConnections.inc(count)
  }

  noteUnacceptedConnections(cause: string): void {
    this.unacceptedConnections.inc({ cause })
  }

  noteRetry(): void {
    this.retries.inc()
  }

  noteContinuation(): void {
    this.continuations.inc()
  }

  noteTokens(tokens: number): void {
    this.tokens.inc(tokens)
  }

  /** A caller was told that its request has not run. */
  noteNotRun(cause: NotRunCause): void {
    this.notRunAnswers.inc({ cause })
  }

  noteRecord(record: DecisionRecord): void {
    const code = record.code ?? ResultCode.Internal
    const execution = record.execution ?? 'unknown'
    this.requests.inc({ code: String(code), result: resultName(code), execution })
    if (isNotRunAnswer(code)) {
      this.noteNotRun(record.routing.length === 0 ? 'not-attempted' : 'attempts')
    }
    for (const { answer } of record.routing) {
      if (answer !== undefined) this.answers.inc({ ...answer })
    }
    this.billed.inc(record.billedTokens ?? 0)
    if (record.firstByteMilliseconds !== undefined) {
      this.firstByte.observe(record.firstByteMilliseconds / 1000)
    }
    this.total.observe((record.totalMilliseconds ?? 0) / 1000)
  }

  /** Adds the gauges, whose values other parts own. */
  observe(sources: GaugeSources): void {
    this.gauge('rackwalk_requests_in_flight', 'Requests in progress.', sources.inFlight)
    this.gauge('rackwalk_requests_queued', 'Requests waiting for an endpoint.', sources.queued)
    this.gauge(
      'rackwalk_journal_backlog_entries',
      'Journal entries not yet in the table.',
      sources.journalBacklog,
    )
    this.gauge(
      'rackwalk_live_instances',
      'Instances heard of lately, this one included.',
      sources.liveInstances,
    )
    this.gauge(
      'rackwalk_configuration_revision',
      'Configuration revision in force here.',
      sources.configurationRevision,
    )
    this.gauge(
      'rackwalk_crashing_requests',
      'Requests that are refused since endpoints ended as they began to run them.',
      sources.crashingRequests,
    )
    this.gauge('rackwalk_serving', '1 while new requests may begin here.', sources.serving)
  }

  private gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: (): void => gauge.set(read()),
    })
  }
}

/** Whether the error with this code tells its caller that the request has not run. */
function isNotRunAnswer(code: ResultCode): boolean {
  const { execution, httpStatus } = RESULT_TABLE[code]
  return execution === 'not-run' && claimsNotExecuted(httpStatus)
}
