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
  private told = new Map<string, InstanceLoad>()

  constructor(
    private readonly identity: { readonly instance: string; readonly incarnation: string },
    private readonly directory: EndpointDirectory,
    private readonly caches: PromptCaches,
  ) {}

  /** The next report; undefined where nothing has changed, unless a sign of life is due. */
  next(isSignDue: boolean): PeerLoadReport | undefined {
    this.sequence += 1
    this.reports += 1
    const isWhole = this.reports % REPORTS_A_WHOLE === 0
    const current = this.directory.loads()
    const parts = this.caches.takeUntold()
    const isNews = (endpoint: string) =>
      parts.has(endpoint) || !isSame(current.get(endpoint), this.told.get(endpoint))
    const endpoints = new Set([...current.keys(), ...this.told.keys(), ...parts.keys()])
    const loads = [...endpoints]
      .filter(endpoint => isWhole || isNews(endpoint))
      .map((endpoint): EndpointReport => ({
        endpoint,
        ...(current.get(endpoint) ?? NO_LOAD),
        parts: parts.get(endpoint) ?? [],
      }))
    this.told = new Map(current)
    if (!isWhole && !isSignDue && loads.length === 0) return undefined
    return { ...this.identity, sequence: this.sequence, isWhole, loads }
  }

  /** Says of no endpoint anything; it goes to instances that get no reports. */
  sign(): PeerLoadReport {
    this.sequence += 1
    return { ...this.identity, sequence: this.sequence, isWhole: false, loads: [] }
  }
}

const NO_LOAD: InstanceLoad = { running: 0, pendingTokens: 0 }

function isSame(load: InstanceLoad | undefined, told: InstanceLoad | undefined): boolean {
  return load?.running === told?.running && load?.pendingTokens === told?.pendingTokens
}
