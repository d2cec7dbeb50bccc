/**
 * May an instance serve by what it knows of the operator's and the endpoints' rows, or is that too old?
 *
 * Load pattern: the callers of a busy team fill the link of a weak instance, or its processor, or its one connection
 * to the store has fallen silent. It goes on serving by a configuration that was replaced seconds ago: by keys that
 * were taken away, by routes that are gone, to endpoints that leave. One was seen to serve for 1.2 s by a
 * configuration whose bound had passed (86 instances, one played day).
 *
 * An old age alone proves nothing: while the store is away for all, nobody can know better, and an instance
 * that refused then would refuse for the whole outage. So what decides is who else is there. A peer that answers
 * tells either newer rows or that it has none either. Where none answers, an instance to which the store answered
 * another call, or of which a peer's word came, is not cut off: it is late itself, and refuses. One that hears
 * nobody at all is cut off, and serves by what it knows.
 *
 * Limits: the margin covers the way of a request to its endpoint. Peers are asked well before, so that
 * their answer is there when the bound comes.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What one instance knows of one table of rows, and how old that may be. */
export interface KnownRows {
  /** Time since the store, or a peer that had read it, was last known to have nothing newer. */
  readonly ageMilliseconds: Milliseconds
  /** Time after which a change has to be in force; from the settings. */
  readonly boundMilliseconds: Milliseconds
  /** Whether a peer answered lately that it knows nothing newer either. */
  readonly isConfirmedOld: boolean
}

/** Who else is there, as the instance observes it. */
export interface Reachability {
  /** Time since the store last answered any call. */
  readonly answeredAgoMilliseconds: Milliseconds
  /** Time since another instance was last heard of. */
  readonly heardAgoMilliseconds: Milliseconds
}

/**
 * Part of a bound that is left when an instance refuses: a request that is taken reaches its endpoint some
 * hundred milliseconds later. Chosen as a tenth; bounds are two seconds and more.
 */
const MARGIN_SHARE = 0.1
/**
 * Part of a bound after which peers are asked. A question for changes waits half a bound at the store and is put again
 * after a quarter of a second, so an active instance asks nobody in calm seconds.
 */
const ASKING_SHARE = 0.7
/**
 * A word of the store or of a peer within this part of a bound says that this instance is not cut off. A cut that
 * begins while a question waits is older than this when the bound comes.
 */
const HEARD_SHARE = 0.25
/** Part of a bound for which a question for changes may wait, so that the age tells of a silent store. */
const WAIT_SHARE = 0.5

/** Whether peers should be asked for newer rows. */
export function shouldAskPeers({ ageMilliseconds, boundMilliseconds }: KnownRows): boolean {
  return ageMilliseconds > ASKING_SHARE * boundMilliseconds
}

/** The longest time for which a question for changes may wait at the store. */
export function longestFeedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.floor(WAIT_SHARE * boundMilliseconds)
}

/** Whether requests have to be refused, since these rows may have changed before their bound. */
export function isTooOld(rows: KnownRows, reachability: Reachability): boolean {
  const { ageMilliseconds, boundMilliseconds, isConfirmedOld } = rows
  if (ageMilliseconds <= (1 - MARGIN_SHARE) * boundMilliseconds || isConfirmedOld) return false
  const { answeredAgoMilliseconds, heardAgoMilliseconds } = reachability
  const heardAgo = Math.min(answeredAgoMilliseconds, heardAgoMilliseconds)
  return heardAgo <= HEARD_SHARE * boundMilliseconds
}
