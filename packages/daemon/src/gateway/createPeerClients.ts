/** The calls of one gateway instance to others over HTTP: for rows and for loans. Owns how long each is awaited. */

import type { MemberDirectory } from '@rackwalk/coordination'
import type { Milliseconds, RandomSource } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { PeerLoanClient } from './peerLoanClient.js'
import { PeerRowClient } from './peerRowClient.js'

/** Wait for a peer's answer. */
const ROWS_TIMEOUT_MILLISECONDS: Milliseconds = 400
/** The same where a request waits for it; the peer itself may ask the store first. */
const LOAN_TIMEOUT_MILLISECONDS: Milliseconds = 90

/** What such calls rest on. */
export interface PeerClientSources {
  readonly settings: GatewaySettings
  readonly members: MemberDirectory
  readonly telemetry: GatewayTelemetry
}

/** Asks other instances for tokens. */
export function createPeerLoans(
  { members, telemetry }: PeerClientSources,
  fleet: ActiveFleet,
): PeerLoanClient {
  return new PeerLoanClient({
    addressOf: instance => members.others.find(member => member.instance === instance)?.peerAddress,
    isSilent: instance => fleet.isSilent(instance),
    timeoutMilliseconds: LOAN_TIMEOUT_MILLISECONDS,
    onMalformed: form => telemetry.noteMalformed(form),
  })
}

/** Asks other instances for rows of the store. */
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
    onMalformed: form => telemetry.noteMalformed(form),
  })
}
