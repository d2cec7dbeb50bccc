/**
 * May an instance serve by what it knows of the operator's and the endpoints' rows, or is that too old?
 *
 * Load pattern: the callers of a busy team fill the link of a weak instance, or its processor, or its one connection
 * to the store has fallen silent. It goes on serving by a configuration that was replaced seconds ago: by keys that
 * were taken away, by routes that are gone, to endpoints that leave.
 *
 * An old age alone proves nothing: while the store is away for all, nobody can know better, and an instance
 * that refused then would refuse for the whole outage. So what decides is who else is there. A peer that answers
 * tells either newer rows or that it has none either. Where none answers, an instance to which the store answered
 * another call, or of which a peer's word came, is not cut off: it is late itself, and refuses. One that hears
 * nobody at all is cut off, and serves by what it knows.
 *
 * Limits: the margin covers the way of a request to its endpoint. Peers are asked well before, so that
 * their answer is there when the bound comes. An answer speaks for the time at which its question was sent, however
 * late it comes: a full link delays it by more than the peer took, and whoever waits for a prompt one takes a peer
 * that answers for one that does not.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What one instance knows of one table of rows, and how old that may be. */
export interface RowStaleness {
  /** Time since the store, or a peer that had read it, was last known to have nothing newer. */
  readonly ageMilliseconds: Milliseconds
  /** Time after which a change has to be in force; from the settings. */
  readonly boundMilliseconds: Milliseconds
  /** Time since the newest question was sent that a peer answered with nothing newer; infinite where there is none. */
  readonly confirmedAgoMilliseconds: Milliseconds
}

/** Who else is there, as the instance observes it. */
export interface ContactAges {
  /** Time since the store last answered any call. */
  readonly answeredAgoMilliseconds: Milliseconds
  /** Time since another instance was last heard of. */
  readonly heardAgoMilliseconds: Milliseconds
}

/**
 * Part of a bound that is left when an instance refuses: a request that is taken reaches its endpoint some
 * hundred milliseconds later, and bounds are of seconds.
 */
const MARGIN_SHARE = 0.1
/**
 * Part of a bound after which peers are asked. A question for changes waits half a bound at the store and is put again
 * after a quarter of a second, so an active instance asks nobody in calm seconds; what is left until the bound is the
 * time that answers may take through a full link.
 */
const ASKING_SHARE = 0.64
/**
 * A word of the store or of a peer within this part of a bound says that this instance is not cut off. A cut that
 * begins while a question waits is older than this when the bound comes.
 */
const HEARD_SHARE = 0.25
/**
 * A peer's answer speaks for this part of a bound, from its question on. A peer that follows the store is itself late by
 * a question that waits, so both together stay within the bound less its margin.
 */
const CONFIRMED_SHARE = 0.4
/** Part of a bound for which a question for changes may wait, so that the age tells of a silent store. */
const WAIT_SHARE = 0.5

/** Whether peers should be asked for newer rows. */
export function shouldAskPeers({ ageMilliseconds, boundMilliseconds }: RowStaleness): boolean {
  return ageMilliseconds > ASKING_SHARE * boundMilliseconds
}

/** The longest time for which a question for changes may wait at the store. */
export function maximumFeedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.floor(WAIT_SHARE * boundMilliseconds)
}

/** How long a peer's answer speaks for what is known here, and so how long it is worth waiting for. */
export function confirmationLifetime(boundMilliseconds: Milliseconds): Milliseconds {
  return CONFIRMED_SHARE * boundMilliseconds
}

/** Whether requests have to be refused, since these rows may have changed before their bound. */
export function isTooStale(rows: RowStaleness, reachability: ContactAges): boolean {
  const { ageMilliseconds, boundMilliseconds, confirmedAgoMilliseconds } = rows
  if (ageMilliseconds <= (1 - MARGIN_SHARE) * boundMilliseconds) return false
  if (confirmedAgoMilliseconds <= confirmationLifetime(boundMilliseconds)) return false
  const { answeredAgoMilliseconds, heardAgoMilliseconds } = reachability
  const heardAgo = Math.min(answeredAgoMilliseconds, heardAgoMilliseconds)
  return heardAgo <= HEARD_SHARE * boundMilliseconds
}
