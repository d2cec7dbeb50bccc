/**
 * What the whole fleet has in progress at the endpoints and what it has sent there before. Owns what peers
 * told and the reckoning of prompt caches; relies on the directory for this instance's own requests.
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

/** What the knowledge of the fleet rests on. */
export interface FleetLoadParts {
  readonly instance: string
  readonly incarnation: string
  readonly directory: EndpointDirectory
  readonly clock: Clock
  /** Tokens that an endpoint of a service holds; undefined where nothing is said. */
  readonly capacityOf: (service: string) => TokenCount | undefined
  /** Instances that use endpoints, this one included. */
  readonly users: () => number
  /** Something was sent to an endpoint, of which the others are told. */
  readonly onSent?: () => void
  /** Another instance told of requests in progress at an endpoint. */
  readonly onAsked?: (endpoint: string) => void
  /** Whether the others are told of work at endpoints of a service. */
  readonly isTold: (service: string) => boolean
}

/** The knowledge of the whole fleet, on one instance. */
export class FleetLoad {
  private readonly peers: PeerLoads
  private readonly caches = new PromptCaches()
  /** What streams that passed through here tell of long prompts. */
  readonly pauses = new PauseStretchTracker()
  private readonly reporter: LoadReporter
  private readonly readings: PrefillTracker
  private readonly homes = new EndpointSubsets()
  /** Monotonic time at which a report last told of work here. */
  private workedAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: FleetLoadParts) {
    this.peers = new PeerLoads(parts.clock)
    this.readings = new PrefillTracker(parts.clock)
    this.reporter = new LoadReporter(
      { instance: parts.instance, incarnation: parts.incarnation },
      parts.directory,
      this.caches,
      parts.isTold,
    )
  }

  /** What other instances have in progress at an endpoint. */
  ofPeers(endpoint: string): InstanceLoad {
    return this.peers.at(endpoint)
  }

  /** Tokens of a prompt that an endpoint would have to read. */
  uncachedTokens(endpoint: string, prompt: TokenCount, parts: readonly PromptPart[]): TokenCount {
    return Math.max(0, prompt - this.caches.cachedTokens(endpoint, parts))
  }

  /** Tokens of long prompts that all instances have sent to an endpoint lately. */
  recentTokens(endpoint: string): TokenCount {
    return this.readings.recentTokens(endpoint)
  }

  /** How many times as long as a usual one an endpoint takes for an answer; 1 or more. */
  slowness(endpoint: EndpointState): number {
    return this.parts.directory.slownessOf(endpoint)
  }

  /** A prompt, of which the endpoint has to read so many tokens, is sent from here. */
  noteSent(endpoint: string, parts: readonly PromptPart[], uncachedTokens: TokenCount): void {
    this.readings.note(endpoint, uncachedTokens)
    this.caches.noteSent(endpoint, parts, this.capacityAt(endpoint))
    this.parts.onSent?.()
  }

  /** Whether this instance hears at once what others send to an endpoint. */
  isInSubset(endpoint: string): boolean {
    return this.homes.isInSubset(this.parts.instance, endpoint, this.parts.users())
  }

  /** Takes in what another instance told. */
  observe(report: PeerLoadReport): void {
    for (const { endpoint, tokens } of this.peers.observe(report)) {
      this.readings.note(endpoint, tokens)
    }
    for (const { endpoint, running, parts } of report.loads) {
      if (running > 0) this.parts.onAsked?.(endpoint)
      if (parts.length > 0) this.caches.note(endpoint, parts, this.capacityAt(endpoint))
    }
  }

  /** What to tell the others; undefined where there is nothing new and no sign of life due. */
  nextReport(isSignDue: boolean): PeerLoadReport | undefined {
    const report = this.reporter.next(isSignDue)
    if (this.reporter.hasWork) this.workedAt = this.parts.clock.monotonic()
    return report
  }

  /**
   * What was sent since the last report, for each of these instances that is at home where it was
   * sent; the others hear of it with the next report.
   */
  urgentReports(instances: readonly string[]): ReadonlyMap<string, PeerLoadReport> {
    const grown = this.reporter.takeGrown()
    const users = this.parts.users()
    const reports = new Map<string, PeerLoadReport>()
    for (const instance of instances) {
      const loads = grown.filter(({ endpoint }) => this.homes.isInSubset(instance, endpoint, users))
      if (loads.length > 0) reports.set(instance, this.reporter.partial(loads))
    }
    return reports
  }

  /** Everything that the others were told, for one that got no reports before. */
  fullReport(): PeerLoadReport {
    return this.reporter.fullReport()
  }

  /** A report of nothing but that this instance lives. */
  heartbeatReport(): PeerLoadReport {
    return this.reporter.heartbeatReport()
  }

  /** Whether an instance was heard of lately. */
  hasRecentHeartbeat(instance: string): boolean {
    return this.peers.hears(instance)
  }

  /** Time since any instance was last heard of. */
  get heardAgoMilliseconds(): Milliseconds {
    return this.peers.heardAgoMilliseconds
  }

  /** Whether an instance told of work at endpoints lately. */
  isUsing(instance: string): boolean {
    return this.peers.isUsing(instance)
  }

  /** Whether the others were told of work here lately. */
  get isSelfUsing(): boolean {
    return this.parts.clock.monotonic() - this.workedAt < USING_MILLISECONDS
  }

  /** Forgets instances that have been silent for this long; call it now and then. */
  expire(silence: Milliseconds): void {
    this.peers.expire(silence)
  }

  /** An endpoint is gone. */
  forget(endpoint: string): void {
    this.peers.forget(endpoint)
    this.caches.forget(endpoint)
    this.readings.forget(endpoint)
  }

  private capacityAt(endpoint: string): TokenCount | undefined {
    const service = this.parts.directory.serviceOf(endpoint)
    return service === undefined ? undefined : this.parts.capacityOf(service)
  }
}
