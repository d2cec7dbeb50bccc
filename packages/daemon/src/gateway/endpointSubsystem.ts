/**
 * Wires together what an instance knows of endpoints: the listed endpoints, their advice, the requests that crash
 * them, the connections to them, the software versions that their streams come from, and the load of the whole fleet
 * at them. Owns these parts and the datagram exchange that shares their state between instances; decides nothing.
 */

import { EndpointDirectory, FleetLoad, LinkMonitor } from '@rackwalk/router'
import type { EndpointRecord, EndpointState, GatewayService } from '@rackwalk/router'
import type { MemberDirectory, StoreClock } from '@rackwalk/coordination'
import type { Clock, EndpointStart, RandomSource, Milliseconds } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import type { ActiveFleet } from './activeFleet.js'
import { AdviceCoordinator } from './adviceCoordinator.js'
import { CrashCoordinator } from './crashCoordinator.js'
import { CutOffInstances } from './cutOffGossip.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { LoadExchange, LoadPeerList, OVERLOAD_GOSSIP_MILLISECONDS } from './loadExchange.js'
import { UnknownSenderMonitor } from './unknownSenderMonitor.js'
import { OverloadedInstances } from './overloadGossip.js'
import { StreamCoordinator } from './streamCoordinator.js'

/** What the subsystem needs. */
export interface EndpointSubsystemParts {
  readonly instance: string
  readonly incarnation: string
  /** IP:PORT for datagrams; undefined when this instance takes none. */
  readonly loadAddress: string | undefined
  readonly clock: Clock
  readonly random: RandomSource
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly telemetry: GatewayTelemetry
  readonly members: MemberDirectory
  readonly fleet: () => ActiveFleet
  /** Reads the member rows at once instead of at their next interval. */
  readonly readMembers: () => void
  /** Whether the list of endpoints is within its staleness bound. */
  readonly isListFresh: () => boolean
  /** Time since the list of endpoints was read from the store. */
  readonly listAge: () => Milliseconds
  /** The service in the configuration in force; undefined when it has no such service. */
  readonly service: (name: string) => GatewayService | undefined
}

/** The parts of one instance that hold the state of endpoints. */
export class EndpointSubsystem {
  readonly directory: EndpointDirectory
  readonly crashes: CrashCoordinator
  readonly advice: AdviceCoordinator
  readonly fleetLoad: FleetLoad
  readonly exchange: LoadExchange | undefined
  /** Other instances that are overloaded. */
  readonly overloaded: OverloadedInstances
  /** Which endpoints this instance reaches. */
  readonly links: LinkMonitor<EndpointState>
  /** Instances whose report that they reach no endpoint of some service has not expired. */
  readonly cutOff: CutOffInstances
  /** The origins (endpoint software versions) of streams. */
  readonly streams: StreamCoordinator

  constructor(private readonly parts: EndpointSubsystemParts) {
    this.directory = this.createDirectory()
    this.streams = this.createStreams()
    this.links = this.createLinks()
    this.cutOff = this.createCutOff()
    this.crashes = this.createCrashes()
    this.advice = this.createAdvice()
    this.fleetLoad = this.createFleetLoad()
    this.overloaded = new OverloadedInstances(
      parts.clock,
      () => this.exchange?.overloadGossipMilliseconds ?? OVERLOAD_GOSSIP_MILLISECONDS,
    )
    this.exchange = this.createExchange()
  }

  /** The endpoint-related parts of the gateway's request path. */
  get gatewayParts() {
    const { directory, fleetLoad, links, crashes, streams, advice } = this
    const { advices, permits, turnAways } = advice
    return {
      directory,
      fleetLoad,
      links,
      crashes: crashes.guard,
      streams: streams.origins,
      advices,
      permits,
      turnAways,
    }
  }

  start(): void {
    this.streams.start()
    this.exchange?.start()
  }

  stop(): void {
    this.crashes.stop()
    this.links.stop()
    this.cutOff.stop()
    this.streams.close()
    this.exchange?.stop()
  }

  /**
   * An instance's row was written. If it is this instance's row, this instance announces itself to all others; else
   * the other instance is sent the current state.
   */
  noteRegistered(isSelf: boolean): void {
    this.parts.fleet().invalidate()
    if (isSelf) this.exchange?.announce()
    else this.exchange?.noteNewInstance()
  }

  /** The store was lost or answers again. */
  noteStoreContact(isReachable: boolean): void {
    this.parts.telemetry.note('store_contact', { isReachable })
    this.streams.noteStoreContact(isReachable)
  }

  private createDirectory(): EndpointDirectory {
    const { clock, fleet, service } = this.parts
    return new EndpointDirectory({
      clock,
      instances: () => fleet().sharers,
      maximumConnections: name => service(name)?.maximumConnections ?? 1,
      coldMilliseconds: name => service(name)?.warmUp?.durationMilliseconds ?? 0,
      hasAnnouncedLeaving: start => this.advice.advices.isLeaving(start),
      onChange: (endpoint, change) => this.noteChange(endpoint, change),
      onReplaced: start => this.noteReplaced(start),
    })
  }

  private createStreams(): StreamCoordinator {
    const { instance, incarnation, clock, store, storeClock, members } = this.parts
    const { fleet, telemetry, isListFresh, listAge, service } = this.parts
    return new StreamCoordinator({
      clock,
      store,
      storeClock,
      members,
      identity: { instance, incarnation },
      directory: () => this.directory,
      fleet,
      exchange: () => this.exchange,
      isListFresh,
      listAge,
      isConfigured: name => service(name) !== undefined,
      telemetry,
    })
  }

  private createLinks(): LinkMonitor<EndpointState> {
    const { clock, random, telemetry } = this.parts
    return new LinkMonitor({
      clock,
      random,
      endpointsOf: service => this.directory.listed(service),
      endpointsOfOthers: service => this.directory.listedElsewhere(service),
      statePathOf: name => this.parts.service(name)?.engine?.statePath,
      onCutOff: (service, isCutOff) => {
        telemetry.note('links_state', { service, isCutOff })
        this.cutOff.refreshOwn()
      },
    })
  }

  /**
   * Another instance reported that it is cut off. An instance of the same failure domain may have lost its links by the
   * same fault, so this one checks its own before a request finds out.
   */
  private noteCutOff(instance: string, services: readonly string[]): void {
    const newServices = this.cutOff.note(instance, services)
    const { self, others } = this.parts.members
    const reporter = others.find(other => other.instance === instance)
    if (reporter?.failureDomain !== self.failureDomain) return
    for (const service of newServices) this.links.noteDoubted(service)
  }

  private createCutOff(): CutOffInstances {
    const { instance, clock } = this.parts
    return new CutOffInstances({
      instance,
      clock,
      gossipMilliseconds: () =>
        this.exchange?.overloadGossipMilliseconds ?? OVERLOAD_GOSSIP_MILLISECONDS,
      ownServices: () => this.links.cutOffServices,
      broadcast: services => this.exchange?.gossipCutOff(services),
    })
  }

  private noteChange(record: EndpointRecord, change: string): void {
    const { id, service } = record
    this.parts.telemetry.noteChange('server_state', change, { server: id, service, change })
    this.streams.noteChange(record, change)
    if (change === 'gone') this.fleetLoad.forget(id)
  }

  private noteReplaced(start: EndpointStart): void {
    this.crashes.guard.noteReplaced(start)
    this.advice.advices.forget(start)
  }

  private createCrashes(): CrashCoordinator {
    const { clock, store, telemetry } = this.parts
    return new CrashCoordinator({
      clock,
      store,
      directory: () => this.directory,
      links: this.links,
      broadcast: gossip => this.exchange?.gossipCrashes(gossip),
      gossipPeerCount: () => this.exchange?.gossipPeerCount ?? 0,
      telemetry,
    })
  }

  private createAdvice(): AdviceCoordinator {
    const { clock, instance, members, service, telemetry } = this.parts
    return new AdviceCoordinator({
      clock,
      instance,
      recordedInstances: () => members.recordedInstances,
      boundsOf: name => service(name)?.warmUp,
      broadcast: gossip => this.exchange?.gossipAdvice(gossip),
      telemetry,
    })
  }

  private createFleetLoad(): FleetLoad {
    const { instance, incarnation, clock, fleet, service } = this.parts
    return new FleetLoad({
      instance,
      incarnation,
      directory: this.directory,
      clock,
      capacityOf: name => service(name)?.engine?.capacity,
      // A standby instance reports only its load of services whose engine is configured: other requests wait while
      // such an endpoint reads a prompt, whereas the endpoints' own answers soon show load of other services.
      isReported: name => fleet().isSelfActive || service(name)?.engine !== undefined,
      users: () => fleet().usingOthers.length + 1,
      onSent: () => this.exchange?.noteSent(),
      onPeerRequests: id => this.advice.notePeerRequests(this.directory.startOf(id)),
    })
  }

  private createExchange(): LoadExchange | undefined {
    const { loadAddress, instance, incarnation, clock, fleet, telemetry } = this.parts
    if (loadAddress === undefined) return undefined
    const unknownSenders = this.createUnknownSenders()
    const reportPeers = new LoadPeerList()
    const heartbeatPeers = new LoadPeerList()
    return new LoadExchange({
      address: loadAddress,
      reportPeers: () => reportPeers.of(fleet().usingOthers),
      heartbeatPeers: () => heartbeatPeers.of(fleet().heartbeatOthers),
      fleetLoad: this.fleetLoad,
      identity: { instance, incarnation },
      onCrashGossip: gossip => this.crashes.observe(gossip),
      onAdviceGossip: gossip => this.advice.observe(gossip),
      onOverloaded: instance => this.overloaded.note(instance),
      onCutOff: (...report) => this.noteCutOff(...report),
      onStreamGossip: report => this.streams.observe(report),
      onSender: sender => unknownSenders.note(sender),
      standingAdvice: () => this.advice.advices.gossipSnapshot,
      standingCrashes: () => this.crashes.guard.gossipSnapshot,
      standingVersions: () => this.streams.origins.versionsSnapshot,
      clock,
      onMalformed: input => telemetry.noteMalformed(input),
    })
  }

  private createUnknownSenders(): UnknownSenderMonitor {
    const { instance, members, readMembers, telemetry, clock } = this.parts
    return new UnknownSenderMonitor({
      instance,
      hasIncarnation: (...sender) => members.hasIncarnation(...sender),
      readMembers,
      onUnknown: () => telemetry.noteUnknownSender(),
      clock,
    })
  }
}
