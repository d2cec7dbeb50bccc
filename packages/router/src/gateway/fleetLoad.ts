import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'
import { LoadReporter } from './loadReporter.js'
import { PeerLoads } from './peerLoads.js'
import type { InstanceLoad, PeerLoadReport } from './peerLoads.js'
import { PromptCaches } from './promptCaches.js'
import type { ServerDirectory } from './serverDirectory.js'

/** What the whole fleet has in progress at the servers and what it has sent there before. */

export interface FleetLoadParts {
  readonly instance: string
  readonly incarnation: string
  readonly directory: ServerDirectory
  readonly clock: Clock
  /** Tokens that a server of a service holds; undefined where nothing is said. */
  readonly capacityOf: (service: string) => TokenCount | undefined
}

export class FleetLoad {
  private readonly peers: PeerLoads
  private readonly caches = new PromptCaches()
  private readonly reporter: LoadReporter

  constructor(private readonly parts: FleetLoadParts) {
    this.peers = new PeerLoads(parts.clock)
    this.reporter = new LoadReporter(
      { instance: parts.instance, incarnation: parts.incarnation },
      parts.directory,
      this.caches,
    )
  }

  /** What other instances have in progress at a server. */
  ofPeers(server: string): InstanceLoad {
    return this.peers.at(server)
  }

  /** Tokens of a prompt that a server would have to read. */
  uncachedTokens(server: string, prompt: TokenCount, parts: readonly PromptPart[]): TokenCount {
    return Math.max(0, prompt - this.caches.cachedTokens(server, parts))
  }

  /** A prompt is sent to a server from here. */
  noteSent(server: string, parts: readonly PromptPart[]): void {
    this.caches.noteSent(server, parts, this.capacityAt(server))
  }

  /** Takes in what another instance told. */
  observe(report: PeerLoadReport): void {
    this.peers.observe(report)
    for (const { server, parts } of report.loads) {
      if (parts.length > 0) this.caches.note(server, parts, this.capacityAt(server))
    }
  }

  /** What to tell the others; undefined where there is nothing new and no sign of life due. */
  nextReport(isSignDue: boolean): PeerLoadReport | undefined {
    return this.reporter.next(isSignDue)
  }

  /** A report of nothing but that this instance lives. */
  sign(): PeerLoadReport {
    return this.reporter.sign()
  }

  /** Whether an instance was heard of lately. */
  hears(instance: string): boolean {
    return this.peers.hears(instance)
  }

  /** Forgets instances that have been silent for this long; call it now and then. */
  expire(silence: Milliseconds): void {
    this.peers.expire(silence)
  }

  /** A server is gone. */
  forget(server: string): void {
    this.caches.forget(server)
  }

  private capacityAt(server: string): TokenCount | undefined {
    const service = this.parts.directory.serviceOf(server)
    return service === undefined ? undefined : this.parts.capacityOf(service)
  }
}
