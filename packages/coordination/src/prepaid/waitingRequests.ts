/**
 * The requests of one budget that wait for a write of the holder row that covers them, in order of
 * arrival. Each request has a timer, so that it is answered in time even if the write hangs.
 */

import { limitAnswer } from '@rackwalk/shared'
import type { Clock, Milliseconds, Timer, TokenCount } from '@rackwalk/shared'
import type { PrepaidOutcome } from './prepaidOutcome.js'

/** A request that waits for a write that covers it. */
export class WaitingRequest {
  private answered = false
  private timer: Timer | undefined

  constructor(
    readonly tokens: TokenCount,
    private readonly resolve: (outcome: PrepaidOutcome) => void,
  ) {}

  /** Whether the request was answered; this may happen before the write that covers it ends. */
  get isAnswered(): boolean {
    return this.answered
  }

  expireAfter(clock: Clock, patience: Milliseconds, onExpired: () => void): void {
    this.timer = limitAnswer(clock, patience, onExpired)
  }

  finish(outcome: PrepaidOutcome): void {
    this.timer?.cancel()
    this.answered = true
    this.resolve(outcome)
  }
}

/** The waiting requests of one budget, in order of arrival. */
export class WaitingRequests {
  private requests: readonly WaitingRequest[] = []

  constructor(private readonly clock: Clock) {}

  get isEmpty(): boolean {
    return this.requests.length === 0
  }

  get tokens(): readonly TokenCount[] {
    return this.requests.map(request => request.tokens)
  }

  /**
   * Queues a request. After `patience`, the request is removed from the queue, if it is still
   * there, and passed to `onExpired`.
   */
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

  /** Removes and returns the requests at these positions. */
  removeAt(positions: readonly number[]): readonly WaitingRequest[] {
    const wanted = new Set(positions.map(position => this.requests[position]))
    return this.removeWhere(request => wanted.has(request))
  }

  removeWhere(isWanted: (request: WaitingRequest) => boolean): readonly WaitingRequest[] {
    const taken = this.requests.filter(isWanted)
    this.requests = this.requests.filter(request => !taken.includes(request))
    return taken
  }

  /**
   * Removes and finishes, in order of arrival, the requests that the allowance covers. `finish`
   * commits the tokens of a request, which reduces the allowance for the next one.
   */
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

  /**
   * Puts the requests of a failed write back at the head of the queue, except those that were
   * answered in the meantime.
   */
  requeue(requests: readonly WaitingRequest[]): void {
    this.requests = [...requests.filter(request => !request.isAnswered), ...this.requests]
  }
}
