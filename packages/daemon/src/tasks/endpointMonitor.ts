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

const REPORT_TIMEOUT_MILLISECONDS = 1_000
/** Load report rounds per round of cache events. */
const CACHE_EVENT_ROUNDS = 2

/** Polls endpoints for their load and cache events, and learns which ones are leaving. */
export class EndpointMonitor implements Task {
  private timer: Timer | undefined
  private stopped = false
  private roundCount = 0
  private readonly loaded = new Map<EndpointId, ReadonlyMap<ModelId, string>>()
  private readonly eventPositions = new Map<EndpointId, number>()
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

  /** Returns the models in an endpoint's memory by its last report. */
  loadedModels(endpointId: EndpointId): ReadonlyMap<ModelId, string> | undefined {
    return this.loaded.get(endpointId)
  }

  /** The platform's list names endpoints too; an endpoint that it marks as leaving gets no new requests. */
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

  /** Polls every endpoint once. */
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

  /** Sends one query at a time to each endpoint, so that a slow one does not hold up the others. */
  private async poll(endpoint: ConfiguredEndpoint): Promise<void> {
    const { endpointId } = endpoint
    if (this.pendingPolls.has(endpointId)) return
    this.pendingPolls.add(endpointId)
    try {
      await this.pollLoad(endpoint)
      // Cache events may arrive later than loads: they only refine the assumptions of routing.
      if (this.roundCount % CACHE_EVENT_ROUNDS === 0) await this.pollCacheEvents(endpoint)
    } catch {
      // An endpoint that does not report is judged by its requests alone.
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
