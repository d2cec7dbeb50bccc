/**
 * Tracks the requests that all instances have in progress at the endpoints and the prompts that they sent
 * there, and builds this instance's reports to its peers (the other instances). Owns the peers' reports and
 * the estimate of prompt caches; relies on the directory for this instance's own requests.
 */

import { EndpointSubsets } from '@rackwalk/decisions'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'
import { LoadReporter } from './loadReporter.js'
import { PeerLoads, USING_MILLISECONDS } from './peerLoads.js'
import type { InstanceLoad, PeerLoadReport } from './peerLoads.js'
import { PauseStretchTracker } from './pauseStretchTracker.js'
import { PromptCaches } from './promptCaches.js'
import { PrefillTracker } from './prefillTracker.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import type { EndpointState } from './endpointState.js'

/** Dependencies and callbacks of `FleetLoad`. */
export interface FleetLoadParts {
  readonly instance: string
  readonly incarnation: string
  readonly directory: EndpointDirectory
  readonly clock: Clock
  /** Tokens that the memory of an endpoint of a service holds; undefined if not configured. */
  readonly capacityOf: (service: string) => TokenCount | undefined
  /** Number of instances that use endpoints, including this one. */
  readonly users: () => number
  /** A request was sent to an endpoint and is to be reported to peers. */
  readonly onSent?: () => void
  /** Another instance reported requests in progress at an endpoint. */
  readonly onPeerRequests?: (endpoint: string) => void
  /** Whether loads at endpoints of a service are reported to peers. */
  readonly isReported: (service: string) => boolean
}

/** Load of the whole fleet, as known to one instance. */
export class FleetLoad {
  private readonly peers: PeerLoads
  private readonly caches = new PromptCaches()
  /** Pauses that long prompts caused in streams passing through this instance. */
  readonly pauses = new PauseStretchTracker()
  private readonly reporter: LoadReporter
  private readonly prefills: PrefillTracker
  private readonly subsets = new EndpointSubsets()
  /** Monotonic time at which a report of this instance last contained requests in progress. */
  private lastWorkReportAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: FleetLoadParts) {
    this.peers = new PeerLoads(parts.clock)
    this.prefills = new PrefillTracker(parts.clock)
    this.reporter = new LoadReporter(
      { instance: parts.instance, incarnation: parts.incarnation },
      parts.directory,
      this.caches,
      parts.isReported,
    )
  }

  /** Requests in progress at an endpoint from other instances. */
  ofPeers(endpoint: string): InstanceLoad {
    return this.peers.at(endpoint)
  }

  /** Tokens of a prompt that are not cached at an endpoint, which would have to read them. */
  uncachedTokens(endpoint: string, prompt: TokenCount, parts: readonly PromptPart[]): TokenCount {
    return Math.max(0, prompt - this.caches.cachedTokens(endpoint, parts))
  }

  /** Uncached tokens of long prompts that all instances recently sent to an endpoint, decaying with time. */
  recentTokens(endpoint: string): TokenCount {
    return this.prefills.recentTokens(endpoint)
  }

  /** Factor by which an endpoint is slower than usual for its service; at least 1. */
  slowness(endpoint: EndpointState): number {
    return this.parts.directory.slownessOf(endpoint)
  }

  /** This instance sends a request, of whose prompt the endpoint has to read `uncachedTokens`. */
  noteSent(endpoint: string, parts: readonly PromptPart[], uncachedTokens: TokenCount): void {
    this.prefills.note(endpoint, uncachedTokens)
    this.caches.noteSent(endpoint, parts, this.capacityAt(endpoint))
    this.parts.onSent?.()
  }

  /**
   * Whether an endpoint is in this instance's subset: the endpoints that the instance prefers, so that peers
   * report at once to it what they send to them.
   */
  isInSubset(endpoint: string): boolean {
    return this.subsets.isInSubset(this.parts.instance, endpoint, this.parts.users())
  }

  /** Applies a report of another instance. */
  observe(report: PeerLoadReport): void {
    for (const { endpoint, tokens } of this.peers.observe(report)) {
      this.prefills.note(endpoint, tokens)
    }
    for (const { endpoint, running, parts } of report.loads) {
      if (running > 0) this.parts.onPeerRequests?.(endpoint)
      if (parts.length > 0) this.caches.note(endpoint, parts, this.capacityAt(endpoint))
    }
  }

  /**
   * Returns the next report to peers; undefined if nothing has changed and neither a heartbeat nor a full
   * report is due.
   */
  nextReport(isHeartbeatDue: boolean): PeerLoadReport | undefined {
    const report = this.reporter.next(isHeartbeatDue)
    if (this.reporter.hasWork) this.lastWorkReportAt = this.parts.clock.monotonic()
    return report
  }

  /**
   * Reports of requests sent since the last report, for each of these instances whose subset contains the
   * endpoint. Other instances receive them with the next regular report.
   */
  urgentReports(instances: readonly string[]): ReadonlyMap<string, PeerLoadReport> {
    const grown = this.reporter.takeGrown()
    const users = this.parts.users()
    const reports = new Map<string, PeerLoadReport>()
    for (const instance of instances) {
      const loads = grown.filter(({ endpoint }) =>
        this.subsets.isInSubset(instance, endpoint, users),
      )
      if (loads.length > 0) reports.set(instance, this.reporter.partial(loads))
    }
    return reports
  }

  /** A full report of the loads as last reported, for an instance that received no reports before. */
  fullReport(): PeerLoadReport {
    return this.reporter.fullReport()
  }

  /**
   * A report that shows that this instance is alive and whether it uses endpoints, without its other loads.
   */
  heartbeatReport(): PeerLoadReport {
    return this.reporter.heartbeatReport()
  }

  /** Whether a report of an instance was received and the instance was not forgotten as silent since. */
  hasRecentHeartbeat(instance: string): boolean {
    return this.peers.hasRecentReport(instance)
  }

  /** Time since the newest report of any other instance. */
  get heardAgoMilliseconds(): Milliseconds {
    return this.peers.heardAgoMilliseconds
  }

  /** Whether an instance reported requests in progress at endpoints, now or recently. */
  isUsing(instance: string): boolean {
    return this.peers.isUsing(instance)
  }

  /** Whether this instance recently reported requests in progress to its peers. */
  get isSelfUsing(): boolean {
    return this.parts.clock.monotonic() - this.lastWorkReportAt < USING_MILLISECONDS
  }

  /** Forgets instances that have been silent for this long; to be called periodically. */
  expire(silence: Milliseconds): void {
    this.peers.expire(silence)
  }

  /** The endpoint was removed. */
  forget(endpoint: string): void {
    this.peers.forget(endpoint)
    this.caches.forget(endpoint)
    this.prefills.forget(endpoint)
  }

  private capacityAt(endpoint: string): TokenCount | undefined {
    const service = this.parts.directory.serviceOf(endpoint)
    return service === undefined ? undefined : this.parts.capacityOf(service)
  }
}
