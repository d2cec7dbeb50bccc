/** Where the view of the fleet is read from. Owns nothing. */

import type { MemberDirectory, MemberRow } from '@rackwalk/coordination'
import type { PeerOverload } from '@rackwalk/decisions'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { ActiveFleet } from './activeFleet.js'
import type { ActiveFleetParts } from './activeFleet.js'
import type { EndpointSubsystem } from './endpointSubsystem.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** The parts that know of the fleet. */
export interface ActiveFleetSources extends Pick<ActiveFleetParts, 'onChange'> {
  readonly settings: GatewaySettings
  readonly members: MemberDirectory
  readonly known: () => EndpointSubsystem
  readonly isReady: () => boolean
  readonly clock: Clock
}

/** An instance that has heard nobody for this long is cut off from all others. */
const CUT_OFF_MILLISECONDS: Milliseconds = 1_500

/** The fleet as this instance sees it. */
export function createActiveFleet(sources: ActiveFleetSources): ActiveFleet {
  const { settings, members, known, isReady, clock, onChange } = sources
  const { activeInDomain, headroom } = settings.membership
  return new ActiveFleet({
    isServing: () => isReady() && members.isInitialized,
    self: () => members.self,
    others: () => members.others,
    hasRecentHeartbeat: ({ instance, loadAddress }) =>
      loadAddress === '' || known().fleetLoad.hasRecentHeartbeat(instance),
    silenceMilliseconds: () => known().exchange?.silenceMilliseconds ?? 0,
    hasEndpointLoad: ({ instance }) => known().fleetLoad.isUsing(instance),
    hasOwnEndpointLoad: () => known().fleetLoad.isSelfUsing,
    isCutOff: ({ instance }) => known().cutOff.hasAny(instance),
    clock,
    bounds: { minimumInDomain: activeInDomain, headroom },
    onChange,
  })
}

/** Of the other active instances those that are heard, to which callers may go. */
export function heardInstances(
  { fleetLoad, overloaded }: EndpointSubsystem,
  activeOthers: readonly MemberRow[],
): PeerOverload {
  if (fleetLoad.heardAgoMilliseconds > CUT_OFF_MILLISECONDS) return { count: 0, overloaded: 0 }
  const heard = activeOthers.filter(({ instance }) => fleetLoad.hasRecentHeartbeat(instance))
  const overloadedOnes = heard.filter(({ instance }) => overloaded.has(instance))
  return { count: heard.length, overloaded: overloadedOnes.length }
}
