/**
 * One gateway instance: creates all parts, connects them, and starts, drains and stops them. Owns the settings and the
 * lifecycle phase of the instance (whether it drains, refuses requests or is a member of the fleet); delegates
 * everything else to its parts.
 */

import { SystemClock, SystemRandom } from '@rackwalk/shared'
import type { Clock, RandomSource } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import {
  DEMAND_WINDOW_MILLISECONDS,
  DemandMeter,
  MemberDirectory,
  StoreClock,
} from '@rackwalk/coordination'
import type { PrepaidLedger, TableMirror } from '@rackwalk/coordination'
import { BodyMemory, Gateway } from '@rackwalk/router'
import type { RouteTable } from '@rackwalk/router'
import { AcceptQueue } from '../callers/acceptQueue.js'
import { AcceptProbe } from './acceptProbe.js'
import type { ActiveFleet } from './activeFleet.js'
import { createLedger } from './createLedger.js'
import { createActiveFleet, heardInstances } from './createActiveFleet.js'
import type { Logger } from '../observe/logger.js'
import { AuxiliaryListeners } from './auxiliaryListeners.js'
import { gaugesOf } from './gatewayGauges.js'
import type { AddressedListener } from './auxiliaryListeners.js'
import { applyLimits, createCallerListener, listenAll } from './gatewayListeners.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import { createTelemetry } from './gatewayTelemetry.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { ListenerPauses } from './listenerPauses.js'
import { monitoredTables } from './stalenessMonitor.js'
import { createPeerLoans, createPeerRows } from './createPeerClients.js'
import type { PeerClientSources } from './createPeerClients.js'
import type { PeerLoanClient } from './peerLoanClient.js'
import type { PeerRowClient } from './peerRowClient.js'
import { createRelayPeers } from './relayPeers.js'
import type { FleetRelayPeers } from './relayPeers.js'
import { ActiveConfiguration } from './activeConfiguration.js'
import { MeteredStore } from './meteredStore.js'
import { OpenConnections } from './openConnections.js'
import { PausableListener } from './pausableListener.js'
import { InstanceHealth } from './instanceHealth.js'
import { linkBytesPerSecond } from './instanceCapacity.js'
import { selfMember } from './selfMember.js'
import { EndpointSubsystem } from './endpointSubsystem.js'
import { followTables, readMembersSoon } from './followedTables.js'
import { shutDownGracefully } from './gracefulShutdown.js'
import type { PlatformAdapter } from './platformAdapter.js'
import { bodyMemoryBytes } from '../settings/bodyMemorySetting.js'
import type { SettingsOutcome } from './settingsWatcher.js'

/** What tests and embedding programs may replace. */
export interface GatewayDaemonOptions {
  readonly clock?: Clock
  readonly random?: RandomSource
  readonly logger?: Logger
  /** The store; created by the adapter if absent. */
  readonly store?: RowStore
}

/** One instance that serves generic routes, with all its parts. */
export class GatewayDaemon {
  /** Identifies this run of the process. */
  private readonly incarnation: string
  private readonly clock: Clock
  private readonly random: RandomSource
  private readonly telemetry: GatewayTelemetry
  private readonly metrics: GatewayMetrics
  private readonly store: MeteredStore
  private readonly storeClock: StoreClock
  private readonly members: MemberDirectory
  /** Rate of the requests that callers send to this instance. */
  private readonly requestRate: DemandMeter
  private readonly fleet: ActiveFleet
  private readonly ledger: PrepaidLedger
  /** What this instance knows of endpoints. */
  private readonly endpoints: EndpointSubsystem
  private readonly gateway: Gateway
  private readonly mirrors: ReadonlyMap<string, TableMirror>
  private readonly health: InstanceHealth
  private readonly peerRows: PeerRowClient
  private readonly peerLoans: PeerLoanClient
  private readonly relayPeers: FleetRelayPeers
  private readonly acceptQueue: AcceptQueue
  private readonly callerListener: PausableListener
  private readonly pauses: ListenerPauses
  private readonly callerConnections: OpenConnections
  private readonly acceptProbe: AcceptProbe
  private readonly otherListeners: readonly AddressedListener[]
  private readonly configuration: ActiveConfiguration
  private isDrainStarted = false
  private isRefusing = false
  private isMember = false

  constructor(
    private settings: GatewaySettings,
    private readonly adapter: PlatformAdapter,
    options: GatewayDaemonOptions = {},
  ) {
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? new SystemRandom()
    this.telemetry = createTelemetry(settings, this.clock, options.logger)
    const store = options.store ?? this.createStore()
    this.store = new MeteredStore(store, this.clock, (call, table, outcome) =>
      this.telemetry.noteStoreCall(call, table, outcome),
    )
    this.storeClock = new StoreClock(this.clock)
    this.incarnation = this.random.uniqueId().slice(0, 8)
    // The rate is averaged over a window, so that a single request, such as a health check, does not make the instance
    // count as loaded.
    this.requestRate = new DemandMeter(this.clock, DEMAND_WINDOW_MILLISECONDS)
    this.configuration = this.createConfiguration()
    this.members = this.createMembers()
    this.fleet = this.createFleet()
    this.peerLoans = createPeerLoans(this.peerCallSources, this.fleet)
    this.ledger = this.createLedger()
    this.endpoints = this.createEndpoints()
    this.relayPeers = createRelayPeers(this.settings, this.endpoints, this.fleet, this.random)
    this.gateway = this.createGateway()
    this.peerRows = createPeerRows(this.peerCallSources, this.fleet, this.random)
    this.mirrors = this.createMirrors()
    this.health = this.createHealth()
    this.acceptQueue = new AcceptQueue(this.telemetry)
    this.callerListener = this.createCallerListener()
    const { server } = this.callerListener
    this.callerConnections = new OpenConnections(server)
    this.metrics = this.createMetrics()
    this.acceptProbe = new AcceptProbe(server, settings.listen.callers, this.clock)
    this.pauses = this.createPauses()
    this.otherListeners = this.createOtherListeners()
  }

  /** Opens the listeners and begins to follow the store. */
  async start(): Promise<void> {
    const { callers } = this.settings.listen
    const opened = [this.callerListener.open(), listenAll(this.otherListeners)]
    await Promise.all(opened).catch((error: unknown) => {
      this.stop()
      throw error
    })
    for (const mirror of this.mirrors.values()) mirror.start()
    this.ledger.start()
    this.health.start()
    this.endpoints.start()
    this.pauses.start()
    this.note('instance_started', { callers, incarnation: this.incarnation })
  }

  /**
   * Whether the instance can take new callers: a configuration is in force, the instance is not draining, and no other
   * process holds the address of its listener for callers.
   */
  get isReady(): boolean {
    const isOpen = !this.isDrainStarted && !this.callerListener.isAddressTaken
    return this.configuration.routes !== undefined && isOpen
  }

  /** Returns what this instance knows of a team's budget. */
  describeBudget(team: string): Readonly<Record<string, unknown>> {
    return this.ledger.describe(team)
  }

  /** Finishes requests in progress, settles the holdings and leaves the fleet. */
  async drain(): Promise<void> {
    if (this.isDrainStarted) return
    this.isDrainStarted = true
    this.note('instance_draining', { inFlight: this.gateway.inFlight })
    void this.members.drain()
    const result = await shutDownGracefully({
      clock: this.clock,
      graceMilliseconds: () => this.settings.shutdown.graceSeconds * 1000,
      inFlight: () => this.gateway.inFlight,
      refuse: () => (this.isRefusing = true),
      closeListener: () => this.callerListener.close(),
      settle: () => this.settle(),
    })
    this.note('instance_left', { ...result, ...this.acceptQueue.logFields })
  }

  /**
   * Handles a change of the settings file. Only settings that are read at each use, such as the grace time, take effect
   * in the running process.
   */
  noteSettings(outcome: SettingsOutcome): void {
    const { cause } = outcome
    if (outcome.kind === 'refused') {
      this.note('settings_refused', { cause, faults: outcome.faults })
      return
    }
    this.settings = outcome.settings
    this.note('settings_in_force', { cause })
  }

  /** Reports an internal error: the operation that failed is abandoned and the process continues. */
  noteFault(error: unknown): void {
    this.telemetry.noteFault(error)
  }

  /** Stops immediately: requests in progress are broken off and no holding is settled. */
  stop(): void {
    for (const mirror of this.mirrors.values()) mirror.stop()
    for (const part of [this.health, this.ledger, this.members]) part.stop()
    this.store.close()
    for (const client of [this.peerLoans, this.peerRows, this.relayPeers]) client.close()
    this.endpoints.stop()
    for (const { server } of this.otherListeners) server.close()
    this.pauses.stop()
    this.callerListener.stop()
  }

  private async settle(): Promise<boolean> {
    const isSettled = await this.ledger.leave()
    await this.members.leave()
    return isSettled
  }

  private createStore(): RowStore {
    const { address, timeoutMilliseconds } = this.settings.store
    return this.adapter.createStore({
      address,
      timeoutMilliseconds,
      onMalformedAnswer: call =>
        this.telemetry.noteMalformed({ form: 'answer of the store', source: call }),
    })
  }

  private createMembers(): MemberDirectory {
    const { membership, store } = this.settings
    return new MemberDirectory({
      self: selfMember(this.settings, this.incarnation),
      requestsPerSecond: () => this.requestRate.perSecond,
      isActive: () => this.fleet.isSelfActive,
      store: this.store,
      storeClock: this.storeClock,
      clock: this.clock,
      random: this.random,
      heartbeatMilliseconds: membership.heartbeatMilliseconds,
      silenceMilliseconds: membership.silenceMilliseconds,
      partitionWritesPerSecond: store.partitionWritesPerSecond,
      onStateChange: (member, state) => this.telemetry.noteMemberState(member, state),
      onRegistered: isSelf => this.endpoints.noteRegistered(isSelf),
      onMalformedRow: row => this.telemetry.noteMalformedRow(row),
    })
  }

  private createFleet(): ActiveFleet {
    return createActiveFleet({
      settings: this.settings,
      members: this.members,
      clock: this.clock,
      random: this.random,
      endpoints: () => this.endpoints,
      isReady: () => this.isReady,
      onChange: (isActive, activeInstances) =>
        this.note('active_state', { isActive, activeInstances }),
    })
  }

  private createLedger(): PrepaidLedger {
    const { settings, incarnation, store, storeClock, clock, fleet, telemetry } = this
    const loanChannel = this.peerLoans
    return createLedger({
      settings,
      incarnation,
      store,
      storeClock,
      clock,
      fleet,
      telemetry,
      loanChannel,
    })
  }

  private get peerCallSources(): PeerClientSources {
    const { settings, members, telemetry } = this
    return { settings, members, telemetry }
  }

  private createEndpoints(): EndpointSubsystem {
    const { settings, incarnation, clock, random, store, storeClock, telemetry, members } = this
    return new EndpointSubsystem({
      instance: settings.instance.id,
      incarnation,
      loadAddress: settings.listen.loads,
      clock,
      random,
      store,
      storeClock,
      telemetry,
      members,
      fleet: () => this.fleet,
      readMembers: () => readMembersSoon(this.mirrors),
      isListFresh: () => this.health.isFresh(this.adapter.endpoints.table),
      listAge: () => this.health.age(this.adapter.endpoints.table),
      service: name => this.configuration.routes?.service(name),
    })
  }

  private createGateway(): Gateway {
    const { requests, retries, instance, limits } = this.settings
    return new Gateway({
      dialect: this.adapter.dialect,
      ...this.endpoints.gatewayParts,
      relayPeers: this.relayPeers,
      instance: instance.id,
      clock: this.clock,
      random: this.random,
      failureDomain: instance.failureDomain,
      ...requests,
      ledger: this.ledger,
      routes: () => this.configuration.routes,
      retryBounds: { ...retries, windowMilliseconds: retries.windowSeconds * 1000 },
      bodies: new BodyMemory(bodyMemoryBytes(limits.bodyMemoryMegabytes)),
      acceptMilliseconds: () => this.acceptProbe.measure(),
      linkBytesPerSecond: linkBytesPerSecond(instance.capacity),
      admissionCounters: this.telemetry,
      instances: () => this.fleet.worstCaseSharers,
      checkStaleness: () => this.health.checkStaleness(),
      isDraining: () => this.isDrainStarted,
      isRefusing: () => this.isRefusing,
      onContradictedDenial: denial => this.note('denial_contradicted', { ...denial }),
      onRecord: record => {
        this.telemetry.noteRecord(record)
        this.health.noteRecord(record)
      },
    })
  }

  private createCallerListener(): PausableListener {
    const server = createCallerListener(this.telemetry, (request, response) => {
      this.requestRate.add(1)
      void this.gateway.handle(request, response)
    })
    server.maxConnections = this.settings.limits.connections
    const { callers } = this.settings.listen
    const onAddressTaken = (error: unknown) =>
      this.note('listener_address_taken', { detail: String(error) })
    return new PausableListener(server, callers, this.clock, onAddressTaken, this.acceptQueue)
  }

  private createPauses(): ListenerPauses {
    return new ListenerPauses({
      clock: this.clock,
      random: this.random,
      listener: this.callerListener,
      refusedShare: () => this.gateway.refusedShare,
      others: () => heardInstances(this.endpoints, this.fleet.activeOthers),
      isServing: () => this.isReady,
      gossipOverload: () => this.endpoints.exchange?.gossipOverload(),
      onPause: () => this.telemetry.noteListenerPause(),
      onChange: (isPausing, refusedShare, others) =>
        this.note('listener_state', {
          isPausing,
          refusedShare,
          ...others,
          ...this.acceptQueue.logFields,
        }),
      onFault: error => this.noteFault(error),
    })
  }

  private createMirrors(): ReadonlyMap<string, TableMirror> {
    return followTables({
      store: this.store,
      clock: this.clock,
      adapter: this.adapter,
      endpoints: this.endpoints.directory,
      members: this.members,
      ledger: this.ledger,
      crashRecords: this.endpoints.crashes.records,
      peerRows: this.peerRows,
      freshness: this.settings.freshness,
      onConfiguration: (rows, isWhole) => this.configuration.observe(rows, isWhole),
      isActive: () => this.fleet.isSelfActive,
      onStoreReachability: isReachable => this.endpoints.noteStoreContact(isReachable),
      onFault: error => this.noteFault(error),
      onMalformedRow: row => this.telemetry.noteMalformedRow(row),
    })
  }

  private createHealth(): InstanceHealth {
    return new InstanceHealth({
      clock: this.clock,
      telemetry: this.telemetry,
      gateway: this.gateway,
      tables: monitoredTables(this.adapter, this.mirrors, this.settings.freshness),
      reachability: () => ({
        answeredAgoMilliseconds: this.store.answeredAgoMilliseconds,
        heardAgoMilliseconds: this.endpoints.fleetLoad.heardAgoMilliseconds,
      }),
    })
  }

  private createMetrics(): GatewayMetrics {
    const { gateway, members, fleet, ledger, endpoints, configuration, callerConnections } = this
    return this.telemetry.createMetrics(
      gaugesOf({
        gateway,
        members,
        fleet,
        ledger,
        endpoints: endpoints.directory,
        configuration,
        health: this.health,
        crashes: endpoints.crashes.guard,
        advices: endpoints.advice.advices,
        turnAways: endpoints.advice.turnAways,
        callerConnections,
        callerListener: this.callerListener,
        configurationMirror: this.mirrors.get(this.adapter.configuration.table),
        isReady: () => this.isReady,
      }),
    )
  }

  private createOtherListeners(): readonly AddressedListener[] {
    const answers = new AuxiliaryListeners({
      adapter: this.adapter,
      clock: this.clock,
      isReady: () => this.isReady,
      fleet: this.fleet,
      lender: this.ledger.lender,
      streams: this.endpoints.streams,
      mirrors: this.mirrors,
      metrics: this.metrics,
      relayed: (request, response, relayedBy) =>
        void this.gateway.handle(request, response, relayedBy),
      addressSeconds: () => this.settings.membership.addressSeconds,
    })
    return answers.listeners(this.settings.listen)
  }

  private createConfiguration(): ActiveConfiguration {
    return new ActiveConfiguration({
      source: this.adapter.configuration,
      onConfiguration: (routes, before) => this.noteConfiguration(routes, before),
      onEvacuation: (failureDomain, isEvacuated) => {
        this.endpoints.directory.setEvacuated(failureDomain, isEvacuated)
        const event = isEvacuated ? 'failure_domain_evacuated' : 'failure_domain_restored'
        this.note(event, { failureDomain })
      },
      onRefused: detail => this.note('configuration_refused', { detail }),
    })
  }

  private noteConfiguration({ configuration }: RouteTable, before: number): void {
    const { version, limits, teams } = configuration
    applyLimits(this.callerListener.server, limits)
    const budgets = teams.flatMap(({ name, prepaid }) =>
      prepaid === undefined ? [] : [{ budget: name, limit: prepaid }],
    )
    this.ledger.configure(budgets, version)
    this.note('configuration_in_force', { version, before })
    this.joinFleet()
  }

  /** Registers this instance when its first configuration is in force: before that, the instance cannot serve. */
  private joinFleet(): void {
    if (this.isMember) return
    this.isMember = true
    this.members.start()
  }

  private note(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.telemetry.note(event, fields)
  }
}
