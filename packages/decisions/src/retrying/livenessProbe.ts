/**
 * Decides whether an endpoint that reset a request before any part of an answer has terminated.
 *
 * Load pattern: a request crashes whichever endpoint begins to run it, and is sent again. If nobody listens at the address
 * afterwards, a single probe shows that. But an API server may outlive its engine, a sidecar or a load balancer may accept
 * connections on its behalf, or a supervisor may hold the socket. Then the address keeps accepting connections, and every
 * request sent there is lost. On the other hand, a sound endpoint resets a connection when it is full, and one with a gray
 * failure resets requests while it is alive.
 *
 * Inputs: the probe results since the reset, the times of the last contact with the endpoint, and whether another instance
 * reported the termination. All times are monotonic milliseconds.
 *
 * | evidence                                                     | proves a termination | refutes it |
 * | ------------------------------------------------------------ | -------------------- | ---------- |
 * | nobody listens at the address                                | yes                  |            |
 * | the endpoint reports its state                               |                      | yes        |
 * | a state report that was requested after the reset            |                      | yes        |
 * | bytes of other requests, read after the first probe was over |                      | yes        |
 * | bytes of other requests, read before that                    | no                   | no         |
 * | accepts the state probe, then closes, fails or stays silent  | yes, if twice        |            |
 * | no connection: a network cut, no power, a full accept queue  | no                   | no         |
 * | no connection, and another instance reports the termination  | yes                  |            |
 *
 * Limits: two probes in a row must agree, since one may meet a full endpoint or a lost packet. A state probe takes no
 * slot at an engine, so a full engine answers it. Bytes that left the endpoint before its termination may be read after
 * the reset. The round trip of the first probe gives this instance the time to read them first, but not the bytes that
 * a slowly reading caller holds up.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** The result of one probe of an address. */
export type ProbeResult = 'nobody-listens' | 'lives' | 'does-not-answer' | 'no-connection'

/** What is concluded about the endpoint. */
export type LivenessVerdict = 'ended' | 'lives' | 'look-again' | 'unknown'

/** Number of probes in a row that must stay unanswered to prove a termination. */
const REQUIRED_PROBES = 2

/**
 * Time within which bytes that left an endpoint before its termination are read. Used where no probe bounds it. A busy
 * processor may read nothing for a good part of this time.
 */
const READ_DELAY_MILLISECONDS: Milliseconds = 1_000

/** When an endpoint was last heard from. Times are monotonic. */
export interface LastContactTimes {
  /** When the newest state report that the endpoint has answered was requested. */
  readonly askedAt: Milliseconds
  /** When bytes of the answer to any request were last read. */
  readonly readAt: Milliseconds
}

/** A reset for which the endpoint is probed. Times are monotonic. */
interface ProbedReset {
  /** When the reset was seen. */
  readonly brokenAt: Milliseconds
  /** When the first probe was over. */
  readonly lookedAt: Milliseconds
}

/** Whether the contact with an endpoint proves that it was alive after a reset. */
export function wasAliveAfterReset(
  { brokenAt, lookedAt }: ProbedReset,
  contact: LastContactTimes,
): boolean {
  return contact.askedAt > brokenAt || contact.readAt > lookedAt
}

/** Returns the latest time at which an endpoint was certainly alive, according to its last contact. */
export function lastAliveAt({ askedAt, readAt }: LastContactTimes): Milliseconds {
  return Math.max(askedAt, readAt - READ_DELAY_MILLISECONDS)
}

/**
 * Returns the verdict on an endpoint after a reset. `probes` holds the results so far, the newest last.
 * `hadLaterContact` says whether anything else proves that the endpoint was alive after the reset, and
 * `wasReportedByPeer` whether another instance reported its termination.
 */
export function judgeLiveness(
  probes: readonly ProbeResult[],
  hadLaterContact: boolean,
  wasReportedByPeer = false,
): LivenessVerdict {
  const newest = probes.at(-1)
  if (newest === 'nobody-listens') return 'ended'
  if (newest === 'lives' || hadLaterContact) return 'lives'
  if (newest === 'no-connection') return wasReportedByPeer ? 'ended' : 'unknown'
  const unanswered = probes.slice(-REQUIRED_PROBES).filter(probe => probe === 'does-not-answer')
  return unanswered.length === REQUIRED_PROBES ? 'ended' : 'look-again'
}
