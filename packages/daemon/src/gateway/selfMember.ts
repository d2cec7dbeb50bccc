/** What an instance tells the others of itself, as its settings say. Owns nothing. */

import type { MemberDirectoryParts } from '@rackwalk/coordination'
import type { GatewaySettings } from './gatewaySettings.js'
import { capacityOf } from './instanceCapacity.js'

/** The part of the own row that never changes in a life of the instance. */
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
