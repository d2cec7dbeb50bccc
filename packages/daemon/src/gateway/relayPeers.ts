/**
 * The other instances to which this one relays requests that it cannot send to any endpoint. Owns the connections to
 * them; the rule is in decisions/choosing/relayPeer.
 */

import { chooseRelayPeer } from '@rackwalk/decisions'
import { EndpointAgent } from '@rackwalk/router'
import type { RelayPeer, RelayPeers } from '@rackwalk/router'
import type { MemberRow } from '@rackwalk/coordination'
import type { RandomSource } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import type { EndpointSubsystem } from './endpointSubsystem.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** What the choice needs. */
export interface FleetRelayPeersParts {
  readonly failureDomain: string
  readonly fleet: ActiveFleet
  readonly random: RandomSource
  readonly isCutOff: (instance: string, service: string) => boolean
  readonly isOverloaded: (instance: string) => boolean
}

/** Limit of the connections to one instance; the admission of that instance bounds the requests that it takes. */
const MAXIMUM_CONNECTIONS = 256

/** The instances of the fleet that take relayed requests. */
export class FleetRelayPeers implements RelayPeers {
  /** Connections by address of the instance. */
  private readonly agents = new Map<string, EndpointAgent>()

  constructor(private readonly parts: FleetRelayPeersParts) {}

  choose(service: string, tried: ReadonlySet<string>): RelayPeer | undefined {
    const { failureDomain, random, isCutOff, isOverloaded } = this.parts
    const candidates = this.candidates
      .filter(({ instance }) => !tried.has(instance))
      .map(member => ({
        ...member,
        isCutOff: isCutOff(member.instance, service),
        isOverloaded: isOverloaded(member.instance),
      }))
    const chosen = chooseRelayPeer(candidates, failureDomain, random.next())
    if (chosen === undefined) return undefined
    const { instance, peerAddress } = chosen
    return { instance, address: peerAddress, agent: this.agentOf(peerAddress) }
  }

  close(): void {
    for (const agent of this.agents.values()) agent.destroy()
  }

  /** The active instances that serve, take relays and are not silent; if there are none, the idle instances that do. */
  private get candidates(): readonly MemberRow[] {
    const { fleet } = this.parts
    const takesRelays = ({ instance, takesRelays, state }: MemberRow) =>
      takesRelays === true && state === 'serving' && !fleet.isSilent(instance)
    const active = fleet.activeOthers.filter(takesRelays)
    return active.length > 0 ? active : fleet.idleOthers.filter(takesRelays)
  }

  private agentOf(address: string): EndpointAgent {
    const agent = this.agents.get(address) ?? new EndpointAgent(MAXIMUM_CONNECTIONS)
    this.agents.set(address, agent)
    return agent
  }
}

/** Creates the relay peers of an instance with these settings. */
export function createRelayPeers(
  { instance }: GatewaySettings,
  { cutOff, overloaded }: EndpointSubsystem,
  fleet: ActiveFleet,
  random: RandomSource,
): FleetRelayPeers {
  return new FleetRelayPeers({
    failureDomain: instance.failureDomain,
    fleet,
    random,
    isCutOff: (...query) => cutOff.has(...query),
    isOverloaded: other => overloaded.has(other),
  })
}
