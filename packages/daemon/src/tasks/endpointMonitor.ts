/**
 * Polls engines of the OpenAI-style kind for load and cache events, and learns from the platform's list and from
 * peers which endpoints are leaving. Owns the polling rounds; the results go to the endpoint table.
 */

import type { Clock, EndpointId, Milliseconds, ModelId, Task, Timer } from '@rackwalk/shared'
import { asId } from '@rackwalk/shared'
import type { ListedInstance } from '@rackwalk/stores'
import type { MemberInfo } from '@rackwalk/coordination'
import { parseCacheEvents, parseLoadReport } from '@rackwalk/router'
import type { EndpointReachabilityTask } from './endpointReachabilityTask.js'
import type {
  AdmitFilter,
  Catalogue,
  ConfiguredEndpoint,
  EndpointClient,
  EndpointTable,
} from '@rackwalk/router'

/** What the monitor needs. */
export interface EndpointMonitorParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly client: EndpointClient
  readonly admit: AdmitFilter
  readonly reachability: EndpointReachabilityTask
  readonly clock: Clock
  readonly periodMilliseconds: Milliseconds
  readonly onFault: (error: unknown) => void
}

/** Timeout of one query to an endpoint. */
const REPORT_TIMEOUT_MILLISECONDS = 1_000
/** Cache events are queried in every round of this number; load reports in every round. */
const CACHE_EVENT_ROUNDS = 2

/** Polls endpoints for their load and cache events, and notes which endpoints are leaving. */
export class EndpointMonitor implements Task {
  private timer: Timer | undefined
  private stopped = false
  private roundCount = 0
  /** Versions of the models in each endpoint's memory, by its last report. */
  private readonly loaded = new Map<EndpointId, ReadonlyMap<ModelId, string>>()
  /** Sequence of the last cache event applied, by endpoint. */
  private readonly eventPositions = new Map<EndpointId, number>()
  /** Endpoints that have not yet answered the queries of an earlier round. */
  private readonly pendingPolls = new Set<EndpointId>()

  constructor(private readonly parts: EndpointMonitorParts) {}

  async start(): Promise<void> {
    this.schedule()
  }

  async drain(): Promise<void> {
    // Requests in progress still need the reports.
  }

  async stop(): Promise<void> {
    this.stopped = true
    this.timer?.cancel()
  }

  /** Returns the models in an endpoint's memory, with their versions, by its last report; undefined without one. */
  loadedModels(endpointId: EndpointId): ReadonlyMap<ModelId, string> | undefined {
    return this.loaded.get(endpointId)
  }

  /** Applies the platform's list of instances: a known endpoint that the list marks as leaving gets no new requests. */
  noteListed(listed: readonly ListedInstance[]): void {
    for (const { instanceId, state } of listed) {
      const endpointId = asId<EndpointId>(instanceId)
      const isKnown = this.parts.catalogue.findEndpoint(endpointId) !== undefined
      if (isKnown && state === 'leaving') this.parts.endpoints.noteLeaving(endpointId, 'list')
    }
  }

  /** Peers report the endpoints that they know to be leaving, so that one refusal suffices for all instances. */
  notePeers(members: readonly MemberInfo[]): void {
    for (const endpoint of members.flatMap(member => member.leavingEndpoints)) {
      this.parts.endpoints.noteLeaving(asId<EndpointId>(endpoint), 'peer')
    }
  }

  /**
   * Polls every model endpoint that is not still being polled, and then lets waiting requests be admitted by the new
   * reports.
   */
  async round(): Promise<void> {
    this.roundCount += 1
    this.parts.endpoints.prune()
    const models = this.parts.catalogue.endpoints.filter(({ spec }) => spec.kind === 'model')
    await Promise.all(models.map(endpoint => this.poll(endpoint)))
    this.parts.admit.admitAllWaiting()
  }

  private schedule(): void {
    this.timer = this.parts.clock.after(this.parts.periodMilliseconds, () => {
      this.round().catch(error => this.parts.onFault(error))
      if (!this.stopped) this.schedule()
    })
  }

  /** Polls one endpoint unless its last poll is pending; rounds overlap, so a slow endpoint holds up no other. */
  private async poll(endpoint: ConfiguredEndpoint): Promise<void> {
    const { endpointId } = endpoint
    if (this.pendingPolls.has(endpointId)) return
    this.pendingPolls.add(endpointId)
    try {
      await this.pollLoad(endpoint)
      // Cache events may arrive later than loads, since they only refine what routing assumes of an endpoint's cache.
      if (this.roundCount % CACHE_EVENT_ROUNDS === 0) await this.pollCacheEvents(endpoint)
    } catch {
      // An endpoint without reports is judged by its requests alone.
      this.parts.endpoints.noteReportFailed(endpointId)
      this.parts.reachability.noteReportFailed(endpointId)
    } finally {
      this.pendingPolls.delete(endpointId)
    }
  }

  private async pollLoad({ endpointId, spec }: ConfiguredEndpoint): Promise<void> {
    const { client, clock, endpoints } = this.parts
    const askedAt = clock.monotonic()
    const document = await client.fetchJson(spec.address, '/load', REPORT_TIMEOUT_MILLISECONDS)
    const parsed = parseLoadReport(document)
    if (parsed === undefined) return
    endpoints.noteReport(endpointId, parsed.report, askedAt)
    const loaded = (parsed.loaded ?? []).map(
      ({ model, version }) => [asId<ModelId>(model), version] as const,
    )
    this.loaded.set(endpointId, new Map(loaded))
  }

  private async pollCacheEvents({ endpointId, spec }: ConfiguredEndpoint): Promise<void> {
    const after = this.eventPositions.get(endpointId) ?? 0
    const path = `/cache-events?after=${after}`
    const document = await this.parts.client.fetchJson(
      spec.address,
      path,
      REPORT_TIMEOUT_MILLISECONDS,
    )
    const events = parseCacheEvents(document)
    const last = events?.at(-1)
    if (events === undefined || last === undefined) return
    this.parts.endpoints.prefixes.apply(endpointId, events)
    this.eventPositions.set(endpointId, last.sequence)
  }
}
