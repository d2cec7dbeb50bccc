/**
 * Creates the HTTP clients with which a gateway instance calls others, for rows and for loans. Owns their timeouts.
 */

import type { MemberDirectory } from '@rackwalk/coordination'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { PeerLoanClient } from './peerLoanClient.js'
import { PeerRowClient } from './peerRowClient.js'

/** Timeout of a call for rows. */
const ROWS_TIMEOUT_MILLISECONDS: Milliseconds = 400
/** Timeout of a loan call, shorter since a request waits for it; the peer itself may query the store first. */
const LOAN_TIMEOUT_MILLISECONDS: Milliseconds = 90

/** What the clients are built from. */
export interface PeerClientSources {
  readonly settings: GatewaySettings
  readonly members: MemberDirectory
  readonly telemetry: GatewayTelemetry
}

/** Creates the client that borrows tokens from other instances. */
export function createPeerLoans(
  { members, telemetry }: PeerClientSources,
  fleet: ActiveFleet,
): PeerLoanClient {
  return new PeerLoanClient({
    addressOf: instance => members.others.find(member => member.instance === instance)?.peerAddress,
    isSilent: instance => fleet.isSilent(instance),
    timeoutMilliseconds: LOAN_TIMEOUT_MILLISECONDS,
    onMalformed: input => telemetry.noteMalformed(input),
  })
}

/** Creates the client that reads rows of the store from other instances. */
export function createPeerRows(
  { settings, members, telemetry }: PeerClientSources,
  fleet: ActiveFleet,
  random: RandomSource,
): PeerRowClient {
  return new PeerRowClient({
    own: settings.listen.peers,
    seeds: settings.seeds,
    knownAddresses: () => members.others.map(member => member.peerAddress),
    nearAddresses: () => fleet.failureDomainAddresses(settings.instance.failureDomain),
    random,
    timeoutMilliseconds: ROWS_TIMEOUT_MILLISECONDS,
    onMalformed: input => telemetry.noteMalformed(input),
  })
}
