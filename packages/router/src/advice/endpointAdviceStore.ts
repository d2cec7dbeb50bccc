/**
 * Stores the advice that endpoints give in their answers: a rate limit for the whole fleet, a backoff
 * (Retry-After), and that they leave. Advice is kept by start, which is one run of an endpoint, and outlasts
 * the start's row. Changes of rate limit and leaving are broadcast to the other instances, so that all of
 * them respect the advice that one received; a backoff applies to this instance only. Changes in the kinds of
 * advice are reported to the store's owner for the log.
 */

import { adviceText } from '@rackwalk/decisions'
import type { AdviceGossip, EndpointAdvice } from '@rackwalk/decisions'
import type { Clock, EndpointStart } from '@rackwalk/shared'
import { StartAdvice } from './startAdvice.js'

/** Dependencies and callbacks of a store. */
export interface EndpointAdviceStoreParts {
  readonly clock: Clock
  /**
   * An answer gave other kinds of advice than the last one of its start. `said` describes the advice;
   * undefined if the answer gave none.
   */
  readonly onChange: (start: EndpointStart, said: string | undefined) => void
  /** Sends advice to all other instances. */
  readonly broadcast: (gossip: AdviceGossip) => void
}

/** Maximum number of stored starts; the one whose advice was received least recently is forgotten first. */
const MAXIMUM_STARTS = 4_096

interface StoredAdvice {
  readonly advice: StartAdvice
  /**
   * The kinds of advice without their figures, so that a change of figures alone is not logged: there would
   * be a log line per answer.
   */
  loggedKinds: string
}

/** The advice known to one instance. */
export class EndpointAdviceStore {
  /** Ordered by the time at which advice was last received, the newest last. */
  private readonly starts = new Map<EndpointStart, StoredAdvice>()

  constructor(private readonly parts: EndpointAdviceStoreParts) {}

  /** The advice of a start; undefined if none is stored. */
  of(start: EndpointStart): StartAdvice | undefined {
    return this.starts.get(start)?.advice
  }

  /**
   * Stores the advice in the head of an answer. `isTrusted`: whether the answer is the endpoint's own answer
   * to this request and no rejection, so that missing advice lifts a rate limit and ends a trial.
   */
  note(start: EndpointStart, advice: EndpointAdvice, isTrusted: boolean): void {
    const known = this.starts.get(start)
    const isSilent = adviceText(advice) === undefined
    if (known === undefined && isSilent) return
    const stored = this.touch(start)
    this.noteRate(stored.advice, advice, isTrusted)
    if (advice.isLeaving) this.broadcast(stored.advice.noteLeaving())
    if (advice.restMilliseconds !== undefined) stored.advice.noteRetryAfter(advice.restMilliseconds)
    else if (isTrusted) stored.advice.noteAccepted()
    this.noteChange(start, stored, advice)
  }

  /** Applies advice that another instance received. */
  observe(gossip: AdviceGossip): void {
    const isNothing = gossip.requestsPerSecond === undefined && gossip.isLeaving !== true
    if (isNothing && !this.starts.has(gossip.start)) return
    this.touch(gossip.start).advice.observe(gossip)
  }

  /** Another instance has requests in flight to this start and will broadcast the advice in their answers. */
  notePeerRequests(start: EndpointStart): void {
    this.starts.get(start)?.advice.noteActivity()
  }

  /** Forgets the advice of a start that has terminated. */
  forget(start: EndpointStart): void {
    this.starts.delete(start)
  }

  /** Current advice of all starts, for an instance that may not have received it. */
  get gossipSnapshot(): readonly AdviceGossip[] {
    return [...this.starts.values()].flatMap(({ advice }) => advice.gossipSnapshot ?? [])
  }

  /** Number of starts that advertise a rate limit. */
  get rateLimitedCount(): number {
    return this.gossipSnapshot.filter(({ requestsPerSecond }) => requestsPerSecond !== undefined)
      .length
  }

  /** Number of starts that asked this instance for a backoff which is not over. */
  get backingOffCount(): number {
    return [...this.starts.values()].filter(({ advice }) => advice.retryAfterMilliseconds > 0)
      .length
  }

  /** Whether a start announced, in an answer to this or another instance, that it leaves. */
  isLeaving(start: EndpointStart): boolean {
    return this.of(start)?.isLeaving === true
  }

  private noteRate(startAdvice: StartAdvice, { rate }: EndpointAdvice, isTrusted: boolean): void {
    if (rate === 'unreadable') return
    // An answer that is not the endpoint's own does not lift a rate limit.
    if (rate === 'none' && !isTrusted) return
    this.broadcast(startAdvice.noteRate(rate === 'none' ? undefined : rate))
  }

  private broadcast(gossip: AdviceGossip | undefined): void {
    if (gossip !== undefined) this.parts.broadcast(gossip)
  }

  private noteChange(start: EndpointStart, stored: StoredAdvice, advice: EndpointAdvice): void {
    const kinds = kindsOf(advice)
    if (kinds === stored.loggedKinds) return
    stored.loggedKinds = kinds
    this.parts.onChange(start, adviceText(advice))
  }

  private touch(start: EndpointStart): StoredAdvice {
    const known = this.starts.get(start)
    const stored = known ?? { advice: new StartAdvice(start, this.parts.clock), loggedKinds: '' }
    this.starts.delete(start)
    const [oldest] = this.starts.keys()
    if (this.starts.size >= MAXIMUM_STARTS && oldest !== undefined) this.starts.delete(oldest)
    this.starts.set(start, stored)
    return stored
  }
}

function kindsOf({ rate, isLeaving, restMilliseconds, faults }: EndpointAdvice): string {
  const hasRate = typeof rate === 'number'
  return [hasRate, isLeaving, restMilliseconds !== undefined, ...faults].join()
}
