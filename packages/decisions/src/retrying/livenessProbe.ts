/**
 * Decides whether an endpoint that reset a request or interrupted an answer has terminated. Also tells until when an
 * endpoint was certainly alive.
 *
 * Load pattern: a request crashes each endpoint that begins to run it, and its caller sends the request again. If nothing
 * listens at the address afterwards, a single probe shows the crash. But an API server may outlive its engine, a sidecar or
 * a load balancer may accept connections on behalf of the engine, or a supervisor may hold the socket. Then the address
 * keeps accepting connections, and every request sent there is lost. On the other hand, a sound endpoint resets a connection
 * when it is full, and an endpoint with a gray failure resets requests while it is alive. Without this rule the crashes
 * stay unnoticed, or live endpoints are treated as crashed.
 *
 * Inputs: the results of the probes since the reset, the times of the last contact with the endpoint, and whether another
 * instance reported the termination. A probe connects to the address and requests the endpoint's state. All times are
 * monotonic milliseconds.
 *
 * | evidence                                                     | proves a termination | refutes it |
 * | ------------------------------------------------------------ | -------------------- | ---------- |
 * | the address refuses the connection (nobody listens)          | yes                  |            |
 * | the endpoint reports its state                               |                      | yes        |
 * | a state report that was requested after the reset            |                      | yes        |
 * | bytes of other requests, read after the first probe was over |                      | yes        |
 * | bytes of other requests, read before that                    | no                   | no         |
 * | accepts the state probe, then closes, fails or stays silent  | yes, if twice        |            |
 * | no connection: a network cut, no power, a full accept queue  | no                   | no         |
 * | no connection, and another instance reports the termination  | yes                  |            |
 *
 * A refused connection in the newest probe outweighs the refuting evidence, and the refuting evidence outweighs the rest.
 *
 * Limits: two probes in a row must connect and get no state report, since a single one may meet a full endpoint or a
 * lost packet. A state probe takes no slot at an engine, so a full engine answers it. Bytes that left the endpoint before
 * its termination may be read after the reset. The round trip of the first probe gives this instance the time to read
 * those bytes first, except the bytes that a slowly reading caller holds up.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** The result of one probe of an address. */
export type ProbeResult =
  /** The address refused the connection. */
  | 'nobody-listens'
  /** The endpoint reported its state. An endpoint without a state report only accepted the connection. */
  | 'lives'
  /** The connection was accepted, and then closed, answered with an error or left without an answer. */
  | 'does-not-answer'
  /** No connection was established, or this process was too busy to judge the probe. */
  | 'no-connection'

/** What is concluded about the endpoint. */
export type LivenessVerdict =
  /** The endpoint has terminated. */
  | 'ended'
  | 'lives'
  /** One more probe is needed. */
  | 'look-again'
  /** The probes prove nothing, and no further probe is made. */
  | 'unknown'

/** Number of probes in a row that must give `does-not-answer` to prove a termination. */
const REQUIRED_PROBES = 2

/**
 * Maximum time between the moment at which bytes leave an endpoint and the moment at which this instance reads them. Used
 * where no probe bounds that time. An instance with a busy processor may read nothing for a good part of it.
 */
const READ_DELAY_MILLISECONDS: Milliseconds = 1_000

/** When an endpoint was last heard from. Times are monotonic. */
export interface LastContactTimes {
  /** When this instance requested the newest state report that has arrived. The endpoint was alive at that time. */
  readonly askedAt: Milliseconds
  /** When this instance last read bytes of an answer, to whichever request. */
  readonly readAt: Milliseconds
}

/** A reset that caused probes of the endpoint. Times are monotonic. */
interface ProbedReset {
  /** When this instance saw the reset. */
  readonly resetAt: Milliseconds
  /** When the first probe after the reset was over. */
  readonly lookedAt: Milliseconds
}

/** Whether the last contact with an endpoint proves that the endpoint was alive after a reset. */
export function wasAliveAfterReset(
  { resetAt, lookedAt }: ProbedReset,
  contact: LastContactTimes,
): boolean {
  return contact.askedAt > resetAt || contact.readAt > lookedAt
}

/** Returns the latest monotonic time at which an endpoint was certainly alive, according to its last contact. */
export function lastAliveAt({ askedAt, readAt }: LastContactTimes): Milliseconds {
  return Math.max(askedAt, readAt - READ_DELAY_MILLISECONDS)
}

/**
 * Returns the verdict on an endpoint after a reset. `probes` holds the results since the reset, the newest last.
 * `hadLaterContact` says whether a contact other than the probes proves that the endpoint was alive after the reset, and
 * `wasReportedByPeer` whether another instance has reported the termination since then.
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
