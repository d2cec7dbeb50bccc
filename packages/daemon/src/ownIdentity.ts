/** The identity that an instance of the OpenAI-style kind publishes to the others. Owns nothing. */

import { asId } from '@rackwalk/shared'
import type {
  FailureDomainId,
  IncarnationId,
  InstanceId,
  RandomSource,
  RegionId,
} from '@rackwalk/shared'
import type { NodeIdentity } from '@rackwalk/coordination'
import type { Settings } from './settings/schema.js'

/** Mutable, since the addresses are filled in when the listeners have their ports. */
export type MutableNodeIdentity = { -readonly [Field in keyof NodeIdentity]: NodeIdentity[Field] }

/** Creates the identity of a new incarnation of the instance in the settings. */
export function createIdentity(settings: Settings, random: RandomSource): MutableNodeIdentity {
  const { id, region, failureDomain } = settings.instance
  return {
    instanceId: asId<InstanceId>(id),
    incarnation: asId<IncarnationId>(`${id}-${random.uniqueId().slice(0, 8)}`),
    region: asId<RegionId>(region),
    failureDomain: asId<FailureDomainId>(failureDomain),
    peerAddress: settings.listen.peers,
    callerAddress: settings.listen.callers,
    operatorAddress: settings.listen.operators,
  }
}
