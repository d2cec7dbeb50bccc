/**
 * Makes the reports of what this instance has in progress: what changed, and now and then everything. Owns
 * what was told last.
 */

import type { InstanceLoad, PeerLoadReport, EndpointReport } from './peerLoads.js'
import type { PromptCaches } from './promptCaches.js'
import type { EndpointDirectory } from './endpointDirectory.js'

/** Reports between two whole ones; a lost report is made good by the next whole one. */
const REPORTS_A_WHOLE = 12

/** Tells what this instance has in progress: what changed, and now and then everything. */
export class LoadReporter {
  private sequence = 0
  private reports = 0
  private lastReported = new Map<string, InstanceLoad>()
  /** What was in progress when somebody was last told of it. */
  private seen: ReadonlyMap<string, InstanceLoad> = new Map()

  constructor(
    private readonly identity: { readonly instance: string; readonly incarnation: string },
    private readonly directory: EndpointDirectory,
    private readonly caches: PromptCaches,
    /** Whether the others are told of work at endpoints of a service. */
    private readonly isTold: (service: string) => boolean,
  ) {}

  /** Whether the last report told of work in progress. */
  get hasWork(): boolean {
    return this.lastReported.size > 0
  }

  /** The next report; undefined where nothing has changed, unless a sign of life is due. */
  next(isSignDue: boolean): PeerLoadReport | undefined {
    this.sequence += 1
    this.reports += 1
    const isWhole = this.reports % REPORTS_A_WHOLE === 0
    const current = this.directory.loads(this.isTold)
    const parts = this.caches.takeUntold()
    const isNews = (endpoint: string) =>
      parts.has(endpoint) || !isSame(current.get(endpoint), this.lastReported.get(endpoint))
    const endpoints = new Set([...current.keys(), ...this.lastReported.keys(), ...parts.keys()])
    const loads = [...endpoints]
      .filter(endpoint => isWhole || isNews(endpoint))
      .map((endpoint): EndpointReport => ({
        endpoint,
        ...(current.get(endpoint) ?? NO_LOAD),
        parts: parts.get(endpoint) ?? [],
      }))
    this.lastReported = new Map(current)
    this.seen = current
    if (!isWhole && !isSignDue && loads.length === 0) return undefined
    return { ...this.identity, sequence: this.sequence, isWhole, loads }
  }

  /** Endpoints to which something was sent since the last report or the last call. */
  takeGrown(): readonly EndpointReport[] {
    const current = this.directory.loads(this.isTold)
    const grown = [...current].filter(([endpoint, { running, pendingTokens }]) => {
      const before = this.seen.get(endpoint) ?? NO_LOAD
      return running > before.running || pendingTokens > before.pendingTokens
    })
    this.seen = current
    return grown.map(([endpoint, load]) => ({ endpoint, ...load, parts: [] }))
  }

  /** A report of these endpoints alone. */
  partial(loads: readonly EndpointReport[]): PeerLoadReport {
    this.sequence += 1
    return { ...this.identity, sequence: this.sequence, isWhole: false, loads }
  }

  /** Everything as last told, for an instance that got no reports before. */
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
   * For instances that get no reports: it names one endpoint in use where there is one, and tells so that
   * this instance uses endpoints. Two that stand by and have callers of their own would otherwise never
   * learn of each other, and their prompts would wait behind each other's.
   */
  heartbeatReport(): PeerLoadReport {
    const [used] = this.lastReported
    if (used === undefined) return this.partial([])
    const [endpoint, load] = used
    return this.partial([{ endpoint, ...load, parts: [] }])
  }
}

const NO_LOAD: InstanceLoad = { running: 0, pendingTokens: 0 }

function isSame(load: InstanceLoad | undefined, told: InstanceLoad | undefined): boolean {
  return load?.running === told?.running && load?.pendingTokens === told?.pendingTokens
}
