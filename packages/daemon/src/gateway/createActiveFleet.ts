/** Wires the fleet view to its sources. Owns nothing. */

import type { MemberDirectory, MemberRow } from '@rackwalk/coordination'
import type { PeerOverload } from '@rackwalk/decisions'
import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import { ActiveFleet } from './activeFleet.js'
import type { ActiveFleetParts } from './activeFleet.js'
import type { EndpointSubsystem } from './endpointSubsystem.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** The sources of the fleet view. */
export interface ActiveFleetSources extends Pick<ActiveFleetParts, 'onChange'> {
  readonly settings: GatewaySettings
  readonly members: MemberDirectory
  readonly endpoints: () => EndpointSubsystem
  readonly isReady: () => boolean
  readonly clock: Clock
  readonly random: RandomSource
}

/** Time without a message of any other instance after which this instance counts as cut off from all of them. */
const CUT_OFF_MILLISECONDS: Milliseconds = 1_500

/** Creates the fleet view of this instance. */
export function createActiveFleet(sources: ActiveFleetSources): ActiveFleet {
  const { settings, members, endpoints, isReady, clock, random, onChange } = sources
  const { activeInDomain, headroom } = settings.membership
  return new ActiveFleet({
    isServing: () => isReady() && members.isInitialized,
    self: () => members.self,
    others: () => members.others,
    disconnectedOthers: () =>
      members.unrenewedOthers.filter(({ instance }) =>
        endpoints().fleetLoad.hasRecentHeartbeat(instance),
      ),
    hasRecentHeartbeat: ({ instance, loadAddress }) =>
      loadAddress === '' || endpoints().fleetLoad.hasRecentHeartbeat(instance),
    silenceMilliseconds: () => endpoints().exchange?.silenceMilliseconds ?? 0,
    hasEndpointLoad: ({ instance }) => endpoints().fleetLoad.isUsing(instance),
    hasOwnEndpointLoad: () => endpoints().fleetLoad.isSelfUsing,
    isCutOff: ({ instance }) => endpoints().cutOff.hasAny(instance),
    clock,
    random,
    bounds: { minimumInDomain: activeInDomain, headroom },
    onChange,
  })
}

/**
 * Returns how many other active instances this one hears, so that callers can use them, and how many of these are
 * overloaded. Both are 0 if this instance is cut off from all others.
 */
export function heardInstances(
  { fleetLoad, overloaded }: EndpointSubsystem,
  activeOthers: readonly MemberRow[],
): PeerOverload {
  if (fleetLoad.heardAgoMilliseconds > CUT_OFF_MILLISECONDS) return { count: 0, overloaded: 0 }
  const heard = activeOthers.filter(({ instance }) => fleetLoad.hasRecentHeartbeat(instance))
  const overloadedOnes = heard.filter(({ instance }) => overloaded.has(instance))
  return { count: heard.length, overloaded: overloadedOnes.length }
}
