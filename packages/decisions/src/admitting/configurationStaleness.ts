/**
 * Decides whether an instance may serve requests by its copy of the operator's and the endpoints'
 * rows, or whether that copy is too old.
 *
 * Load pattern: the callers of a busy team fill the link or the processor of a weak instance, or
 * its one connection to the store has fallen silent. The instance then goes on serving by a
 * configuration that was replaced seconds ago: it accepts keys that were revoked, uses routes that
 * were deleted and sends requests to endpoints that are leaving.
 *
 * Inputs: for each table of rows its age, the bound from the settings and the age of the last
 * confirmation by a peer; and the time since the store and another instance were last in contact
 * with this one. All are in milliseconds.
 *
 * | copy older than 0.9 of its bound, and         | requests    |
 * | --------------------------------------------- | ----------- |
 * | a peer confirmed lately that nothing is newer | are served  |
 * | the store or a peer was in contact lately     | are refused |
 * | neither the store nor any peer was            | are served  |
 *
 * Age alone is not enough to refuse: while the store is out of reach for all instances, none can
 * have newer rows, and an instance that refused by age would refuse for the whole outage. A peer
 * that answers sends either newer rows or says that it has none. Where no peer answers, an instance
 * that got an answer of the store to another call, or a message of a peer, is not cut off: it is
 * itself late, and refuses. An instance in contact with no other is cut off, and serves by the
 * copy it has.
 *
 * Limits: the margin before the bound covers the time in which a request reaches its endpoint.
 * Peers are asked well before the bound, so that their answers have arrived by then. A peer's
 * answer counts from the time at which the question was sent, however late it arrives: a full link
 * delays an answer by more than the peer took, and an instance that gave up early would take a peer
 * that answers for one that does not.
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
   * Time since this instance sent the newest question that a peer answered with nothing newer;
   * infinite where there is none.
   */
  readonly confirmedAgoMilliseconds: Milliseconds
}

/** Times since this instance was last in contact with others. */
export interface ContactAges {
  /** Time since the store last answered any call. */
  readonly answeredAgoMilliseconds: Milliseconds
  /** Time since a message of another instance last arrived. */
  readonly heardAgoMilliseconds: Milliseconds
}

/**
 * Part of a bound that is left when an instance begins to refuse: an admitted request reaches its
 * endpoint some hundred milliseconds later, and bounds are seconds long.
 */
const MARGIN_SHARE = 0.1
/**
 * Part of a bound after which peers are asked. A question for changes waits for half a bound at the
 * store and is repeated after a quarter of a second, so an active instance asks no peer while the
 * store answers. The time left until the bound is for answers that are delayed by a full link.
 */
const PEER_QUERY_SHARE = 0.64
/**
 * Contact with the store or a peer within this part of a bound shows that this instance is not cut
 * off. If a cut begins while a question waits at the store, the last contact is older than this by
 * the time the bound is reached.
 */
const CONTACT_SHARE = 0.25
/**
 * A peer's answer is valid for this part of a bound, counted from its question. A peer that follows
 * the store may itself be late by the time for which a question waits, so both together stay within
 * the bound less its margin.
 */
const CONFIRMATION_SHARE = 0.4
/**
 * Part of a bound for which a question for changes may wait at the store, so that the age of a copy
 * reveals a store that does not answer.
 */
const FEED_WAIT_SHARE = 0.5

/** Whether peers should be asked for newer rows. */
export function shouldAskPeers({ ageMilliseconds, boundMilliseconds }: RowStaleness): boolean {
  return ageMilliseconds > PEER_QUERY_SHARE * boundMilliseconds
}

/** Returns the longest time for which a question for changes may wait at the store. */
export function maximumFeedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.floor(FEED_WAIT_SHARE * boundMilliseconds)
}

/** Returns how long a peer's answer is valid, and so how long it is worth waiting for. */
export function confirmationLifetime(boundMilliseconds: Milliseconds): Milliseconds {
  return CONFIRMATION_SHARE * boundMilliseconds
}

/**
 * Whether requests have to be refused because these rows may have changed longer ago than their
 * bound.
 */
export function isTooStale(rows: RowStaleness, contacts: ContactAges): boolean {
  const { ageMilliseconds, boundMilliseconds, confirmedAgoMilliseconds } = rows
  if (ageMilliseconds <= (1 - MARGIN_SHARE) * boundMilliseconds) return false
  if (confirmedAgoMilliseconds <= confirmationLifetime(boundMilliseconds)) return false
  const { answeredAgoMilliseconds, heardAgoMilliseconds } = contacts
  const contactAgo = Math.min(answeredAgoMilliseconds, heardAgoMilliseconds)
  return contactAgo <= CONTACT_SHARE * boundMilliseconds
}
