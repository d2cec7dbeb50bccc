/**
 * The state of every endpoint of the OpenAI-style kind as this instance knows it. Owns the number
 * of this instance's requests in progress, the latest load reports, endpoint health and the set of
 * leaving endpoints (endpoints that accept no new requests because they are about to terminate).
 * Filters out the endpoints that may get no requests; the routing policy chooses among the others.
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
  /**
   * Monotonic time at which the latest report arrived; before the first report, the time at which
   * this state was created.
   */
  reportAt: Milliseconds
  /** Monotonic time at which the latest report was requested. */
  reportAskedAt: Milliseconds
  /**
   * This instance's requests that the latest report may not include, oldest first. Only a report
   * removes entries, so for the endpoints of plain services, which report nothing, none is removed.
   */
  recent: RecentRequest[]
  /**
   * Monotonic time until which the endpoint gets no requests, because it terminated and may not
   * have restarted yet.
   */
  unreachableUntil: Milliseconds
  /** Times of this instance's sends to the endpoint, as the quotas of send licences count them. */
  readonly sends: SendHistory
  /**
   * Monotonic time at which any source first said that the endpoint is leaving; undefined if none
   * has, or if a report has ended the leaving.
   */
  leavingSince: Milliseconds | undefined
  /**
   * Whether an answer announced that the endpoint is leaving and no report failed to be fetched
   * since. A report that says that the endpoint stays may be older than the answer.
   */
  hasAnnouncedLeaving: boolean
}

/** The source of the configured endpoints. */
export type EndpointCatalogue = Pick<Catalogue, 'endpoints' | 'findEndpoint' | 'isEvacuated'>

/**
 * Source of the information that an endpoint is leaving: the endpoint list, an answer of the
 * endpoint, its load report, or another instance.
 */
export type LeavingSource = 'list' | 'answer' | 'report' | 'peer'

function isLoaded({ report }: EndpointView, modelId: ModelId): boolean {
  return report?.loadedModels === undefined || report.loadedModels.includes(modelId)
}

/** Assumed age of a load report on arrival: a report describes a past state of the endpoint. */
const REPORT_LAG_MILLISECONDS = 400
/**
 * Time since the first sign of leaving for which an endpoint that announced in an answer that it is
 * leaving gets no requests, although its reports say that it stays. A report after this time ends
 * the leaving; for an endpoint without reports, the time itself does. Without the limit, an endpoint
 * that restarted between two reports, or that sends none, would stay unused.
 */
const LONGEST_LEAVING_MILLISECONDS = 60_000
/**
 * Time for which an endpoint gets no requests after its prober last found it terminated. An
 * endpoint that restarts sooner stays unused for at most this time.
 */
const UNREACHABLE_MILLISECONDS = 1_000
/**
 * Prefill rate assumed for plain services, in tokens per second. Plain services configure no rate;
 * the high value makes their estimated prefill time negligible.
 */
const SERVICE_PREFILL_RATE = 1_000_000

/** Called when an endpoint's state changes, for the log. */
export type EndpointListener = (endpointId: EndpointId, change: string) => void

/** The state of every configured endpoint as this instance knows it. */
export class EndpointTable {
  readonly prefixes: PrefixIndex
  private readonly states = new Map<EndpointId, EndpointState>()
  private readonly ejection: OutlierEjection

  constructor(
    private readonly catalogue: EndpointCatalogue,
    private readonly clock: Clock,
    private readonly sendAdmission: Pick<SendAdmission, 'allows' | 'refusalOf'>,
    private readonly onChange: EndpointListener,
  ) {
    this.prefixes = new PrefixIndex(clock)
    this.ejection = new OutlierEjection(clock)
  }

  /**
   * Returns views of the endpoints that may get new requests for a model. An endpoint whose report
   * lists loaded models without this model is left out.
   */
  modelCandidates(modelId: ModelId, hashes: readonly PrefixHash[]): readonly EndpointView[] {
    return this.viewsOf(this.modelPool(modelId), hashes).filter(view => isLoaded(view, modelId))
  }

  /**
   * Returns the refusal with the shortest wait that the endpoints' own advice gives for a model;
   * undefined if advice refuses none of its usable endpoints. Other endpoints of the model may
   * still accept requests, so callers first check that there is no candidate.
   */
  modelRefusal(modelId: ModelId): SendRefusal | undefined {
    return this.refusalIn(this.modelPool(modelId))
  }

  /** Returns views of the endpoints that may get new requests for a plain service. */
  serviceCandidates(service: string): readonly EndpointView[] {
    return this.viewsOf(this.servicePool(service), [])
  }

  /**
   * Returns the refusal with the shortest wait that the endpoints' own advice gives for a plain
   * service, under the conditions of `modelRefusal`.
   */
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

  /** Records that a request is being sent to the endpoint. */
  noteRequestSent(endpointId: EndpointId, promptTokens: TokenCount): void {
    const state = this.stateOf(endpointId)
    state.inFlight += 1
    state.sends.note()
    state.recent.push({ at: this.clock.monotonic(), promptTokens })
  }

  /** Records that a request of this instance at the endpoint is over. */
  noteRequestEnded(endpointId: EndpointId): void {
    this.stateOf(endpointId).inFlight -= 1
  }

  noteSuccess(endpointId: EndpointId): void {
    this.ejection.noteSuccess(endpointId)
  }

  noteFailure(endpointId: EndpointId): void {
    if (this.ejection.noteFailure(endpointId)) this.onChange(endpointId, 'ejected')
  }

  /** Records a load report that was requested at the monotonic time `askedAt`. */
  noteReport(endpointId: EndpointId, report: LoadReport, askedAt: Milliseconds): void {
    const state = this.stateOf(endpointId)
    state.report = report
    state.reportAskedAt = askedAt
    state.reportAt = this.clock.monotonic()
    // A report describes a past state, so requests sent shortly before its arrival are not in it.
    const asOf = state.reportAt - REPORT_LAG_MILLISECONDS
    state.recent = state.recent.filter(sent => sent.at > asOf)
    if (report.leaving) this.noteLeaving(endpointId, 'report')
    // The endpoint reports that it stays, so it has restarted or does not shut down after all. The
    // endpoint list and the peers may lag behind.
    else this.noteStaying(endpointId)
  }

  /**
   * Records that the endpoint is leaving. A load report ends the leaving. An endpoint of a plain
   * service, which reports nothing, leaves for `LONGEST_LEAVING_MILLISECONDS`; a peer's word does
   * not renew that, since the peer may have it from this instance.
   */
  noteLeaving(endpointId: EndpointId, source: LeavingSource): void {
    const state = this.stateOf(endpointId)
    state.hasAnnouncedLeaving ||= source === 'answer'
    if (this.isLeaving(endpointId)) return
    if (source === 'peer' && state.leavingSince !== undefined) return
    state.leavingSince = this.clock.monotonic()
    this.onChange(endpointId, `leaving (${source})`)
  }

  /** Ids of the endpoints known to be leaving, which this instance sends to its peers. */
  get leaving(): readonly EndpointId[] {
    return [...this.states.keys()].filter(endpointId => this.isLeaving(endpointId))
  }

  /** Number of this instance's requests in progress at all endpoints. */
  get inFlight(): number {
    return [...this.states.values()].reduce((sum, state) => sum + state.inFlight, 0)
  }

  /**
   * Removes the state of endpoints that are no longer configured and have none of this instance's
   * requests in progress.
   */
  prune(): void {
    for (const endpointId of this.states.keys()) {
      const isIdle = this.states.get(endpointId)?.inFlight === 0
      if (this.catalogue.findEndpoint(endpointId) !== undefined || !isIdle) continue
      this.states.delete(endpointId)
      this.ejection.forget(endpointId)
      this.prefixes.forget(endpointId)
    }
  }

  /**
   * Records that the endpoint terminated. The prober of the endpoint repeats the call until the
   * endpoint has restarted.
   */
  noteUnreachable(endpointId: EndpointId): void {
    this.stateOf(endpointId).unreachableUntil = this.clock.monotonic() + UNREACHABLE_MILLISECONDS
  }

  private isUnreachable(endpointId: EndpointId): boolean {
    const until = this.states.get(endpointId)?.unreachableUntil ?? Number.NEGATIVE_INFINITY
    return this.clock.monotonic() < until
  }

  /**
   * Records that a report of the endpoint could not be fetched. The endpoint may have restarted;
   * then the announcement of leaving in an earlier answer no longer holds, and the next report that
   * says that the endpoint stays ends the leaving.
   */
  noteReportFailed(endpointId: EndpointId): void {
    this.stateOf(endpointId).hasAnnouncedLeaving = false
  }

  private isStillLeaving({ hasAnnouncedLeaving, leavingSince = 0 }: EndpointState): boolean {
    return hasAnnouncedLeaving && this.isLeavingRecent(leavingSince)
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
    const admissible = this.usable(pool).filter(endpoint =>
      this.sendAdmission.allows(this.sendTargetOf(endpoint)),
    )
    return this.ejection.usableEndpoints(admissible).map(endpoint => this.viewOf(endpoint, hashes))
  }

  private usable(pool: readonly ConfiguredEndpoint[]): readonly ConfiguredEndpoint[] {
    return pool.filter(
      endpoint =>
        !this.isLeaving(endpoint.endpointId) &&
        !this.isUnreachable(endpoint.endpointId) &&
        !this.catalogue.isEvacuated(endpoint),
    )
  }

  /**
   * Returns the refusals of the usable endpoints by their own advice; of several, the one with the
   * shortest wait. Undefined if advice refuses none of them.
   */
  private refusalIn(pool: readonly ConfiguredEndpoint[]): SendRefusal | undefined {
    const usable = this.usable(pool)
    return soonestRefusal(
      usable.flatMap(endpoint => this.sendAdmission.refusalOf(this.sendTargetOf(endpoint)) ?? []),
    )
  }

  private sendTargetOf({ endpointId, spec }: ConfiguredEndpoint): SendTarget {
    return {
      // The platform of these endpoints does not distinguish one start (run) of an endpoint from
      // the next.
      start: endpointStart(endpointId, undefined),
      service: spec.kind === 'service' ? spec.service : endpointId,
      coldMilliseconds: 0,
      waitFor: licence => this.stateOf(endpointId).sends.waitFor(licence),
    }
  }

  /**
   * Returns the times of the latest contact with an endpoint. Only load reports are recorded as
   * contacts: `askedAt` is when the latest report was requested, `readAt` is always negative
   * infinity.
   */
  lastHeard(endpointId: EndpointId): LastContactTimes {
    const readAt = Number.NEGATIVE_INFINITY
    return { askedAt: this.states.get(endpointId)?.reportAskedAt ?? readAt, readAt }
  }

  /** Whether the endpoint is known to accept no new requests because it is about to terminate. */
  isLeaving(endpointId: EndpointId): boolean {
    const leavingSince = this.states.get(endpointId)?.leavingSince
    if (leavingSince === undefined) return false
    return this.sendsReports(endpointId) || this.isLeavingRecent(leavingSince)
  }

  private isLeavingRecent(leavingSince: Milliseconds): boolean {
    return this.clock.monotonic() - leavingSince < LONGEST_LEAVING_MILLISECONDS
  }

  private sendsReports(endpointId: EndpointId): boolean {
    return this.catalogue.findEndpoint(endpointId)?.spec.kind !== 'service'
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
