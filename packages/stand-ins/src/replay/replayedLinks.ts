/** What a replayed instance uses up: links and processors with a rate, and pooled connections to endpoints. */

import type { EndpointLink } from '@rackwalk/decisions'
import type { MonitoredEndpoint } from '@rackwalk/router'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Work that would wait longer than this is refused before it is taken on. */
const LONGEST_BACKLOG_MILLISECONDS: Milliseconds = 400
/** An idle connection is kept for this long. */
const IDLE_MILLISECONDS: Milliseconds = 4_000

/** A resource that does one piece of work after another: one direction of a link, or a processor. */
export class ReplayedResource {
  private busyUntil: Milliseconds = 0

  constructor(
    /** Units of work per millisecond, such as bytes or requests. */
    private readonly rate: number,
    private readonly clock: Clock,
  ) {}

  /** Whether so little work waits that more may be taken on. */
  get hasRoom(): boolean {
    return this.backlog <= LONGEST_BACKLOG_MILLISECONDS
  }

  /** Takes on some units of work. Returns the time until they are done. */
  take(units: number): Milliseconds {
    const delay = this.backlog + units / this.rate
    this.busyUntil = this.clock.monotonic() + delay
    return delay
  }

  private get backlog(): Milliseconds {
    return Math.max(0, this.busyUntil - this.clock.monotonic())
  }
}

/** An endpoint as one instance sees it, with that instance's idle connections to it. */
export class ReplayedEndpoint implements MonitoredEndpoint {
  readonly service = 'models'
  readonly address: string
  private connectedAt = Number.NEGATIVE_INFINITY
  private failedAt = Number.NEGATIVE_INFINITY
  /** Times at which the idle connections were last used. */
  private idleSince: Milliseconds[] = []

  constructor(
    number: number,
    private readonly failureDomain: string,
    private readonly clock: Clock,
  ) {
    this.address = `endpoint-${number}:80`
  }

  get link(): EndpointLink {
    const { failureDomain, connectedAt, failedAt } = this
    return { failureDomain, connectedAt, failedAt }
  }

  noteConnected(): void {
    this.connectedAt = this.clock.monotonic()
  }

  noteConnectFailed(): void {
    this.failedAt = this.clock.monotonic()
  }

  /** Takes an idle connection. Returns false if there is none. */
  takeIdle(now: Milliseconds): boolean {
    this.idleSince = this.idleSince.filter(since => now - since < IDLE_MILLISECONDS)
    return this.idleSince.pop() !== undefined
  }

  putIdle(now: Milliseconds): void {
    this.idleSince.push(now)
  }

  /** Drops all idle connections. */
  dropIdle(): void {
    this.idleSince = []
  }
}
