/**
 * What all starts of endpoints have said of themselves. Owns the memory of each, which outlasts its row; tells what is
 * new to whoever made it.
 */

import { adviceText } from '@rackwalk/decisions'
import type { AdviceGossip, EndpointAdvice } from '@rackwalk/decisions'
import type { Clock, EndpointStart } from '@rackwalk/shared'
import { StartAdvice } from './startAdvice.js'

/** What the memory works with. */
export interface EndpointAdviceStoreParts {
  readonly clock: Clock
  /** A start said something else of itself than before, in words; undefined where it says nothing any more. */
  readonly onChange: (start: EndpointStart, said: string | undefined) => void
  /** For all other instances. */
  readonly broadcast: (news: AdviceGossip) => void
}

/** Starts that are remembered at the most; the one that was touched longest ago is forgotten first. */
const REMEMBERED_STARTS = 4_096

interface Remembered {
  readonly advice: StartAdvice
  /** Which kinds of things it said, and not their figures: a line for each answer would tell nothing. */
  said: string
}

/** The memory of one instance. */
export class EndpointAdviceStore {
  /** The one that was touched last stands last. */
  private readonly starts = new Map<EndpointStart, Remembered>()

  constructor(private readonly parts: EndpointAdviceStoreParts) {}

  /** What a start has said, if anything. */
  of(start: EndpointStart): StartAdvice | undefined {
    return this.starts.get(start)?.advice
  }

  /** An endpoint said this in an answer. `isTrusted`: it is its own answer to what was asked, and whole. */
  note(start: EndpointStart, advice: EndpointAdvice, isTrusted: boolean): void {
    const known = this.starts.get(start)
    const isSilent = adviceText(advice) === undefined
    if (known === undefined && isSilent) return
    const remembered = this.touch(start)
    this.noteRate(remembered.advice, advice, isTrusted)
    if (advice.isLeaving) this.tell(remembered.advice.noteLeaving())
    if (advice.restMilliseconds !== undefined)
      remembered.advice.noteRetryAfter(advice.restMilliseconds)
    else if (isTrusted) remembered.advice.noteAccepted()
    this.noteChange(start, remembered, advice)
  }

  /** Another instance had such an answer. */
  observe(news: AdviceGossip): void {
    const isNothing = news.requestsPerSecond === undefined && news.isLeaving !== true
    if (isNothing && !this.starts.has(news.start)) return
    this.touch(news.start).advice.observe(news)
  }

  /** Another instance has requests in progress there: it will tell what it hears. */
  notePeerRequests(start: EndpointStart): void {
    this.starts.get(start)?.advice.noteActivity()
  }

  /** A start is over. */
  forget(start: EndpointStart): void {
    this.starts.delete(start)
  }

  /** What holds of all starts, for an instance that may not have heard it. */
  get newsSnapshot(): readonly AdviceGossip[] {
    return [...this.starts.values()].flatMap(({ advice }) => advice.newsSnapshot ?? [])
  }

  /** Starts that name a rate. */
  get rateLimitedCount(): number {
    return this.newsSnapshot.filter(({ requestsPerSecond }) => requestsPerSecond !== undefined)
      .length
  }

  /** Starts that want nothing from this instance for now. */
  get backingOffCount(): number {
    return [...this.starts.values()].filter(({ advice }) => advice.retryAfterMilliseconds > 0)
      .length
  }

  /** Whether a start said that it leaves. */
  isLeaving(start: EndpointStart): boolean {
    return this.of(start)?.isLeaving === true
  }

  private noteRate(memory: StartAdvice, { rate }: EndpointAdvice, isTrusted: boolean): void {
    if (rate === 'unreadable') return
    // What is no answer of the endpoint's own does not end a rate that it named.
    if (rate === 'none' && !isTrusted) return
    this.tell(memory.noteRate(rate === 'none' ? undefined : rate))
  }

  private tell(news: AdviceGossip | undefined): void {
    if (news !== undefined) this.parts.broadcast(news)
  }

  private noteChange(start: EndpointStart, remembered: Remembered, advice: EndpointAdvice): void {
    const said = kindsOf(advice)
    if (said === remembered.said) return
    remembered.said = said
    this.parts.onChange(start, adviceText(advice))
  }

  private touch(start: EndpointStart): Remembered {
    const known = this.starts.get(start)
    const remembered = known ?? { advice: new StartAdvice(start, this.parts.clock), said: '' }
    this.starts.delete(start)
    const [oldest] = this.starts.keys()
    if (this.starts.size >= REMEMBERED_STARTS && oldest !== undefined) this.starts.delete(oldest)
    this.starts.set(start, remembered)
    return remembered
  }
}

function kindsOf({ rate, isLeaving, restMilliseconds, faults }: EndpointAdvice): string {
  const hasRate = typeof rate === 'number'
  return [hasRate, isLeaving, restMilliseconds !== undefined, ...faults].join()
}
