/**
 * Decides whether an instance may serve requests by its copy of the operator's and the endpoints'
 * rows, or has to refuse them because the copy is too old. Also decides when peers (other
 * instances) are asked for newer rows, and how long a query for changes may wait at the store.
 *
 * Load pattern: the callers of a busy team fill the link or the processor of an instance that is
 * too slow for them, or the instance's one connection to the store has fallen silent. The instance
 * then goes on serving by a configuration that was replaced seconds ago: it accepts keys that were
 * revoked, uses routes that were deleted and sends requests to endpoints that are leaving.
 *
 * Inputs: for each table of rows its age, its bound from the settings and the time since this
 * instance sent the newest query that a peer answered, with newer rows or without; and the times
 * since the store last answered and since a peer's message last arrived. All are in milliseconds.
 *
 * | copy older than 0.9 of its bound, and                                      | requests    |
 * | -------------------------------------------------------------------------- | ----------- |
 * | a peer answered a query that was sent at most 0.4 of the bound ago         | are served  |
 * | else the store or a peer was last in contact at most 0.25 of the bound ago | are refused |
 * | neither                                                                    | are served  |
 *
 * Age alone is not enough to refuse: while no instance reaches the store, none can have newer rows,
 * and an instance that refused by age would refuse for the whole outage. A peer's answer holds the
 * rows that are newer than this copy, if the peer has any, and this instance applies them. So after
 * any answer the copy is at least as new as that peer's. Where no peer answers, but the store has
 * answered another call or a peer has sent another message, this instance is still connected. Then
 * its copy is late because of its own load, and it refuses requests. An instance in contact with
 * nobody is cut off, that is, without a connection to the store and the peers; it serves by the
 * copy that it has.
 *
 * Limits: the margin before the bound covers the time in which a request reaches its endpoint.
 * Peers are asked well before the bound, so that their answers have arrived by then. A peer's
 * answer counts from the time at which the query was sent, however late the answer arrives: a full
 * link delays an answer by more than the peer took. An instance that stopped waiting early would
 * treat a peer that answers as one that does not.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** The age of one instance's copy of a table of rows, and how old the copy may be. */
export interface RowStaleness {
  /**
   * Time since the store, or a peer that had read it, last confirmed that there was nothing newer.
   */
  readonly ageMilliseconds: Milliseconds
  /** Time within which a change has to take effect; from the settings. */
  readonly boundMilliseconds: Milliseconds
  /**
   * Time since this instance sent the newest query that a peer answered, with newer rows or
   * without; infinite if no peer has answered any.
   */
  readonly confirmedAgoMilliseconds: Milliseconds
}

/** Times since this instance was last in contact with the store and with peers. */
export interface ContactAges {
  /** Time since the store last answered any call. */
  readonly answeredAgoMilliseconds: Milliseconds
  /** Time since a message of any other instance last arrived. */
  readonly heardAgoMilliseconds: Milliseconds
}

/**
 * Part of a bound that is left when an instance begins to refuse: an admitted request reaches its
 * endpoint some hundred milliseconds later, and bounds are seconds long.
 */
const MARGIN_SHARE = 0.1
/**
 * Part of a bound after which peers are asked. A query for changes waits for at most half a bound
 * at the store, and an instance to which the directory sends callers (an active one) repeats it
 * after at most a quarter of a second. With bounds of some seconds, an active instance therefore
 * asks no peer while the store answers. The time left until the bound is for answers that a full
 * link delays.
 */
const PEER_QUERY_SHARE = 0.64
/**
 * Contact with the store or a peer within this part of a bound shows that this instance is not cut
 * off. If this instance loses its connections while a query waits at the store, the last contact is
 * older than this part by the time the bound is reached.
 */
const CONTACT_SHARE = 0.25
/**
 * A peer's answer is valid for this part of a bound, counted from the time of the query. The rows
 * of a peer that follows the store may be late by the time for which its query waits at the store:
 * 0.5 of the bound (`FEED_WAIT_SHARE`). With this 0.4, the total is 0.9 of the bound, which leaves
 * the margin of 0.1 (`MARGIN_SHARE`).
 */
const CONFIRMATION_SHARE = 0.4
/**
 * Part of a bound for which a query for changes may wait at the store. The store answers at the
 * latest then, so a copy that is much older shows that the store does not answer.
 */
const FEED_WAIT_SHARE = 0.5

/** Whether peers should be asked for newer rows. */
export function shouldAskPeers({ ageMilliseconds, boundMilliseconds }: RowStaleness): boolean {
  return ageMilliseconds > PEER_QUERY_SHARE * boundMilliseconds
}

/** Returns the longest time for which a query for changes may wait at the store. */
export function maximumFeedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.floor(FEED_WAIT_SHARE * boundMilliseconds)
}

/**
 * Returns how long a peer's answer is valid after its query was sent; waiting longer for the answer
 * is useless.
 */
export function confirmationLifetime(boundMilliseconds: Milliseconds): Milliseconds {
  return CONFIRMATION_SHARE * boundMilliseconds
}

/**
 * Whether requests have to be refused because these rows may have been changed longer ago than
 * their bound, while the store or a peer is in contact with this instance.
 */
export function isTooStale(rows: RowStaleness, contacts: ContactAges): boolean {
  const { ageMilliseconds, boundMilliseconds, confirmedAgoMilliseconds } = rows
  if (ageMilliseconds <= (1 - MARGIN_SHARE) * boundMilliseconds) return false
  if (confirmedAgoMilliseconds <= confirmationLifetime(boundMilliseconds)) return false
  const { answeredAgoMilliseconds, heardAgoMilliseconds } = contacts
  const contactAgo = Math.min(answeredAgoMilliseconds, heardAgoMilliseconds)
  return contactAgo <= CONTACT_SHARE * boundMilliseconds
}
