/**
 * Doubts the links to a service while a request waits for an answer and no endpoint of the service is heard.
 * Without this, an instance whose connections come up at an accept queue or a proxy would send each request
 * into the same silence. The rule is in decisions/choosing/endpointReachability. Owns nothing.
 */

import { silenceMilliseconds } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { LinkMonitor } from '../routing/linkMonitor.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import type { EndpointState } from './endpointState.js'
import type { HeadOutcome, UpstreamExchange } from './upstreamExchange.js'

/** Dependencies of a watch. */
export interface SilenceWatchParts {
  readonly clock: Clock
  readonly directory: EndpointDirectory
  readonly links: LinkMonitor<EndpointState>
}

/** The watched request. */
export interface WatchedRequest {
  readonly service: { readonly name: string }
  /** Time, on the clock that includes suspensions of the host, at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
}

/** Watches the attempts at one request. */
export class SilenceWatch {
  constructor(
    private readonly parts: SilenceWatchParts,
    private readonly request: WatchedRequest,
  ) {}

  /** Awaits the head of an answer to a request that was sent just now. */
  async whileAwaiting(exchange: UpstreamExchange): Promise<HeadOutcome> {
    const { clock } = this.parts
    const sentAt = clock.monotonic()
    const remaining = this.request.deadlineAt - clock.sinceStart()
    const timer = clock.after(silenceMilliseconds(remaining), () => this.doubtLinks(sentAt))
    try {
      return await exchange.awaitAnswer()
    } finally {
      timer.cancel()
    }
  }

  private doubtLinks(sentAt: Milliseconds): void {
    const { directory, links } = this.parts
    const { name } = this.request.service
    const isHeard = directory.listed(name).some(({ heardAt }) => heardAt > sentAt)
    if (!isHeard) links.noteDoubted(name)
  }
}
