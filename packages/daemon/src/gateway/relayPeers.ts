/**
 * The other instances to which this one relays requests that it cannot send to any endpoint. Owns the connections to
 * them; the rule is in decisions/choosing/relayPeer.
 */

import { chooseRelayPeer, relayRoom } from '@rackwalk/decisions'
import type { RelayCandidate } from '@rackwalk/decisions'
import { EndpointAgent } from '@rackwalk/router'
import type { RelayPeer, RelayPeers } from '@rackwalk/router'
import type { MemberRow } from '@rackwalk/coordination'
import type { RandomSource } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import type { EndpointSubsystem } from './endpointSubsystem.js'
import type { GatewaySettings } from './gatewaySettings.js'

type Candidate = MemberRow & RelayCandidate

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
    const { failureDomain, random } = this.parts
    const untried = this.candidates(service).filter(({ instance }) => !tried.has(instance))
    const origin = { failureDomain, demand: this.demandOf(service) }
    const chosen = chooseRelayPeer(untried, origin, random.next())
    if (chosen === undefined) return undefined
    const { instance, peerAddress } = chosen
    return { instance, address: peerAddress, agent: this.agentOf(peerAddress) }
  }

  close(): void {
    for (const agent of this.agents.values()) agent.destroy()
  }

  /** The active instances that take relays and reach the service; if there are none, the idle instances that do. */
  private candidates(service: string): readonly Candidate[] {
    const { activeOthers, idleOthers } = this.parts.fleet
    const active = this.takers(activeOthers, service)
    return active.length > 0 ? active : this.takers(idleOthers, service)
  }

  private takers(members: readonly MemberRow[], service: string): readonly Candidate[] {
    return members
      .filter(member => this.takesRelays(member))
      .map(member => this.candidateOf(member, service))
      .filter(({ isCutOff }) => !isCutOff)
  }

  private takesRelays({ instance, takesRelays, state }: MemberRow): boolean {
    return takesRelays === true && state === 'serving' && !this.parts.fleet.isSilent(instance)
  }

  private candidateOf(member: MemberRow, service: string): Candidate {
    const { isCutOff, isOverloaded } = this.parts
    const { instance, capacity, requestsPerSecond } = member
    return {
      ...member,
      isCutOff: isCutOff(instance, service),
      isOverloaded: isOverloaded(instance),
      room: relayRoom(capacity, requestsPerSecond),
    }
  }

  /** Requests per second that the cut-off instances of this failure domain relay, this one included. */
  private demandOf(service: string): number {
    const { fleet, failureDomain, isCutOff } = this.parts
    const near = [...fleet.usingOthers, ...fleet.idleOthers].filter(
      member => member.failureDomain === failureDomain && isCutOff(member.instance, service),
    )
    const own = fleet.ownRequestsPerSecond
    return near.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, own)
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
