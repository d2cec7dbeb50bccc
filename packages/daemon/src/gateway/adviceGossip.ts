/**
 * Gossip about the advice of endpoints (the request rate that an endpoint accepts, or that the endpoint is leaving), as
 * datagrams between instances. The messages are encoded like crash gossip: as outdated load reports, which instances of
 * earlier versions drop. The age of the advice, in milliseconds, is in the `pendingTokens` field. Owns nothing.
 */

import { asId } from '@rackwalk/shared'
import type { AdviceGossip } from '@rackwalk/decisions'
import type { PeerLoadReport } from '@rackwalk/router'
import { gossipReports } from './crashGossip.js'
import type { GossipEntry } from './crashGossip.js'

/** Prefix of an entry's endpoint field; it cannot clash with an endpoint id, since no id contains a space. */
const ADVICE_PREFIX = 'says '
/** Id of the part that holds the requests per second that the endpoint accepts. */
const RATE_PART = 'rate'
/** Id of the part whose presence says that the endpoint is leaving. */
const LEAVING_PART = 'leaving'

/** Encodes advice as gossip reports. */
export function encodeAdviceGossip(
  gossip: readonly AdviceGossip[],
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  return gossipReports(gossip.map(entryOf), identity)
}

/** Decodes the advice in a gossip report; entries of other kinds are ignored. */
export function decodeAdviceGossip({ loads }: PeerLoadReport): readonly AdviceGossip[] {
  return loads.flatMap(({ endpoint, pendingTokens, parts }) => {
    if (!endpoint.startsWith(ADVICE_PREFIX)) return []
    const rate = parts.find(({ id }) => id === RATE_PART)?.tokens ?? 0
    const isLeaving = parts.some(({ id }) => id === LEAVING_PART)
    return [
      {
        start: asId(endpoint.slice(ADVICE_PREFIX.length)),
        // A rate of 0 would keep all instances away from the endpoint for good.
        ...(rate > 0 ? { requestsPerSecond: rate } : {}),
        ...(isLeaving ? { isLeaving } : {}),
        ageMilliseconds: pendingTokens,
      },
    ]
  })
}

function entryOf({
  start,
  requestsPerSecond,
  isLeaving,
  ageMilliseconds,
}: AdviceGossip): GossipEntry {
  const parts = [
    ...(requestsPerSecond === undefined ? [] : [{ id: RATE_PART, tokens: requestsPerSecond }]),
    ...(isLeaving === true ? [{ id: LEAVING_PART, tokens: 1 }] : []),
  ]
  const pendingTokens = Math.max(0, Math.round(ageMilliseconds))
  return { endpoint: `${ADVICE_PREFIX}${start}`, running: 0, pendingTokens, parts }
}
