/**
 * Decides whether a reset request may have been at an endpoint when the endpoint crashed, or only reached a front (a proxy
 * or load balancer in front of the engine) that still accepted connections after the crash. Also decides which endpoints
 * are suspect, so that other requests go elsewhere, and to which start (one run of an endpoint: its id and start time) a
 * reset is attributed if the platform reports no starts.
 *
 * Load pattern: an engine terminates behind a front that accepts connections on its behalf. Until the termination is known,
 * other requests are sent there and reset like those that were there at the crash. Without this rule each of them would be
 * taken for crash-inducing, isolated, and refused once it met a second front.
 *
 * Inputs: resets and terminations that this instance saw or received by gossip (messages that instances send each other),
 * probe results, and the time at which each request was sent. All times are monotonic milliseconds.
 *
 * A suspicion lasts from the first reset or termination that was seen here or reported until the newest report expires. A
 * probe that shows life, or data that arrives from the endpoint, ends it early. A reset is counted against a request, which
 * can make the request suspect, if the request may have been at the endpoint when the endpoint crashed:
 *
 * | request sent                                                  | counted against the request                   |
 * | ------------------------------------------------------------- | --------------------------------------------- |
 * | before the suspicion began                                    | yes: it may have been there at the crash      |
 * | during the suspicion                                          | no: it reached the front                      |
 * | at any time, if the start was then found to be alive          | yes: the earlier reset was no crash           |
 * | after something answered at the address of a terminated start | yes: the endpoint is back                     |
 * | after the newest report expired                               | yes: the endpoint is taken to be back by then |
 *
 * During a suspicion, other requests are not sent to that endpoint either, as long as another one may be tried.
 *
 * Limits: the first reset is seen a while after the termination, so requests that were sent in between are still
 * counted. A report counts for as long as a terminated endpoint is left alone because of it, and its sender renews it. If
 * the platform reports no starts, all starts of one endpoint are judged together: a front may hold a request beyond the
 * termination of the next start, and two instances that each see a reset before the other's report name two different
 * starts. If the platform reports starts, a request that was sent to one start reached no other, and each start is judged
 * alone.
 */

import { endpointOf } from '@rackwalk/shared'
import type { EndpointId, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** Time for which a report of a reset or a termination counts. The sender renews its report more often than that. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/**
 * Time for which an expired suspicion is kept. A front may hold a request that was sent during the suspicion, and reset the
 * request this much later at most.
 */
const RETENTION_MILLISECONDS: Milliseconds = 30_000
/** Maximum number of starts held at a time, so that endpoints that reset every request cannot fill the memory. */
const MAXIMUM_STARTS = 1_024

/** A suspicion against one endpoint start. Times are monotonic. */
interface SuspectStart {
  /** When this instance saw or received the first report of a reset or termination. */
  readonly since: Milliseconds
  /** When the newest report expires, or when the endpoint was found to be back if that was earlier. */
  readonly until: Milliseconds
  /** Whether the start is known to have terminated. */
  readonly hasTerminated: boolean
}

/** Endpoint starts that reset requests or terminated recently. Times are monotonic. */
export class SuspectEndpoints {
  /** Ordered from the least to the most recently reported start. */
  private readonly starts = new Map<EndpointStart, SuspectStart>()

  /** Records that a start reset a request or is being probed after a reset, as seen here or as reported by gossip. */
  noteReset(start: EndpointStart, now: Milliseconds): void {
    this.renewSuspicion(start, now, false)
  }

  /** Records that a start is known to have terminated and that nothing at its address has reported a state since. */
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

  /** Forgets a start after probes or later contact showed that it is alive. Its earlier resets were no crash. */
  clearSuspicion(start: EndpointStart): void {
    this.starts.delete(start)
  }

  /**
   * Records that something answers again at the address of a start that had terminated. The suspicion expires at `now`, so
   * a reset counts against requests that are sent from then on. Requests that were sent during the suspicion stay exempt.
   */
  noteRecovered(start: EndpointStart, now: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined) return
    this.starts.set(start, { ...known, until: Math.min(known.until, now) })
  }

  /**
   * Records that a start was certainly alive at a time. A time after the beginning of its suspicion ends the suspicion; an
   * earlier time has no effect.
   */
  noteAliveAt(start: EndpointStart, at: Milliseconds): void {
    const known = this.starts.get(start)
    if (known === undefined || at <= known.since) return
    if (known.hasTerminated) this.noteRecovered(start, at)
    else this.clearSuspicion(start)
  }

  /**
   * Like `noteAliveAt`, for an endpoint whose platform reports no starts. Suspicions of other starts of the endpoint that
   * began before that time expire as well.
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
   * Whether a request that was sent to the endpoint of this start at `sentAt` may have been there at the crash. Returns
   * false if the request was sent during a suspicion of any start of the endpoint. For an endpoint whose platform reports no
   * starts.
   */
  wasInFlightAtEndpoint(start: EndpointStart, sentAt: Milliseconds): boolean {
    const endpoint = endpointOf(start)
    return ![...this.starts].some(([suspect, { since, until }]) => {
      return endpointOf(suspect) === endpoint && sentAt > since && sentAt < until
    })
  }

  /**
   * Whether a request that was sent to this start at `sentAt` may have been there at the crash. Returns false if the request
   * was sent during a suspicion of this start. For an endpoint whose platform reports its starts.
   */
  wasInFlightAtStart(start: EndpointStart, sentAt: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known === undefined || sentAt <= known.since || sentAt >= known.until
  }

  /**
   * Whether a start reset a request or terminated recently, according to a report that has not expired. Other requests go
   * elsewhere as long as another endpoint may be tried.
   */
  isSuspect(start: EndpointStart, now: Milliseconds): boolean {
    const known = this.starts.get(start)
    return known !== undefined && now < known.until
  }

  /** Whether any start of an endpoint is suspect. For an endpoint whose platform reports no starts. */
  isEndpointSuspect(endpoint: EndpointId, now: Milliseconds): boolean {
    return [...this.starts].some(([start, { until }]) => {
      return now < until && endpointOf(start) === endpoint
    })
  }

  /**
   * Returns the suspect start to which resets of an endpoint are attributed if its platform reports no starts, or
   * undefined if none is suspect. `lived` is a time at which the endpoint was certainly alive: a suspicion that began
   * before that time had another cause than the present resets.
   */
  suspectStartOf(
    endpoint: EndpointId,
    { now, lived }: { readonly now: Milliseconds; readonly lived: Milliseconds },
  ): EndpointStart | undefined {
    const suspects = [...this.starts].filter(([start, { since, until }]) => {
      return now < until && lived <= since && endpointOf(start) === endpoint
    })
    // Sorted, so that all instances that know the same suspect starts choose the same one.
    return suspects.map(([start]) => start).sort()[0]
  }

  /** Forgets suspicions that expired long ago, and the least recently reported ones if too many are held. */
  private forgetOld(now: Milliseconds): void {
    for (const [start, { until }] of this.starts) {
      const isOld = until + RETENTION_MILLISECONDS <= now
      if (!isOld && this.starts.size < MAXIMUM_STARTS) return
      this.starts.delete(start)
    }
  }
}
