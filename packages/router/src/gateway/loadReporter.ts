/**
 * Builds reports of the requests that this instance has in progress: changes only, and at intervals
 * everything. Owns what was last reported.
 */

import type { InstanceLoad, PeerLoadReport, EndpointReport } from './peerLoads.js'
import type { PromptCaches } from './promptCaches.js'
import type { EndpointDirectory } from './endpointDirectory.js'

/**
 * Each call of `next` with this number or a multiple of it builds a full report, which makes up for lost
 * ones.
 */
const FULL_REPORT_INTERVAL = 12

/** Builds load reports: changes only, and at intervals everything. */
export class LoadReporter {
  private sequence = 0
  private reports = 0
  private lastReported = new Map<string, InstanceLoad>()
  /** Loads as of the newest report or urgent report. */
  private lastObserved: ReadonlyMap<string, InstanceLoad> = new Map()

  constructor(
    private readonly identity: { readonly instance: string; readonly incarnation: string },
    private readonly directory: EndpointDirectory,
    private readonly caches: PromptCaches,
    /** Whether loads at endpoints of a service are reported. */
    private readonly isTold: (service: string) => boolean,
  ) {}

  /** Whether the last report contained work in progress. */
  get hasWork(): boolean {
    return this.lastReported.size > 0
  }

  /**
   * Returns the next report; undefined if nothing has changed, unless a heartbeat is due or this is the turn
   * of a full report.
   */
  next(isHeartbeatDue: boolean): PeerLoadReport | undefined {
    this.sequence += 1
    this.reports += 1
    const isWhole = this.reports % FULL_REPORT_INTERVAL === 0
    const current = this.directory.loads(this.isTold)
    const parts = this.caches.takeUnreported()
    const hasChanged = (endpoint: string) =>
      parts.has(endpoint) || !isSame(current.get(endpoint), this.lastReported.get(endpoint))
    const endpoints = new Set([...current.keys(), ...this.lastReported.keys(), ...parts.keys()])
    const loads = [...endpoints]
      .filter(endpoint => isWhole || hasChanged(endpoint))
      .map((endpoint): EndpointReport => ({
        endpoint,
        ...(current.get(endpoint) ?? NO_LOAD),
        parts: parts.get(endpoint) ?? [],
      }))
    this.lastReported = new Map(current)
    this.lastObserved = current
    if (!isWhole && !isHeartbeatDue && loads.length === 0) return undefined
    return { ...this.identity, sequence: this.sequence, isWhole, loads }
  }

  /** Returns the endpoints whose load has grown since the last report or the last call. */
  takeGrown(): readonly EndpointReport[] {
    const current = this.directory.loads(this.isTold)
    const grown = [...current].filter(([endpoint, { running, pendingTokens }]) => {
      const before = this.lastObserved.get(endpoint) ?? NO_LOAD
      return running > before.running || pendingTokens > before.pendingTokens
    })
    this.lastObserved = current
    return grown.map(([endpoint, load]) => ({ endpoint, ...load, parts: [] }))
  }

  /** Builds a report of these endpoints only. */
  partial(loads: readonly EndpointReport[]): PeerLoadReport {
    this.sequence += 1
    return { ...this.identity, sequence: this.sequence, isWhole: false, loads }
  }

  /** Builds a full report of the loads as last reported, for an instance that received no reports before. */
  fullReport(): PeerLoadReport {
    this.sequence += 1
    const loads = [...this.lastReported].map(([endpoint, load]) => ({
      endpoint,
      ...load,
      parts: [],
    }))
    return { ...this.identity, sequence: this.sequence, isWhole: true, loads }
  }

  /**
   * Builds a report for instances that get no load reports. The report names one endpoint in use, if there
   * is one, and so shows that this instance uses endpoints. Otherwise two standby instances with callers of
   * their own would never learn of each other, and their prompts would queue behind each other's.
   */
  heartbeatReport(): PeerLoadReport {
    const [used] = this.lastReported
    if (used === undefined) return this.partial([])
    const [endpoint, load] = used
    return this.partial([{ endpoint, ...load, parts: [] }])
  }
}

const NO_LOAD: InstanceLoad = { running: 0, pendingTokens: 0 }

function isSame(load: InstanceLoad | undefined, reported: InstanceLoad | undefined): boolean {
  return load?.running === reported?.running && load?.pendingTokens === reported?.pendingTokens
}
