import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { ServerLoad } from './dialect.js'
import { ServerAgent } from './serverAgent.js'

/** The servers of all services, with what this instance knows of each. */

/** A server as the platform lists it. */
export interface ServerRecord {
  /** Names one start of a server. */
  readonly id: string
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly isLeaving: boolean
}

/** Weight of the newest outcome in a server's failure share. */
const FAILURE_WEIGHT = 0.3
/** Time in which a failure share halves while nothing is sent there. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_500
/** Part of a server's connections that all instances together use. */
const CONNECTION_SHARE = 0.85

/** One server: its record, and what is in progress there from this instance. */
export class ServerState {
  running = 0
  /** Prompt tokens of requests that have not had their first event. */
  pendingTokens: TokenCount = 0
  load: ServerLoad | undefined
  loadAt: Milliseconds = Number.NEGATIVE_INFINITY
  private failureShare = 0
  private failureAt: Milliseconds = 0
  private connections: ServerAgent | undefined

  constructor(
    public record: ServerRecord,
    private readonly clock: Clock,
    private readonly connectionLimit: () => number,
  ) {}

  get agent(): ServerAgent {
    const limit = this.connectionLimit()
    this.connections ??= new ServerAgent(limit)
    this.connections.maxSockets = limit
    return this.connections
  }

  get hasRoom(): boolean {
    return this.running < this.connectionLimit()
  }

  noteLoad(load: ServerLoad): void {
    this.load = load
    this.loadAt = this.clock.monotonic()
  }

  /** Notes whether a request sent there came to an answer. */
  noteOutcome(succeeded: boolean): void {
    const share = this.failures
    this.failureShare = share + FAILURE_WEIGHT * ((succeeded ? 0 : 1) - share)
    this.failureAt = this.clock.monotonic()
  }

  /** Share of late requests that failed there, in [0, 1], fading with time. */
  get failures(): number {
    const age = this.clock.monotonic() - this.failureAt
    return this.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MILLISECONDS)
  }

  close(): void {
    this.connections?.destroy()
  }
}

export interface ServerDirectoryParts {
  readonly clock: Clock
  /** Instances that share the servers' connections. */
  readonly instances: () => number
  /** Connections that one server of a service takes. */
  readonly maximumConnections: (service: string) => number
  readonly onChange: (server: ServerRecord, change: string) => void
}

export class ServerDirectory {
  private readonly servers = new Map<string, ServerState>()

  constructor(private readonly parts: ServerDirectoryParts) {}

  /** A server was listed, or its record changed. */
  set(record: ServerRecord): void {
    const known = this.servers.get(record.id)
    if (known === undefined) {
      this.parts.onChange(record, record.isLeaving ? 'listed as leaving' : 'listed')
      this.servers.set(record.id, this.createState(record))
      return
    }
    if (record.isLeaving && !known.record.isLeaving) this.parts.onChange(record, 'leaving')
    known.record = record
  }

  /** A server is no longer listed; what runs there may end. */
  remove(id: string): void {
    const known = this.servers.get(id)
    if (known === undefined) return
    this.servers.delete(id)
    this.parts.onChange(known.record, 'gone')
    if (known.running === 0) known.close()
  }

  /** Removes all that are not among the given ids. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.servers.keys()) if (!ids.has(id)) this.remove(id)
  }

  /** Servers of a service to which new requests may go. */
  available(service: string): readonly ServerState[] {
    return [...this.servers.values()].filter(
      server => server.record.service === service && !server.record.isLeaving,
    )
  }

  get size(): number {
    return this.servers.size
  }

  private createState(record: ServerRecord): ServerState {
    const limit = () => {
      const all = this.parts.maximumConnections(record.service) * CONNECTION_SHARE
      return Math.max(1, Math.floor(all / Math.max(1, this.parts.instances())))
    }
    return new ServerState(record, this.parts.clock, limit)
  }
}
