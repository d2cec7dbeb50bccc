/** Tells all live peers of the OpenAI-style kind something at once. Owns nothing; nobody waits for their replies. */

import type { Membership, PeerChannel, PeerMessageKind, PeerRequest } from '@rackwalk/coordination'

/** Who is told, and over what. */
export interface BroadcastParts {
  readonly membership: () => Membership
  readonly peers: PeerChannel
}

/** `onFailed` is called for each peer that could not be told; every message is safe to repeat. */
export function broadcastToPeers<Kind extends PeerMessageKind>(
  parts: BroadcastParts,
  kind: Kind,
  request: PeerRequest<Kind>,
  onFailed: () => void,
): void {
  const membership = parts.membership()
  for (const { incarnation } of membership.liveMembers()) {
    if (incarnation === membership.self.incarnation) continue
    parts.peers.call(incarnation, kind, request).catch(onFailed)
  }
}
