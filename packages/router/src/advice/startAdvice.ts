/**
 * What one start of an endpoint has said of itself in answers, here or to other instances. Owns it for as long as the
 * start is remembered, whatever rows say of it; decides nothing.
 */

import type { AdviceNews } from '@rackwalk/decisions'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** A rate that is named from answer to answer anew is told this often at the most; a stricter one at once. */
const TELL_MILLISECONDS: Milliseconds = 500

/** Age of what was never said, in news: more than anything is remembered. */
const OLDEST_MILLISECONDS: Milliseconds = 86_400_000

/** The memory of one start. */
export class StartAdvice {
  /** Requests a second that it takes from the whole fleet; undefined where it names none. */
  requestsPerSecond: number | undefined
  /** Whether it said that it leaves: that holds until its end, whatever a row says that was written before. */
  isLeaving = false
  /** Time, suspensions included, of the newest answer that told of a rate or of none. */
  private rateAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Monotonic time until which it wants nothing from this instance. */
  private restUntil: Milliseconds = Number.NEGATIVE_INFINITY
  /** Whether it asked for rest and has taken nothing from here since. */
  isOnTrial = false
  /** Monotonic time at which anything was last heard of it. */
  private heardAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** What the others were told last, and when. */
  private told: number | undefined
  private toldAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(
    readonly start: EndpointStart,
    private readonly clock: Clock,
  ) {}

  /** Time since anything was heard of it, without suspensions. */
  get silenceMilliseconds(): Milliseconds {
    return this.clock.monotonic() - this.heardAt
  }

  /** Somebody asked it, and will tell what it answers if that is new. */
  noteAsked(): void {
    this.heardAt = this.clock.monotonic()
  }

  /** An answer told of a rate, or of none; news for the others where they don't know it. */
  noteRate(requestsPerSecond: number | undefined): AdviceNews | undefined {
    this.noteAsked()
    this.rateAt = this.clock.sinceStart()
    this.requestsPerSecond = requestsPerSecond
    return this.mustTell ? this.tell() : undefined
  }

  /** Time until it wants something from this instance again; 0 where it does. */
  get restMilliseconds(): Milliseconds {
    return Math.max(0, this.restUntil - this.clock.monotonic())
  }

  /** It turned a request from here away and asked for rest; a shorter wish does not end a longer one. */
  noteRest(milliseconds: Milliseconds): void {
    this.restUntil = Math.max(this.restUntil, this.clock.monotonic() + milliseconds)
    this.isOnTrial = true
  }

  /** It took a request from here; one that was sent before it asked for rest says nothing of that. */
  noteTaken(): void {
    if (this.restMilliseconds === 0) this.isOnTrial = false
  }

  /** An answer said that it leaves; news for the others where they don't know it. */
  noteLeaving(): AdviceNews | undefined {
    if (this.isLeaving) return undefined
    this.isLeaving = true
    return this.news
  }

  /** Another instance had such an answer; what is newer here counts. */
  observe({ requestsPerSecond, isLeaving = false, ageMilliseconds }: AdviceNews): void {
    this.noteAsked()
    this.isLeaving ||= isLeaving
    const saidAt = this.clock.sinceStart() - ageMilliseconds
    if (saidAt < this.rateAt) return
    this.rateAt = saidAt
    this.requestsPerSecond = requestsPerSecond
    this.told = requestsPerSecond
  }

  /** What is known, for an instance that may not have heard it; undefined where nothing holds. */
  get standingNews(): AdviceNews | undefined {
    return this.requestsPerSecond === undefined && !this.isLeaving ? undefined : this.news
  }

  private get mustTell(): boolean {
    const { requestsPerSecond: now, told } = this
    if (now === told) return false
    if (now === undefined || told === undefined || now < told) return true
    return this.clock.monotonic() - this.toldAt >= TELL_MILLISECONDS
  }

  private tell(): AdviceNews {
    this.told = this.requestsPerSecond
    this.toldAt = this.clock.monotonic()
    return this.news
  }

  private get news(): AdviceNews {
    const { start, requestsPerSecond, isLeaving } = this
    return {
      start,
      ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
      ...(isLeaving ? { isLeaving } : {}),
      // What was never said is older than anything.
      ageMilliseconds: Math.min(OLDEST_MILLISECONDS, this.clock.sinceStart() - this.rateAt),
    }
  }
}
