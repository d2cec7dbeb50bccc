/**
 * Which instances remember where a stream began?
 *
 * Load pattern: an instance ends right after the first event, often together with others of its failure domain, and the callers of
 * its streams come back elsewhere at once.
 *
 * Rendezvous over the stream's key: whoever is asked to go on finds the keepers without a word from the one that has ended, and
 * an instance that comes or goes moves only its own keys. The first two lie in different failure domains where there are two.
 *
 * Limits: each stream costs a datagram for each keeper while versions are mixed, so the number of keepers falls with the streams
 * that begin here, down to three; who asks need not know it.
 */

import { rendezvousOrder } from '../choosing/rendezvous.js'

/** An instance that may keep. */
export interface OriginReplica {
  readonly instance: string
  readonly failureDomain: string
}

/** Instances that are told of one stream at least, */
export const MINIMUM_ORIGIN_REPLICAS = 3
/** and at the most: nearly all streams are found then where most of a fleet ends at once. */
const MAXIMUM_ORIGIN_REPLICAS = 8
/** Bytes a second in which an instance tells more than the least number of keepers. */
const REPLICATION_BYTES_PER_SECOND = 6_000
/** The news of one stream with the head of its datagram. */
const NEWS_BYTES = 120

/** How many instances are told of a stream, by the streams that begin here in a second. */
export function originReplicaCount(streamsPerSecond: number): number {
  const borne = Math.floor(
    REPLICATION_BYTES_PER_SECOND / (NEWS_BYTES * Math.max(1, streamsPerSecond)),
  )
  return Math.min(MAXIMUM_ORIGIN_REPLICAS, Math.max(MINIMUM_ORIGIN_REPLICAS, borne))
}

/** All candidates, those that keep a stream first. */
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
