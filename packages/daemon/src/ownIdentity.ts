/** Who an instance of the OpenAI-style kind is, as it tells the others. Owns nothing. */

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

/** Addresses are filled in when the listeners have their ports. */
export type MutableNodeIdentity = { -readonly [Field in keyof NodeIdentity]: NodeIdentity[Field] }

/** A new incarnation of the instance that the settings name. */
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
