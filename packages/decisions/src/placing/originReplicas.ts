/**
 * Decides which instances remember the origin of a stream: the service and software version that
 * began it.
 *
 * Load pattern: an instance crashes right after a stream's first event, often together with others
 * of its failure domain, and the callers of its streams reconnect to other instances at once. If
 * none of these finds the origin, the stream cannot be resumed while endpoints of several software
 * versions serve.
 *
 * Inputs: the stream's key, the other instances with their failure domains, and the streams a
 * second that begin at this instance.
 *
 * Rendezvous hashing over the stream's key selects the replicas: an instance that is asked to
 * resume a stream finds them without a message from the instance that crashed, and an instance that
 * joins or leaves moves only its own keys. The first two replicas are in different failure domains
 * where there are two.
 *
 * Limits: each stream costs a datagram for each replica while software versions are mixed, so the
 * number of replicas falls with the rate of streams that begin here, down to
 * `MINIMUM_ORIGIN_REPLICAS`. An instance that looks for the origin need not know that number.
 */

import { rendezvousOrder } from '../choosing/rendezvous.js'

/** An instance that may remember the origin of a stream. */
export interface OriginReplica {
  readonly instance: string
  readonly failureDomain: string
}

/** Least number of instances that a stream's origin is sent to. */
export const MINIMUM_ORIGIN_REPLICAS = 3
/**
 * Largest number of instances that a stream's origin is sent to: with so many, nearly all streams
 * are found when most of a fleet crashes at once.
 */
const MAXIMUM_ORIGIN_REPLICAS = 8
/** Bytes a second that an instance may send for replicas beyond the least number. */
const REPLICATION_BYTES_PER_SECOND = 6_000
/** Size of the message on one stream, including the header of its datagram. */
const MESSAGE_BYTES = 120

/**
 * Returns how many instances a stream's origin is sent to, by the streams that begin here in a
 * second.
 */
export function originReplicaCount(streamsPerSecond: number): number {
  const affordable = Math.floor(
    REPLICATION_BYTES_PER_SECOND / (MESSAGE_BYTES * Math.max(1, streamsPerSecond)),
  )
  return Math.min(MAXIMUM_ORIGIN_REPLICAS, Math.max(MINIMUM_ORIGIN_REPLICAS, affordable))
}

/** Returns all candidates, the replicas of a stream first. */
export function rankOriginReplicas<Candidate extends OriginReplica>(
  key: string,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const byInstance = new Map(candidates.map(candidate => [candidate.instance, candidate]))
  const ordered = rendezvousOrder(key, [...byInstance.keys()]).flatMap(
    instance => byInstance.get(instance) ?? [],
  )
  const [first, ...rest] = ordered
  if (first === undefined) return []
  const second = rest.find(({ failureDomain }) => failureDomain !== first.failureDomain)
  if (second === undefined) return ordered
  return [first, second, ...rest.filter(candidate => candidate !== second)]
}
