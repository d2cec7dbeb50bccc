/**
 * Decides whether a reset request may have been at an endpoint when that crashed, or only reached a front that listens
 * there since. Also decides which endpoints are suspect, so that other requests go elsewhere.
 *
 * Load pattern: an engine terminates behind a front that accepts connections on its behalf. Until the termination is known,
 * other requests are sent there and reset like those that were there at the crash. Without this rule each of them would be
 * taken for crash-inducing, isolated, and refused once it met a second front.
 *
 * Inputs: resets and terminations that this instance saw or received by gossip, probe results, and the time at which each
 * request was sent. All times are monotonic milliseconds.
 *
 * | request sent                                                      | counted against it                       |
 * | ----------------------------------------------------------------- | ---------------------------------------- |
 * | before the first reset that was seen here or reported             | yes: it may have been there at the crash |
 * | after that, while the endpoint is probed or left alone            | no: it reached the front                 |
 * | after a probe showed life, or something arrived from the endpoint | yes: the earlier reset was no crash      |
 * | after the last report of the reset has expired                    | yes: the endpoint is back by then        |
 *
 * Until the cause of a reset is known, other requests are not sent to that endpoint either, as long as another one may be
 * tried.
 *
 * Limits: the first reset is seen a while after the termination, so requests that were sent in between are still
 * counted against. A report counts for as long as a terminated endpoint is left alone because of it, and its sender
 * renews it. If the platform reports no starts, all starts of one endpoint are judged together: a front may hold a
 * request beyond the termination of the next start, and two instances that each see a reset before the other's report
 * name two different starts. If the platform reports starts, a request that was sent to one start reached no other, and
 * each start is judged alone.
 */

import { endpointOf } from '@rackwalk/shared'
import type { EndpointId, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** Time for which a report of a reset or a termination counts. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/** Maximum time for which a front may hold a request before it resets it. */
const RETENTION_MILLISECONDS: Milliseconds = 30_000
/** Maximum number of starts held at a time, so that endpoints that reset every request cannot fill the memory. */
const MAXIMUM_STARTS = 1_024

interface SuspectStart {
  /** When the first reset or termination of this suspicion was reported. */
  readonly since: Milliseconds
  /** When the newest report expires. */
  readonly until: Milliseconds
  /** Whether the start is known to have terminated. */
  readonly hasTerminated: boolean
}

/** Endpoint starts that reset requests recently. Times are monotonic. */
export class SuspectEndpoints {
  /** Ordered from the least to the most recently reported start. */
  private readonly starts = new Map<EndpointStart, SuspectStart>()

  /** Records that a start reset a request or is being probed for a reset, as seen here or as reported by gossip. */
  noteReset(start: EndpointStart, now: Milliseconds): void {
    this.renewSuspicion(start, now, false)
  }

  /** Records that a start is known to have terminated and not to be back. */
  noteTerminated(start: EndpointStart, now: Milliseconds): void {
    this.renewSuspicion(start, now, true)
  }

  private renewSuspicion(start: EndpointStart, now: Milliseconds, isTermination: boolean): void {
    const known = this.starts.get(start)
    const isStillSuspect = known !== undefined && now < known.until
    const since = isStillSuspect ? known.since : now
    const hasTerminated = isTermination || (isStillSuspect && known.hasTerminated)
    this.starts.delete(start)
    this.forgetOld(now)
    this.starts.set(start, { since, until: now + SUSPICION_MILLISECONDS, hasTerminated })
  }

  /** Forgets a start after its probe is over and showed no termination. */
  clearSuspicion(start: EndpointStart): void {
    this.starts.delete(start)
  }

  /** Records that something answers again at a start that had terminated. */
  noteRecovered(start: EndpointStart, now: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined) return
    this.starts.set(start, { ...known, until: Math.min(known.until, now) })
  }

  /** Records that a start was certainly alive at a time. */
  noteAliveAt(start: EndpointStart, at: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined || at <= known.since) return
    if (known.hasTerminated) this.noteRecovered(start, at)
    else this.clearSuspicion(start)
  }

  /**
   * Like `noteAliveAt`, for an endpoint whose platform reports no starts: earlier terminations of the endpoint are over as
   * well.
   */
  noteEndpointAliveAt(start: EndpointStart, at: Milliseconds): void {
    const endpoint = endpointOf(start)
    for (const [suspect, { since }] of this.starts) {
      const isEarlier = suspect !== start && endpointOf(suspect) === endpoint && at > since
      if (isEarlier) this.noteRecovered(suspect, at)
    }
    this.noteAliveAt(start, at)
  }

  /**
   * Whether a request that was sent to the endpoint of this start at `sentAt` may have been there at the crash, judged
   * by all starts of the endpoint.
   */
  wasInFlightAtEndpoint(start: EndpointStart, sentAt: Milliseconds): boolean {
    const endpoint = endpointOf(start)
    return ![...this.starts].some(([suspect, { since, until }]) => {
      return endpointOf(suspect) === endpoint && sentAt > since && sentAt < until
    })
  }

  /** The same for a request that was sent to this start and no other, as reported by the platform. */
  wasInFlightAtStart(start: EndpointStart, sentAt: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known === undefined || sentAt <= known.since || sentAt >= known.until
  }

  /**
   * Whether a start is being probed or is known to have terminated recently. Other requests go elsewhere while another
   * endpoint may be tried.
   */
  isSuspect(start: EndpointStart, now: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known !== undefined && now < known.until
  }

  /** The same for an endpoint whose platform reports no starts. */
  isEndpointSuspect(endpoint: EndpointId, now: Milliseconds): boolean {
    return [...this.starts].some(([start, { until }]) => {
      return now < until && endpointOf(start) === endpoint
    })
  }

  /**
   * Returns the suspect start to which resets of an endpoint are attributed if its platform reports no starts, or
   * undefined if none is suspect. `lived` is a time at which the endpoint was certainly alive: a suspicion that began
   * before it belongs to another matter.
   */
  suspectStartOf(
    endpoint: EndpointId,
    { now, lived }: { readonly now: Milliseconds; readonly lived: Milliseconds },
  ): EndpointStart | undefined {
    const suspects = [...this.starts].filter(([start, { since, until }]) => {
      return now < until && lived <= since && endpointOf(start) === endpoint
    })
    // All instances that know the same suspect starts choose the same one.
    return suspects.map(([start]) => start).sort()[0]
  }

  private forgetOld(now: Milliseconds): void {
    for (const [start, { until }] of this.starts) {
      const isOld = until + RETENTION_MILLISECONDS <= now
      if (!isOld && this.starts.size < MAXIMUM_STARTS) return
      this.starts.delete(start)
    }
  }
}
