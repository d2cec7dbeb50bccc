/**
 * What this instance knows of every endpoint. Owns the requests in progress, the newest reports, health
 * and who leaves; decides nothing.
 */

import { soonestRefusal } from '@rackwalk/decisions'
import type { LastContactTimes, SendRefusal } from '@rackwalk/decisions'
import { endpointStart } from '@rackwalk/shared'
import type { Clock, EndpointId, Milliseconds, ModelId, TokenCount } from '@rackwalk/shared'
import { SendHistory } from '../advice/sendHistory.js'
import type { SendTarget, SendAdmission } from '../advice/sendAdmission.js'
import type { Catalogue, ConfiguredEndpoint } from '../resources/catalogue.js'
import { OutlierEjection } from '../limits/outlierEjection.js'
import type { EndpointView, LoadReport } from './endpointView.js'
import { PrefixIndex } from './prefixIndex.js'
import type { PrefixHash } from './prefixIndex.js'

interface RecentRequest {
  readonly at: Milliseconds
  readonly promptTokens: TokenCount
}

interface EndpointState {
  inFlight: number
  report: LoadReport | undefined
  reportAt: Milliseconds
  /** Monotonic time at which the newest report was asked for. */
  reportAskedAt: Milliseconds
  /** What was sent there of late, oldest first. */
  recent: RecentRequest[]
  /** Monotonic time until which it is left alone, since it has ended and may not be back. */
  unreachableUntil: Milliseconds
  /** Requests that were sent there from here, as licences count them. */
  readonly sends: SendHistory
  /** Monotonic time at which somebody first said that it leaves. */
  leavingSince: Milliseconds | undefined
  /** Whether an answer said so, and nothing was seen since of its end: a report may be older than the answer. */
  hasAnnouncedLeaving: boolean
}

/** Where the configured endpoints are looked up. */
export type EndpointCatalogue = Pick<Catalogue, 'endpoints' | 'findEndpoint' | 'isEvacuated'>

/** Who said that an endpoint leaves. */
export type LeavingSource = 'list' | 'answer' | 'report' | 'peer'

function isLoaded({ report }: EndpointView, modelId: ModelId): boolean {
  return report?.loadedModels === undefined || report.loadedModels.includes(modelId)
}

/** Age that a load report is taken to have when it arrives. */
const REPORT_LAG_MILLISECONDS = 400
/** An endpoint that said in an answer that it leaves and is still there after this time is asked again. */
const LONGEST_LEAVING_MILLISECONDS = 60_000
/** An endpoint that has ended is left alone for this long; one that is back sooner is missed for so long at the most. */
const UNREACHABLE_MILLISECONDS = 1_000
/** Default rate of prompt tokens where an endpoint's is not configured: plain services. */
const SERVICE_PREFILL_RATE = 1_000_000

/** Told when an endpoint's state changes, for the log. */
export type EndpointListener = (endpointId: EndpointId, change: string) => void

/** What this instance knows of every endpoint: own requests, reports, health, leaving. */
export class EndpointTable {
  readonly prefixes: PrefixIndex
  private readonly states = new Map<EndpointId, EndpointState>()
  private readonly ejection: OutlierEjection

  constructor(
    private readonly catalogue: EndpointCatalogue,
    private readonly clock: Clock,
    private readonly permits: Pick<SendAdmission, 'allows' | 'refusalOf'>,
    private readonly onChange: EndpointListener,
  ) {
    this.prefixes = new PrefixIndex(clock)
    this.ejection = new OutlierEjection(clock)
  }

  /** Endpoints that may get new work for a model, as a decision sees them. */
  modelCandidates(modelId: ModelId, hashes: readonly PrefixHash[]): readonly EndpointView[] {
    return this.viewsOf(this.modelPool(modelId), hashes).filter(view => isLoaded(view, modelId))
  }

  /** Why a model may be asked nowhere now; undefined where nothing that its endpoints said is the reason. */
  modelRefusal(modelId: ModelId): SendRefusal | undefined {
    return this.refusalIn(this.modelPool(modelId))
  }

  /** Endpoints that may get new work for a plain service. */
  serviceCandidates(service: string): readonly EndpointView[] {
    return this.viewsOf(this.servicePool(service), [])
  }

  /** The same for a plain service. */
  serviceRefusal(service: string): SendRefusal | undefined {
    return this.refusalIn(this.servicePool(service))
  }

  private modelPool(modelId: ModelId): readonly ConfiguredEndpoint[] {
    return this.catalogue.endpoints.filter(
      ({ spec }) => spec.kind === 'model' && spec.models.includes(modelId),
    )
  }

  private servicePool(service: string): readonly ConfiguredEndpoint[] {
    return this.catalogue.endpoints.filter(
      ({ spec }) => spec.kind === 'service' && spec.service === service,
    )
  }

  /** A request goes there now. */
  noteRequestSent(endpointId: EndpointId, promptTokens: TokenCount): void {
    const state = this.stateOf(endpointId)
    state.inFlight += 1
    state.sends.note()
    state.recent.push({ at: this.clock.monotonic(), promptTokens })
  }

  /** A request ended there. */
  noteRequestEnded(endpointId: EndpointId): void {
    this.stateOf(endpointId).inFlight -= 1
  }

  noteSuccess(endpointId: EndpointId): void {
    this.ejection.noteSuccess(endpointId)
  }

  noteFailure(endpointId: EndpointId): void {
    if (this.ejection.noteFailure(endpointId)) this.onChange(endpointId, 'ejected')
  }

  /** A report came that was asked for at this monotonic time. */
  noteReport(endpointId: EndpointId, report: LoadReport, askedAt: Milliseconds): void {
    const state = this.stateOf(endpointId)
    state.report = report
    state.reportAskedAt = askedAt
    state.reportAt = this.clock.monotonic()
    // A report tells of some time ago, so what was sent just before it is not in it.
    const asOf = state.reportAt - REPORT_LAG_MILLISECONDS
    state.recent = state.recent.filter(sent => sent.at > asOf)
    if (report.leaving) this.noteLeaving(endpointId, 'report')
    // An endpoint that says it stays has come back; the list and peers may be behind.
    else this.noteStaying(endpointId)
  }

  noteLeaving(endpointId: EndpointId, source: LeavingSource): void {
    const state = this.stateOf(endpointId)
    state.hasAnnouncedLeaving ||= source === 'answer'
    if (state.leavingSince !== undefined) return
    state.leavingSince = this.clock.monotonic()
    this.onChange(endpointId, `leaving (${source})`)
  }

  /** Endpoints known to be leaving, for peers. */
  get leaving(): readonly EndpointId[] {
    return [...this.states].flatMap(([id, state]) => (state.leavingSince === undefined ? [] : [id]))
  }

  /** Requests of this instance in progress at all endpoints. */
  get inFlight(): number {
    return [...this.states.values()].reduce((sum, state) => sum + state.inFlight, 0)
  }

  /** Drops what is known of endpoints that are no longer configured. */
  prune(): void {
    for (const endpointId of this.states.keys()) {
      const isIdle = this.states.get(endpointId)?.inFlight === 0
      if (this.catalogue.findEndpoint(endpointId) !== undefined || !isIdle) continue
      this.states.delete(endpointId)
      this.ejection.forget(endpointId)
      this.prefixes.forget(endpointId)
    }
  }

  /** It has ended; whoever looks at it tells again while it is not back. */
  noteUnreachable(endpointId: EndpointId): void {
    this.stateOf(endpointId).unreachableUntil = this.clock.monotonic() + UNREACHABLE_MILLISECONDS
  }

  private isUnreachable(endpointId: EndpointId): boolean {
    const until = this.states.get(endpointId)?.unreachableUntil ?? Number.NEGATIVE_INFINITY
    return this.clock.monotonic() < until
  }

  /** Its reports can't be fetched: what it said in answers may be over with its start. */
  noteReportFailed(endpointId: EndpointId): void {
    this.stateOf(endpointId).hasAnnouncedLeaving = false
  }

  private isStillLeaving({ hasAnnouncedLeaving, leavingSince = 0 }: EndpointState): boolean {
    const age = this.clock.monotonic() - leavingSince
    return hasAnnouncedLeaving && age < LONGEST_LEAVING_MILLISECONDS
  }

  private noteStaying(endpointId: EndpointId): void {
    const state = this.stateOf(endpointId)
    if (state.leavingSince === undefined || this.isStillLeaving(state)) return
    state.leavingSince = undefined
    state.hasAnnouncedLeaving = false
    this.onChange(endpointId, 'staying')
  }

  private viewsOf(
    pool: readonly ConfiguredEndpoint[],
    hashes: readonly PrefixHash[],
  ): readonly EndpointView[] {
    const open = this.usable(pool).filter(endpoint => this.permits.allows(this.subjectOf(endpoint)))
    return this.ejection.usableEndpoints(open).map(endpoint => this.viewOf(endpoint, hashes))
  }

  private usable(pool: readonly ConfiguredEndpoint[]): readonly ConfiguredEndpoint[] {
    return pool.filter(
      endpoint =>
        !this.isLeaving(endpoint.endpointId) &&
        !this.isUnreachable(endpoint.endpointId) &&
        !this.catalogue.isEvacuated(endpoint),
    )
  }

  /** Why the endpoints of a model or service may be sent nothing now, the one that is over first. */
  private refusalIn(pool: readonly ConfiguredEndpoint[]): SendRefusal | undefined {
    const usable = this.usable(pool)
    return soonestRefusal(
      usable.flatMap(endpoint => this.permits.refusalOf(this.subjectOf(endpoint)) ?? []),
    )
  }

  private subjectOf({ endpointId, spec }: ConfiguredEndpoint): SendTarget {
    return {
      // Its platform does not tell one start from the next.
      start: endpointStart(endpointId, undefined),
      service: spec.kind === 'service' ? spec.service : endpointId,
      coldMilliseconds: 0,
      waitFor: licence => this.stateOf(endpointId).sends.waitFor(licence),
    }
  }

  /** When something last came from an endpoint, as far as it is noted: its reports are. */
  lastHeard(endpointId: EndpointId): LastContactTimes {
    const readAt = Number.NEGATIVE_INFINITY
    return { askedAt: this.states.get(endpointId)?.reportAskedAt ?? readAt, readAt }
  }

  /** Whether it is known that an endpoint takes nothing new since it is about to end. */
  isLeaving(endpointId: EndpointId): boolean {
    return this.states.get(endpointId)?.leavingSince !== undefined
  }

  private viewOf(
    { endpointId, spec }: ConfiguredEndpoint,
    hashes: readonly PrefixHash[],
  ): EndpointView {
    const state = this.stateOf(endpointId)
    return {
      endpointId,
      inFlight: state.inFlight,
      maximumInFlight: spec.maximumInFlight,
      report: state.report,
      reportAgeMilliseconds: this.clock.monotonic() - state.reportAt + REPORT_LAG_MILLISECONDS,
      sentSinceReport: state.recent.length,
      promptTokensSinceReport: state.recent.reduce((sum, sent) => sum + sent.promptTokens, 0),
      prefillTokensPerSecond:
        spec.kind === 'model' ? spec.prefillTokensPerSecond : SERVICE_PREFILL_RATE,
      cachedTokens: this.prefixes.cachedTokens(endpointId, hashes),
    }
  }

  private stateOf(endpointId: EndpointId): EndpointState {
    const known = this.states.get(endpointId)
    if (known !== undefined) return known
    const created: EndpointState = {
      inFlight: 0,
      report: undefined,
      reportAt: this.clock.monotonic(),
      reportAskedAt: Number.NEGATIVE_INFINITY,
      recent: [],
      unreachableUntil: Number.NEGATIVE_INFINITY,
      sends: new SendHistory(this.clock),
      leavingSince: undefined,
      hasAnnouncedLeaving: false,
    }
    this.states.set(endpointId, created)
    return created
  }
}
