/**
 * Decides how long a request waits before it is sent to another endpoint because its endpoint refused the connection.
 *
 * Load pattern: copies of a crash-inducing request arrive at several instances, which all send them to the one endpoint that
 * the hash selects. The first copy crashes it, and its instance probes it. Until the probe is done and reported by gossip
 * (messages that instances send each other), that endpoint refuses the connections of the other copies. If they went on at
 * once, each of them would cost one more endpoint just before its instance learns that the request is refused.
 *
 * Input: the verdict on the request. Only an isolated request waits: a request that is not suspected goes on at once.
 *
 * Limits: the wait covers a probe and one gossip message. On an instance that is too busy to probe within it, one more
 * endpoint is put at risk.
 */

import type { Milliseconds } from '@rackwalk/shared'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** Time in which another instance probes an endpoint that refuses connections, and its report arrives. */
const CRASH_GOSSIP_MILLISECONDS: Milliseconds = 100

/** Returns the time to wait for a report that the request has just crashed the endpoint that refused the connection. */
export function crashGossipWait(verdict: QuarantineVerdict): Milliseconds {
  return verdict === 'isolate' ? CRASH_GOSSIP_MILLISECONDS : 0
}
