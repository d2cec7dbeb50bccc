/**
 * Which instances remember where a stream began?
 *
 * Load pattern: an instance ends right after the first event, often together with others of its failure domain, and the callers of
 * its streams come back elsewhere at once.
 *
 * Rendezvous over the stream's key: whoever is asked to go on finds the keepers without a word from the one that has ended, and
 * an instance that comes or goes moves only its own keys. The first two lie in different failure domains where there are two.
 *
 * Limits: three keepers, since each stream costs a datagram for each while versions are mixed.
 */

import { rendezvousOrder } from '../choosing/rendezvous.js'

/** An instance that may keep. */
export interface OriginKeeper {
  readonly instance: string
  readonly failureDomain: string
}

/** Instances that are told of one stream. */
export const ORIGIN_KEEPERS = 3

/** All candidates, those that keep a stream first. */
export function originKeepers<Candidate extends OriginKeeper>(
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
