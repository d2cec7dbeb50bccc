/**
 * The metrics of a gateway instance. Owns their registry. Names and labels are an interface to operators and must not
 * change by accident.
 */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { outcomeLabel } from '@rackwalk/decisions'
import { RESULT_TABLE, ResultCode, resultName } from '@rackwalk/shared'
import type { Bytes, TeamId } from '@rackwalk/shared'
import type { Takeover } from '@rackwalk/coordination'
import type { AnswerRecord, GatewayRecord, NotRunCause, RefusedBodyOutcome } from '@rackwalk/router'

/** Upper bounds of histogram buckets for the time to the first byte of an answer, in seconds. */
const FIRST_BYTE_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 2, 5, 10]
/** Upper bounds of histogram buckets for the longest pause between two events of a stream, in seconds. */
const PAUSE_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5]
/** Upper bounds of histogram buckets for the total time of a request, in seconds. */
const TOTAL_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15, 60]

/** Values that are read when the metrics are scraped. */
export interface GatewayGauges {
  readonly inFlight: () => number
  readonly instances: () => number
  readonly activeInstances: () => number
  readonly sharers: () => number
  readonly recordIntervalSeconds: () => number
  readonly active: () => number
  readonly abandonedShare: () => number
  readonly refusedShare: () => number
  readonly listening: () => number
  readonly endpoints: () => number
  readonly coldEndpoints: () => number
  readonly rateLimitedEndpoints: () => number
  readonly backingOffEndpoints: () => number
  readonly rejectionSensitiveServices: () => number
  readonly crashingRequests: () => number
  readonly evacuatedDomains: () => number
  readonly evacuatedInFlight: () => number
  readonly configurationVersion: () => number
  readonly ready: () => number
  readonly storeAge: () => number
  readonly starvedTeams: () => number
  readonly shortBudgets: () => number
  readonly callerConnections: () => number
}

/** The metrics of one gateway instance. */
export class GatewayMetrics {
  readonly registry = new Registry()
  private readonly requests: Counter
  private readonly teamRequests: Counter
  private readonly notRunAnswers: Counter
  private readonly droppedLines: Counter
  private readonly starvedRequests: Counter
  private readonly lateAnswers: Counter
  private readonly attempts: Counter
  private readonly answers: Counter
  private readonly relays: Counter
  private readonly resumedStreams: Counter
  private readonly withheldBytes: Counter
  private readonly endpointCrashes: Counter
  private readonly reservations: Counter
  private readonly tokens: Counter
  private readonly assumedTokens: Counter
  private readonly events: Counter
  private readonly storeCalls: Counter
  private readonly listenerPauses: Counter
  private readonly returnedRequests: Counter
  private readonly acceptedConnections: Counter
  private readonly unacceptedConnections: Counter
  private readonly unknownSenders: Counter
  private readonly refusedBodies: Counter
  private readonly discardedBytes: Counter
  private readonly firstByte: Histogram
  private readonly total: Histogram
  private readonly longestPause: Histogram

  constructor(gauges: GatewayGauges) {
    const registers = [this.registry]
    this.requests = new Counter({
      name: 'rackwalk_gateway_requests_total',
      help: 'Requests that ended, by result code and route.',
      labelNames: ['code', 'result', 'route'],
      registers,
    })
    this.teamRequests = new Counter({
      name: 'rackwalk_gateway_team_requests_total',
      help: 'Requests that ended, by tenant: served, refused (not run) or failed.',
      labelNames: ['tenant', 'outcome'],
      registers,
    })
    this.starvedRequests = new Counter({
      name: 'rackwalk_gateway_starved_requests_total',
      help: 'Requests of teams that are served next to nothing here that were not served, by tenant and code.',
      labelNames: ['tenant', 'code'],
      registers,
    })
    this.lateAnswers = new Counter({
      name: 'rackwalk_gateway_late_answers_total',
      help: 'Answers that came late, by tenant and by what was late: first-byte or pause.',
      labelNames: ['tenant', 'cause'],
      registers,
    })
    this.attempts = new Counter({
      name: 'rackwalk_gateway_attempts_total',
      help: 'Requests sent to servers, by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    })
    this.answers = new Counter({
      name: 'rackwalk_gateway_answers_total',
      help: 'Answers whose bodies were read for callers, by how they tell their end and by what they ended with.',
      labelNames: ['framing', 'end'],
      registers,
    })
    this.relays = new Counter({
      name: 'rackwalk_gateway_relays_total',
      help: 'Requests handed to other instances since this one reached no server, or taken from others, by direction and outcome.',
      labelNames: ['direction', 'outcome'],
      registers,
    })
    this.resumedStreams = new Counter({
      name: 'rackwalk_gateway_resumed_streams_total',
      help: 'Streams that callers took up again, by how it was known where they began.',
      labelNames: ['origin'],
      registers,
    })
    this.withheldBytes = new Counter({
      name: 'rackwalk_gateway_withheld_bytes_total',
      help: 'Bytes of answers that came and did not go to their callers, by what the answers ended with.',
      labelNames: ['end'],
      registers,
    })
    this.endpointCrashes = new Counter({
      name: 'rackwalk_gateway_server_ends_total',
      help: 'Servers that were seen to end unannounced with unanswered requests from here, by service.',
      labelNames: ['service'],
      registers,
    })
    this.reservations = new Counter({
      name: 'rackwalk_gateway_reservations_total',
      help: 'Reservations of prepaid tokens, by outcome.',
      labelNames: ['outcome'],
      registers,
    })
    this.tokens = new Counter({
      name: 'rackwalk_gateway_spent_tokens_total',
      help: 'Prepaid tokens handed out, by tenant.',
      labelNames: ['tenant'],
      registers,
    })
    this.assumedTokens = new Counter({
      name: 'rackwalk_gateway_assumed_spent_tokens_total',
      help: 'Prepaid tokens that count as spent since a dead instance may have handed them out, by tenant and part: reserved by requests in progress, written ahead, or allowed by its last row.',
      labelNames: ['tenant', 'part'],
      registers,
    })
    this.events = new Counter({
      name: 'rackwalk_gateway_events_total',
      help: 'Changes of what the process believes, by name.',
      labelNames: ['event'],
      registers,
    })
    this.storeCalls = new Counter({
      name: 'rackwalk_gateway_store_calls_total',
      help: 'Calls to the store, by call, table and outcome.',
      labelNames: ['call', 'table', 'outcome'],
      registers,
    })
    this.listenerPauses = new Counter({
      name: 'rackwalk_gateway_listener_pauses_total',
      help: 'Times that the listener for callers was closed for a moment, so that callers turn to other instances.',
      registers,
    })
    this.returnedRequests = new Counter({
      name: 'rackwalk_gateway_returned_requests_total',
      help: 'Requests that this instance had refused and whose callers came back when they were told to.',
      registers,
    })
    this.acceptedConnections = new Counter({
      name: 'rackwalk_gateway_taken_connections_total',
      help: 'Connections that waited before the listener for callers as it closed, and were taken and served.',
      registers,
    })
    this.unacceptedConnections = new Counter({
      name: 'rackwalk_gateway_untaken_connections_total',
      help: "Times that connections which waited as the listener for callers closed may have been reset, by cause: the system's word of an error, library, many or descriptor.",
      labelNames: ['cause'],
      registers,
    })
    this.unknownSenders = new Counter({
      name: 'rackwalk_gateway_unknown_senders_total',
      help: 'Datagrams from instances whose rows have not been read here yet.',
      registers,
    })
    this.refusedBodies = new Counter({
      name: 'rackwalk_gateway_refused_bodies_total',
      help: 'Bodies of refused requests, by what became of them: read at once, read after a hold, or closed with their connection.',
      labelNames: ['outcome'],
      registers,
    })
    this.discardedBytes = new Counter({
      name: 'rackwalk_gateway_refused_body_bytes_total',
      help: 'Bytes of refused bodies that came over the link.',
      registers,
    })
    this.notRunAnswers = new Counter({
      name: 'rackwalk_gateway_not_run_answers_total',
      help: 'Answers that told a caller that its request has not run (408, 421, 429 or 503), by why that was known.',
      labelNames: ['cause'],
      registers,
    })
    this.droppedLines = new Counter({
      name: 'rackwalk_gateway_dropped_lines_total',
      help: 'Log lines dropped by the bound on lines a second, by event, and whether a caller was told "not run".',
      labelNames: ['event', 'notRun'],
      registers,
    })
    this.firstByte = new Histogram({
      name: 'rackwalk_gateway_first_byte_seconds',
      help: 'Time from the arrival of a request to the first byte of its answer.',
      buckets: FIRST_BYTE_BUCKETS,
      registers,
    })
    this.longestPause = new Histogram({
      name: 'rackwalk_gateway_longest_pause_seconds',
      help: 'Longest pause between two events of a stream, by route.',
      labelNames: ['route'],
      buckets: PAUSE_BUCKETS,
      registers,
    })
    this.total = new Histogram({
      name: 'rackwalk_gateway_request_seconds',
      help: 'Time from the arrival of a request to its end.',
      buckets: TOTAL_BUCKETS,
      registers,
    })
    this.observe(gauges)
  }

  noteRecord(record: GatewayRecord): void {
    const code = record.code ?? ResultCode.Internal
    const route = record.route ?? 'none'
    this.requests.inc({ code: String(code), result: resultName(code), route })
    for (const { outcome, longestPause, answer } of record.attempts) {
      this.attempts.inc({ service: record.service ?? 'none', outcome: outcomeLabel(outcome) })
      if (answer !== undefined) this.noteAnswer(answer)
      if (longestPause !== undefined) {
        this.longestPause.observe({ route }, longestPause.milliseconds / 1000)
      }
    }
    if (record.reservation !== undefined) this.reservations.inc({ outcome: record.reservation })
    this.noteResumption(record)
    this.noteRelays(record, code)
    this.noteTeam(record, code)
    if (record.firstByteMilliseconds !== undefined) {
      this.firstByte.observe(record.firstByteMilliseconds / 1000)
    }
    this.total.observe((record.totalMilliseconds ?? 0) / 1000)
  }

  private noteResumption({ originSource }: GatewayRecord): void {
    if (originSource !== undefined) this.resumedStreams.inc({ origin: originSource })
  }

  private noteRelays({ relays, relayedBy }: GatewayRecord, code: ResultCode): void {
    for (const { outcome } of relays) {
      this.relays.inc({ direction: 'handed', outcome: outcome?.kind ?? 'sent' })
    }
    if (relayedBy !== undefined) this.relays.inc({ direction: 'taken', outcome: teamOutcome(code) })
  }

  private noteAnswer({ framing, end, withheldBytes }: AnswerRecord): void {
    this.answers.inc({ framing, end })
    this.withheldBytes.inc({ end }, withheldBytes)
  }

  private noteTeam({ team, spent, lateness }: GatewayRecord, code: ResultCode): void {
    if (team === undefined) return
    if (lateness !== undefined) this.lateAnswers.inc({ tenant: team, cause: lateness })
    this.teamRequests.inc({ tenant: team, outcome: teamOutcome(code) })
    this.tokens.inc({ tenant: team }, spent ?? 0)
  }

  /** Counts tokens that a terminated instance may or may not have spent. */
  noteTakeover(team: string, { reserved, ahead, allowed }: Takeover): void {
    for (const [part, tokens] of Object.entries({ reserved, ahead, allowed })) {
      // A counter throws on a negative value, and the row may come from another writer.
      this.assumedTokens.inc({ tenant: team, part }, Math.max(0, tokens))
    }
  }

  /** A caller was told that its request has not run. */
  noteNotRun(cause: NotRunCause | 'not-parsed'): void {
    this.notRunAnswers.inc({ cause })
  }

  noteDroppedLine(event: string, isNotRun: boolean): void {
    this.droppedLines.inc({ event, notRun: isNotRun ? 'yes' : 'no' })
  }

  /** A request of a team that counts as starved (served almost nothing) was not served. */
  noteStarvedRequest(team: TeamId, code: ResultCode): void {
    this.starvedRequests.inc({ tenant: team, code: String(code) })
  }

  noteRefusedBody(outcome: RefusedBodyOutcome): void {
    this.refusedBodies.inc({ outcome })
  }

  noteDiscardedBytes(bytes: Bytes): void {
    this.discardedBytes.inc(bytes)
  }

  noteEndpointCrash(service: string): void {
    this.endpointCrashes.inc({ service })
  }

  noteEvent(event: string): void {
    this.events.inc({ event })
  }

  noteReturned(): void {
    this.returnedRequests.inc()
  }

  noteListenerPause(): void {
    this.listenerPauses.inc()
  }

  noteAcceptedConnections(count: number): void {
    this.acceptedConnections.inc(count)
  }

  noteUnacceptedConnections(cause: string): void {
    this.unacceptedConnections.inc({ cause })
  }

  noteUnknownSender(): void {
    this.unknownSenders.inc()
  }

  noteStoreCall(call: string, table: string, outcome: string): void {
    this.storeCalls.inc({ call, table, outcome })
  }

  private observe(gauges: GatewayGauges): void {
    this.gauge('in_flight', 'Requests in progress.', gauges.inFlight)
    this.gauge('instances', 'Instances that serve, this one included.', gauges.instances)
    this.gauge('active_instances', 'Instances that take callers.', gauges.activeInstances)
    this.gauge('sharers', 'Instances that share bounds of the fleet.', gauges.sharers)
    this.gauge(
      'record_seconds',
      'Time between two records of what was spent of a holding.',
      gauges.recordIntervalSeconds,
    )
    this.gauge('active', '1 while callers are sent here.', gauges.active)
    this.observeEndpoints(gauges)
    this.observeKnowledge(gauges)
  }

  private observeEndpoints(gauges: GatewayGauges): void {
    this.gauge('servers', 'Servers listed.', gauges.endpoints)
    this.gauge(
      'abandoned_share',
      'Share of the requests read in the last second whose callers had left before.',
      gauges.abandonedShare,
    )
    this.gauge(
      'own_refused_share',
      'Share of the requests of the last second that were turned away since this instance could not carry them.',
      gauges.refusedShare,
    )
    this.gauge('listening', '1 while new connections of callers are taken.', gauges.listening)
    this.gauge('cold_servers', 'Servers that warm up.', gauges.coldEndpoints)
    this.gauge(
      'resting_servers',
      'Servers that want nothing from here for now.',
      gauges.backingOffEndpoints,
    )
    this.gauge(
      'limited_servers',
      'Servers that named how many requests they take.',
      gauges.rateLimitedEndpoints,
    )
    this.gauge(
      'crashing_requests',
      'Requests that are refused since servers ended as they began to run them.',
      gauges.crashingRequests,
    )
    this.gauge(
      'evacuated_domains',
      'Failure domains that are being emptied.',
      gauges.evacuatedDomains,
    )
    this.gauge(
      'evacuated_in_flight',
      'Requests from here that still run in failure domains that are being emptied.',
      gauges.evacuatedInFlight,
    )
  }

  private observeKnowledge(gauges: GatewayGauges): void {
    this.gauge('configuration_version', 'Version in force here.', gauges.configurationVersion)
    this.gauge('ready', '1 while new requests may begin here.', gauges.ready)
    this.gauge(
      'brittle_services',
      'Services whose servers bear only few requests that they turn away.',
      gauges.rejectionSensitiveServices,
    )
    this.gauge(
      'starved_teams',
      'Teams that are served next to nothing of what they ask here.',
      gauges.starvedTeams,
    )
    this.gauge(
      'short_budgets',
      'Budgets whose callers are refused tokens that exist.',
      gauges.shortBudgets,
    )
    this.gauge('caller_connections', 'Open connections of callers.', gauges.callerConnections)
    this.gauge('store_age_seconds', "Time since the store's last answer.", gauges.storeAge)
  }

  private gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `rackwalk_gateway_${name}`,
      help,
      registers: [this.registry],
      collect: (): void => gauge.set(read()),
    })
  }
}

/** A coarse outcome for a team's own use; the result codes give the details. */
function teamOutcome(code: ResultCode): 'served' | 'refused' | 'failed' {
  if (code === ResultCode.Ok) return 'served'
  return RESULT_TABLE[code].execution === 'not-run' ? 'refused' : 'failed'
}
