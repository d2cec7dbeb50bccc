/**
 * Decides which instances remember the origin of a stream, that is, the service and software
 * version that began the stream.
 *
 * Load pattern: an instance crashes right after a stream's first event, often together with others
 * of its failure domain, and the callers of its streams reconnect to other instances at once. While
 * endpoints of several software versions serve, a stream whose origin no instance remembers cannot
 * be resumed.
 *
 * Inputs: the stream's key, the other instances with their failure domains, and the streams a
 * second that begin at this instance.
 *
 * Rendezvous hashing over the stream's key selects the replicas, the instances that remember the
 * origin. An instance that is asked to resume a stream finds them without a message from the
 * instance that crashed, and an instance that joins or leaves moves only its own keys. The first
 * two replicas are in different failure domains where there are two.
 *
 * Limits: each stream costs a datagram for each replica while software versions are mixed, so the
 * number of replicas falls with the rate of streams that begin at this instance, down to
 * `MINIMUM_ORIGIN_REPLICAS`. An instance that looks for the origin need not know that number, since
 * the order of the replicas does not depend on it.
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
 * Largest number of instances that a stream's origin is sent to: with eight, the origins of nearly
 * all streams are found when most of a fleet crashes at once.
 */
const MAXIMUM_ORIGIN_REPLICAS = 8
/**
 * Bytes a second that an instance may send for replicas; `MINIMUM_ORIGIN_REPLICAS` are sent even if
 * they take more.
 */
const REPLICATION_BYTES_PER_SECOND = 6_000
/** Bytes of the message on one stream, including the header of its datagram. */
const MESSAGE_BYTES = 120

/**
 * Returns how many instances a stream's origin is sent to, given the streams a second that begin at
 * this instance.
 */
export function originReplicaCount(streamsPerSecond: number): number {
  const affordable = Math.floor(
    REPLICATION_BYTES_PER_SECOND / (MESSAGE_BYTES * Math.max(1, streamsPerSecond)),
  )
  return Math.min(MAXIMUM_ORIGIN_REPLICAS, Math.max(MINIMUM_ORIGIN_REPLICAS, affordable))
}

/**
 * Returns all candidates in the order in which they become replicas of the stream with this key:
 * the first `originReplicaCount` of them remember its origin.
 */
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
