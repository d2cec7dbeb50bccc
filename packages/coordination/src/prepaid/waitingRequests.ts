/**
 * The requests of one budget that wait for a write which covers them, first come first. Owns their timers.
 */

import type { Clock, Milliseconds, Timer, TokenCount } from '@rackwalk/shared'
import type { PrepaidOutcome } from './prepaidOutcome.js'

/** One request that waits for a write which covers it. */
export class WaitingRequest {
  private answered = false
  private timer: Timer | undefined

  constructor(
    readonly tokens: TokenCount,
    private readonly resolve: (outcome: PrepaidOutcome) => void,
  ) {}

  /** Answered while a write that covers it was still on its way. */
  get isAnswered(): boolean {
    return this.answered
  }

  expireAfter(clock: Clock, patience: Milliseconds, onExpired: () => void): void {
    this.timer = clock.after(patience, onExpired)
  }

  finish(outcome: PrepaidOutcome): void {
    this.timer?.cancel()
    this.answered = true
    this.resolve(outcome)
  }
}

/** The requests of one budget that wait, first come first. */
export class WaitingRequests {
  private requests: readonly WaitingRequest[] = []

  constructor(private readonly clock: Clock) {}

  get isEmpty(): boolean {
    return this.requests.length === 0
  }

  get tokens(): readonly TokenCount[] {
    return this.requests.map(request => request.tokens)
  }

  /** Queues a request; after `patience` it is taken out and handed to `onExpired`. */
  add(
    tokens: TokenCount,
    patience: Milliseconds,
    onExpired: (request: WaitingRequest) => void,
  ): Promise<PrepaidOutcome> {
    return new Promise(resolve => {
      const request = new WaitingRequest(tokens, resolve)
      request.expireAfter(this.clock, patience, () => {
        this.removeWhere(other => other === request)
        onExpired(request)
      })
      this.requests = [...this.requests, request]
    })
  }

  /** Takes out the requests at these positions. */
  removeAt(positions: readonly number[]): readonly WaitingRequest[] {
    const wanted = new Set(positions.map(position => this.requests[position]))
    return this.removeWhere(request => wanted.has(request))
  }

  removeWhere(isWanted: (request: WaitingRequest) => boolean): readonly WaitingRequest[] {
    const taken = this.requests.filter(isWanted)
    this.requests = this.requests.filter(request => !taken.includes(request))
    return taken
  }

  /** Takes out and finishes, first come first, those that may be given tokens; each changes what the next may have. */
  finishCovered(
    holding: { readonly allowance: TokenCount },
    finish: (request: WaitingRequest) => void,
  ): void {
    for (const request of this.requests) {
      if (request.tokens > holding.allowance) continue
      this.removeWhere(other => other === request)
      finish(request)
    }
  }

  removeAll(): readonly WaitingRequest[] {
    return this.removeWhere(() => true)
  }

  /** Requests whose write did not come about wait on, but for those answered meanwhile. */
  requeue(requests: readonly WaitingRequest[]): void {
    this.requests = [...requests.filter(request => !request.isAnswered), ...this.requests]
  }
}
