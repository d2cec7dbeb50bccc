/** The row that an instance publishes about itself, from its settings. Owns nothing. */

import type { MemberDirectoryParts } from '@rackwalk/coordination'
import type { GatewaySettings } from './gatewaySettings.js'
import { capacityOf } from './instanceCapacity.js'

/** The part of the instance's own row that never changes during an incarnation. */
export function selfMember(
  { instance, listen }: GatewaySettings,
  incarnation: string,
): MemberDirectoryParts['self'] {
  return {
    instance: instance.id,
    incarnation,
    region: instance.region,
    failureDomain: instance.failureDomain,
    callerAddress: listen.callers,
    peerAddress: listen.peers ?? '',
    loadAddress: listen.loads ?? '',
    capacity: capacityOf(instance.capacity),
    takesRelays: listen.peers !== undefined,
  }
}
