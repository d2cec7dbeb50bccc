/**
 * Broadcasts a message to all live peers of the OpenAI-style kind at once. Owns nothing; does not wait for replies.
 */

import type { Membership, PeerChannel, PeerMessageKind, PeerRequest } from '@rackwalk/coordination'

/** The receivers and the channel of a broadcast. */
export interface BroadcastParts {
  readonly membership: () => Membership
  readonly peers: PeerChannel
}

/**
 * Sends a message to each live peer. `onFailed` is called for each peer whose call failed; that peer may have received
 * the message, since a call can also fail after its arrival. Every message is safe to repeat.
 */
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
