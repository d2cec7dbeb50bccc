/**
 * Finds out whether an endpoint has ended when it breaks a request off, and which requests from here it had answered
 * nothing of. Owns the breaks of the last seconds; relies on a probe of the address.
 *
 * An end that was announced (the endpoint was leaving, or was no longer listed) is none of its business, and a broken
 * connection to an endpoint that still listens is not an end.
 */

import type { Clock, EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import type { ProbeOutcome } from './endpointProbe.js'

/** An endpoint that broke a request off, as it is known at that moment. */
export interface BreakingEndpoint {
  readonly id: string
  readonly start: EndpointStart
  /** Service or model. */
  readonly service: string
  /** IP:PORT. */
  readonly address: string
  /** Whether its end was announced. */
  readonly leavesAsPlanned: boolean
  /** Whether this start of it is known to be over. */
  readonly hasEnded: boolean
}

/** An endpoint ended unannounced. */
export interface EndpointEnd {
  readonly endpoint: BreakingEndpoint
  /** Requests from here that were there and had no part of an answer; each is told once. */
  readonly unanswered: readonly BrokenRequest[]
}

/** A request that an endpoint broke off. */
export interface BrokenRequest {
  readonly fingerprint: RequestFingerprint
  /** Whether it was sent there as one that may have ended endpoints. */
  readonly wasIsolated: boolean
}

/** What the search for ends works with. */
export interface EndpointEndsParts {
  readonly clock: Clock
  readonly probe: (address: string) => Promise<ProbeOutcome>
  readonly onEnd: (end: EndpointEnd) => void
}

/** Requests that one start of an endpoint broke off. */
interface Breaks {
  readonly endpoint: BreakingEndpoint
  readonly untold: BrokenRequest[]
  newestAt: Milliseconds
  hasEnded: boolean
  probing: Promise<void> | undefined
}

/**
 * Breaks are kept this long, for an endpoint that is back under its address before anybody looked: its row tells of a
 * new start within a heartbeat and a read. Chosen.
 */
const REMEMBERED_MILLISECONDS = 5_000

/** The endpoints that break requests off, as one instance sees it. */
export class EndpointEnds {
  private readonly breaks = new Map<EndpointStart, Breaks>()

  constructor(private readonly parts: EndpointEndsParts) {}

  /** An endpoint broke a request off before any part of an answer; resolves when it is known whether it ended. */
  async noteBroken(endpoint: BreakingEndpoint, request: BrokenRequest): Promise<void> {
    if (endpoint.leavesAsPlanned) return
    const breaks = this.breaksOf(endpoint)
    breaks.untold.push(request)
    if (breaks.hasEnded) return this.tell(breaks)
    breaks.probing ??= this.probe(breaks)
    await breaks.probing
  }

  /** A start of an endpoint is over, by its row. */
  noteReplaced(start: EndpointStart): void {
    const breaks = this.breaks.get(start)
    if (breaks !== undefined) this.end(breaks)
  }

  private async probe(breaks: Breaks): Promise<void> {
    const outcome = await this.parts.probe(breaks.endpoint.address)
    breaks.probing = undefined
    if (outcome === 'refused') this.end(breaks)
  }

  private end(breaks: Breaks): void {
    breaks.hasEnded = true
    this.tell(breaks)
  }

  private tell({ endpoint, untold }: Breaks): void {
    if (untold.length === 0) return
    this.parts.onEnd({ endpoint, unanswered: untold.splice(0) })
  }

  private breaksOf(endpoint: BreakingEndpoint): Breaks {
    const now = this.parts.clock.monotonic()
    this.forgetOlderThan(now - REMEMBERED_MILLISECONDS)
    const known = this.breaks.get(endpoint.start)
    if (known !== undefined) {
      known.newestAt = now
      return known
    }
    const { hasEnded, start } = endpoint
    const created = { endpoint, untold: [], newestAt: now, hasEnded, probing: undefined }
    this.breaks.set(start, created)
    return created
  }

  private forgetOlderThan(oldest: Milliseconds): void {
    for (const [start, { newestAt }] of this.breaks) {
      if (newestAt < oldest) this.breaks.delete(start)
    }
  }
}
