/**
 * News of what endpoints say of themselves, as datagrams between instances. They travel as news of requests that end
 * endpoints do: in the form of a load report that comes too late, which an earlier version drops. Owns nothing.
 */

import { asId } from '@rackwalk/shared'
import type { AdviceGossip } from '@rackwalk/decisions'
import type { PeerLoadReport } from '@rackwalk/router'
import { gossipReports } from './crashGossip.js'
import type { GossipEntry } from './crashGossip.js'

/** Entries of a report are named for endpoints, and no endpoint has a blank in its id. */
const SAYS_PREFIX = 'says '
/** Requests a second that it takes. */
const RATE_PART = 'rate'
/** That it leaves. */
const LEAVING_PART = 'leaving'

/** The reports that tell this. */
export function encodeAdviceGossip(
  news: readonly AdviceGossip[],
  identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>,
): readonly PeerLoadReport[] {
  return gossipReports(news.map(entryOf), identity)
}

/** What such a report tells; entries of any other kind are passed over. */
export function decodeAdviceGossip({ loads }: PeerLoadReport): readonly AdviceGossip[] {
  return loads.flatMap(({ endpoint, pendingTokens, parts }) => {
    if (!endpoint.startsWith(SAYS_PREFIX)) return []
    const rate = parts.find(({ id }) => id === RATE_PART)?.tokens ?? 0
    const isLeaving = parts.some(({ id }) => id === LEAVING_PART)
    return [
      {
        start: asId(endpoint.slice(SAYS_PREFIX.length)),
        // A rate of nothing would keep everybody away for good.
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
  return { endpoint: `${SAYS_PREFIX}${start}`, running: 0, pendingTokens, parts }
}
