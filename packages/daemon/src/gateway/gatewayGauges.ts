/** Connects the gauges of a gateway instance to their sources. Owns nothing. */

import type { MemberDirectory, PrepaidLedger, TableMirror } from '@rackwalk/coordination'
import type {
  CrashGuard,
  EndpointAdviceStore,
  EndpointDirectory,
  Gateway,
  RejectionGuard,
} from '@rackwalk/router'
import type { ActiveFleet } from './activeFleet.js'
import type { ActiveConfiguration } from './activeConfiguration.js'
import type { GatewayGauges } from './gatewayMetrics.js'
import type { InstanceHealth } from './instanceHealth.js'
import type { OpenConnections } from './openConnections.js'
import type { PausableListener } from './pausableListener.js'

/** The parts that the gauges read. */
export interface GatewayGaugeSources {
  readonly gateway: Gateway
  readonly members: MemberDirectory
  readonly fleet: ActiveFleet
  readonly ledger: PrepaidLedger
  readonly endpoints: EndpointDirectory
  readonly crashes: CrashGuard
  readonly advices: EndpointAdviceStore
  readonly turnAways: RejectionGuard
  readonly configuration: ActiveConfiguration
  readonly callerConnections: OpenConnections
  readonly callerListener: PausableListener
  /**
   * Mirror of the configuration table; its age is the time since the store, or a peer that had read the store, last
   * confirmed the rows.
   */
  readonly configurationMirror: TableMirror | undefined
  readonly health: InstanceHealth
  readonly isReady: () => boolean
}

/** Creates the readers of all gauges. */
export function gaugesOf(sources: GatewayGaugeSources): GatewayGauges {
  const { gateway, members, fleet, ledger, endpoints, configuration } = sources
  return {
    inFlight: () => gateway.inFlight,
    instances: () => members.others.length + 1,
    activeInstances: () => fleet.activeCount,
    sharers: () => fleet.sharers,
    recordIntervalSeconds: () => ledger.recordMilliseconds() / 1000,
    active: () => Number(fleet.isSelfActive),
    abandonedShare: () => gateway.admissionState.abandonedShare,
    refusedShare: () => gateway.refusedShare,
    listening: () => Number(sources.callerListener.isListening),
    endpoints: () => endpoints.size,
    coldEndpoints: () => endpoints.coldCount,
    rateLimitedEndpoints: () => sources.advices.rateLimitedCount,
    backingOffEndpoints: () => sources.advices.backingOffCount,
    rejectionSensitiveServices: () => sources.turnAways.boundedServices,
    crashingRequests: () => sources.crashes.refusedCount,
    evacuatedDomains: () => configuration.evacuations.length,
    evacuatedInFlight: () => endpoints.runningInEvacuated,
    configurationVersion: () => configuration.routes?.version ?? 0,
    ready: () => (sources.isReady() ? 1 : 0),
    starvedTeams: () => sources.health.starvedTeams,
    shortBudgets: () => ledger.shortBudgets,
    callerConnections: () => sources.callerConnections.size,
    storeAge: () => (sources.configurationMirror?.age ?? 0) / 1000,
  }
}
