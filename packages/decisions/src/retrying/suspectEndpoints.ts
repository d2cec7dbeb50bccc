/**
 * Was a request at an endpoint when it ended, or did it only meet what goes on listening there?
 *
 * Load pattern: an engine ends behind a front that takes connections on its behalf. Others are sent there until the end is
 * known, and are broken off like those that were there; each would be held for one that ends endpoints, isolated, and
 * refused once it met a second front.
 *
 * | sent                                                    | held against it                          |
 * | ------------------------------------------------------- | ---------------------------------------- |
 * | before the first break that was seen here or told       | yes: it may have been there at the end   |
 * | after it, while the endpoint is looked at or left alone | no: it met the front                     |
 * | after the look showed life, or something came from it   | yes: the break was no end                |
 * | later than the news last spoke of the break             | yes: an endpoint is back by then         |
 *
 * Until it is known what a break was, others are not sent there either, as long as another endpoint may be asked.
 *
 * Limits: the first break is seen a while after the end, so what was sent in between is held still. News counts for as long
 * as an endpoint that has ended is left alone for it; who tells it renews it. Where the platform does not tell starts, those
 * of one endpoint are judged together, since a front holds what it was sent beyond the next start's end; two instances that
 * see a break before the other's news name two. Where it tells them, what was sent to one met no other, and each is judged
 * alone.
 */

import { endpointOf } from '@rackwalk/shared'
import type { EndpointId, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** News of a break, or of an end, speaks of so long. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/** A front may hold a request for so long before it breaks it off. */
const RETENTION_MILLISECONDS: Milliseconds = 30_000
/** Starts that are remembered at a time, so that endpoints that break everything off can't fill the memory. */
const MAXIMUM_STARTS = 1_024

interface SuspectStart {
  readonly since: Milliseconds
  readonly until: Milliseconds
  /** Whether it is known to have ended. */
  readonly hasEnded: boolean
}

/** Starts of endpoints that broke something off of late. Times are monotonic. */
export class SuspectEndpoints {
  /** The one that was spoken of last stands last. */
  private readonly starts = new Map<EndpointStart, SuspectStart>()

  /** It broke something off, or it is looked at for that: here or by news. */
  noteReset(start: EndpointStart, now: Milliseconds): void {
    this.speakOf(start, now, false)
  }

  /** It is known to have ended, and not to be back. */
  noteTerminated(start: EndpointStart, now: Milliseconds): void {
    this.speakOf(start, now, true)
  }

  private speakOf(start: EndpointStart, now: Milliseconds, isEnd: boolean): void {
    const known = this.starts.get(start)
    const isSpokenOf = known !== undefined && now < known.until
    const since = isSpokenOf ? known.since : now
    const hasEnded = isEnd || (isSpokenOf && known.hasEnded)
    this.starts.delete(start)
    this.forgetOld(now)
    this.starts.set(start, { since, until: now + SUSPICION_MILLISECONDS, hasEnded })
  }

  /** The look is over, and showed no end. */
  clearSuspicion(start: EndpointStart): void {
    this.starts.delete(start)
  }

  /** It had ended, and something answers there again. */
  noteRecovered(start: EndpointStart, now: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined) return
    this.starts.set(start, { ...known, until: Math.min(known.until, now) })
  }

  /** It certainly lived at this time. */
  noteAliveAt(start: EndpointStart, at: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined || at <= known.since) return
    if (known.hasEnded) this.noteRecovered(start, at)
    else this.clearSuspicion(start)
  }

  /** The same of an endpoint whose platform does not tell its starts: those that had ended before are over. */
  noteEndpointAliveAt(start: EndpointStart, at: Milliseconds): void {
    const endpoint = endpointOf(start)
    for (const [broken, { since }] of this.starts) {
      const isEarlier = broken !== start && endpointOf(broken) === endpoint && at > since
      if (isEarlier) this.noteRecovered(broken, at)
    }
    this.noteAliveAt(start, at)
  }

  /** Whether what was sent to an endpoint at this time may have been there when this start ended, by all its starts. */
  wasInFlightAtEndpoint(start: EndpointStart, sentAt: Milliseconds): boolean {
    const endpoint = endpointOf(start)
    return ![...this.starts].some(([broken, { since, until }]) => {
      return endpointOf(broken) === endpoint && sentAt > since && sentAt < until
    })
  }

  /** The same of what was sent to this start and no other, as the platform told it. */
  wasInFlightAtStart(start: EndpointStart, sentAt: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known === undefined || sentAt <= known.since || sentAt >= known.until
  }

  /** Whether it is looked at, or known to have ended a moment ago: others go elsewhere while another may be asked. */
  isSuspect(start: EndpointStart, now: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known !== undefined && now < known.until
  }

  /** The same of an endpoint whose platform does not tell its starts. */
  isEndpointSuspect(endpoint: EndpointId, now: Milliseconds): boolean {
    return [...this.starts].some(([start, { until }]) => {
      return now < until && endpointOf(start) === endpoint
    })
  }

  /**
   * The start that breaks of an endpoint belong to whose platform does not tell its starts, by what is spoken of; undefined
   * where nothing is. `lived` is a time at which it certainly did: what was spoken of before is another matter.
   */
  suspectStartOf(
    endpoint: EndpointId,
    { now, lived }: { readonly now: Milliseconds; readonly lived: Milliseconds },
  ): EndpointStart | undefined {
    const spoken = [...this.starts].filter(([start, { since, until }]) => {
      return now < until && lived <= since && endpointOf(start) === endpoint
    })
    // All instances that heard of several choose the same one.
    return spoken.map(([start]) => start).sort()[0]
  }

  private forgetOld(now: Milliseconds): void {
    for (const [start, { until }] of this.starts) {
      const isOld = until + RETENTION_MILLISECONDS <= now
      if (!isOld && this.starts.size < MAXIMUM_STARTS) return
      this.starts.delete(start)
    }
  }
}
