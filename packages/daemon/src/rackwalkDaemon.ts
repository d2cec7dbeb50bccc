/**
 * One instance of the OpenAI-style kind: wires all parts together. Owns the lifecycle phase of the instance;
 * delegates everything else to its parts.
 */

import { ResultCode, SystemClock, SystemRandom, sleep } from '@rackwalk/shared'
import type { Clock, IncarnationId, RandomSource, Task } from '@rackwalk/shared'
import { ObjectStoreInstanceList } from '@rackwalk/stores'
import type { DynamodbTableService, S3ObjectStore } from '@rackwalk/stores'
import type { JsonValue, ListedInstance, TableService } from '@rackwalk/stores'
import {
  CoordinationNode,
  DEFAULT_JOURNAL_LIMITS,
  ResourceStore,
  chooseAddresses,
} from '@rackwalk/coordination'
import {
  BodyMemory,
  Catalogue,
  EndpointClient,
  EndpointTable,
  FOLLOWED_KINDS,
} from '@rackwalk/router'
import type { ChatRelay, DecisionRecord, RefusedBodyHandler } from '@rackwalk/router'
import { CallerServer } from './callers/callerServer.js'
import { createRefusedBodies } from './callers/createRefusedBodies.js'
import { unservedObserver } from './callers/unservedCallers.js'
import { createAcceptQueue } from './callers/createAcceptQueue.js'
import { DecisionRecordFinder } from './decisionRecordFinder.js'
import { withPort } from './observe/listenOn.js'
import { JsonLogger } from './observe/logger.js'
import { MalformedInputLog } from './observe/malformedInputLog.js'
import type { Logger } from './observe/logger.js'
import { failedRequestFields } from './observe/failedRequestFields.js'
import { Metrics } from './observe/metrics.js'
import { RolloutTracker } from './operators/rolloutTracker.js'
import { OperatorRoutes } from './operators/operatorRoutes.js'
import { OperatorServer } from './operators/operatorServer.js'
import { ResourceApi } from './operators/resourceApi.js'
import { GrpcPeerChannel } from './peers/grpcPeerChannel.js'
import { PeerServer } from './peers/peerServer.js'
import { createCheckedTable, createObjects, createPolicy, createTable } from './platformClients.js'
import { createChatRelay } from './createChatRelay.js'
import { createIdentity } from './ownIdentity.js'
import type { MutableNodeIdentity } from './ownIdentity.js'
import { createRequestPath } from './requestPath.js'
import type { RequestPath } from './requestPath.js'
import { readSecret } from './settings/sources.js'
import { bodyMemoryBytes } from './settings/bodyMemorySetting.js'
import type { Settings } from './settings/schema.js'
import { AdviceTask } from './tasks/adviceTask.js'
import { CrashTask } from './tasks/crashTask.js'
import { EndpointReachabilityTask } from './tasks/endpointReachabilityTask.js'
import { EndpointMonitor } from './tasks/endpointMonitor.js'
import { createPlacementTask } from './tasks/createPlacementTask.js'
import type { PlacementTask } from './tasks/placementTask.js'

/** What tests and embedding programs may replace. */
export interface DaemonOptions {
  readonly clock?: Clock
  readonly random?: RandomSource
  readonly logger?: Logger
  /** Process metrics exist only once per process. */
  readonly withProcessMetrics?: boolean
  /** Called once when this incarnation was sealed; the program should restart. */
  readonly onSealed?: () => void
}

/** Addresses at which an instance listens, with the ports that the system chose. */
export interface BoundAddresses {
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

const DRAIN_POLL_MILLISECONDS = 20

/** One instance of the fleet, with all its tasks. */
export class RackwalkDaemon {
  readonly node: CoordinationNode
  private readonly clock: Clock
  private readonly random: RandomSource
  private readonly logger: Logger
  private readonly metrics: Metrics
  private readonly identity: MutableNodeIdentity
  private readonly malformed: MalformedInputLog
  private readonly tableClient: DynamodbTableService
  /** The table as all parts read it, with validated rows. */
  private readonly table: TableService
  private readonly objects: S3ObjectStore
  private readonly client: EndpointClient
  private readonly peers: GrpcPeerChannel
  private readonly catalogue: Catalogue
  private readonly endpoints: EndpointTable
  private readonly path: RequestPath
  private readonly recordFinder: DecisionRecordFinder
  private readonly rollouts: RolloutTracker
  private readonly crashes: CrashTask
  private readonly reachability: EndpointReachabilityTask
  private readonly chatRelay: ChatRelay
  private readonly advice: AdviceTask
  private readonly monitor: EndpointMonitor
  private readonly tasks: readonly Task[]
  private readonly peerServer: PeerServer
  private readonly callerServer: CallerServer
  private readonly operatorServer: OperatorServer
  private readonly bodies: BodyMemory
  private drained: Promise<void> | undefined

  constructor(
    private readonly settings: Settings,
    private readonly options: DaemonOptions = {},
  ) {
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? new SystemRandom()
    this.logger = options.logger ?? new JsonLogger(settings.log.level, settings.instance.id)
    this.metrics = new Metrics(options.withProcessMetrics ?? true)
    this.identity = createIdentity(settings, this.random)
    this.malformed = this.createMalformedInputLog()
    this.tableClient = createTable(settings)
    this.table = createCheckedTable(this.tableClient, this.malformed)
    this.objects = createObjects(settings)
    this.client = new EndpointClient(this.clock, settings.limits.stallMilliseconds)
    this.peers = this.createPeerChannel()
    this.node = this.createNode()
    this.catalogue = new Catalogue(this.node.configuration, this.malformed.noteResource)
    this.advice = this.createAdviceTask()
    this.endpoints = this.createEndpoints()
    this.reachability = this.createReachability()
    this.crashes = this.createCrashTask()
    this.chatRelay = this.createRelay()
    this.bodies = new BodyMemory(bodyMemoryBytes(settings.limits.bodyMemoryMegabytes))
    this.path = this.createPath()
    this.recordFinder = new DecisionRecordFinder(this.node, this.peers)
    this.rollouts = new RolloutTracker(this.node.membership, this.clock)
    this.monitor = this.createMonitor()
    this.tasks = [this.monitor, this.reachability, this.crashes, this.createPlacementTask()]
    this.peerServer = new PeerServer(this.node.handlers, this.peerSecret(), form =>
      this.malformed.note(form),
    )
    const refusedBodies = createRefusedBodies(settings.limits, this.clock, this.metrics)
    this.callerServer = this.createCallerServer(refusedBodies)
    this.operatorServer = this.createOperatorServer(refusedBodies)
    this.observe()
  }

  /** Opens the listeners, then starts the background work; resolves with the addresses. */
  async start(): Promise<BoundAddresses> {
    const bound = await this.listen().catch(async (error: unknown) => {
      await this.stop()
      throw error
    })
    this.node.start()
    for (const task of this.tasks) await task.start()
    this.logger.info('instance_started', { ...this.identity })
    void this.findPeers(this.settings.peers.seeds)
    return bound
  }

  private async listen(): Promise<BoundAddresses> {
    const { listen, advertise } = this.settings
    const peers = withPort(listen.peers, await this.peerServer.listen(listen.peers))
    const callers = withPort(listen.callers, await this.callerServer.listen(listen.callers))
    const operators = withPort(listen.operators, await this.operatorServer.listen(listen.operators))
    this.identity.peerAddress = advertise.peers ?? peers
    this.identity.callerAddress = advertise.callers ?? callers
    this.identity.operatorAddress = advertise.operators ?? operators
    return { callers, operators, peers }
  }

  /** Whether new requests may begin here. */
  get isServing(): boolean {
    return this.node.isServing
  }

  /** Takes no new requests, finishes those in progress, and leaves the fleet. */
  drain(): Promise<void> {
    this.drained ??= this.drainOnce()
    return this.drained
  }

  /** Stops at once, as a crash would, and cuts off requests in progress. */
  async stop(): Promise<void> {
    this.node.stop()
    for (const task of this.tasks) await task.stop()
    this.callerServer.stop()
    this.operatorServer.stop()
    this.peerServer.stop()
    this.peers.close()
    this.chatRelay.close()
    await this.client.close()
    this.tableClient.close()
    this.objects.close()
  }

  private async drainOnce(): Promise<void> {
    this.logger.info('instance_draining', { inFlight: this.path.pipeline.inFlight })
    await this.node.drain()
    await this.waitForRequests()
    this.callerServer.refuseNew()
    for (const task of this.tasks) await task.drain()
    await this.node.leave()
    this.logger.info('instance_left', { cutOff: this.path.pipeline.inFlight })
    await this.stop()
  }

  private async waitForRequests(): Promise<void> {
    const until = this.clock.monotonic() + this.settings.limits.drainMilliseconds
    while (this.path.pipeline.inFlight > 0 && this.clock.monotonic() < until) {
      await sleep(this.clock, DRAIN_POLL_MILLISECONDS)
    }
  }

  private createPeerChannel(): GrpcPeerChannel {
    const addressOf = (incarnation: IncarnationId) =>
      this.node.membership.find(incarnation)?.peerAddress
    return new GrpcPeerChannel(
      addressOf,
      this.settings.peers.timeoutMilliseconds,
      this.peerSecret(),
      form => this.malformed.note(form),
    )
  }

  private peerSecret(): string | undefined {
    const source = this.settings.peers.secret
    return source === undefined ? undefined : readSecret(source)
  }

  private createNode(): CoordinationNode {
    const { timings, limits } = this.settings
    return new CoordinationNode({
      identity: this.identity,
      table: this.table,
      objects: this.objects,
      instances: new ObjectStoreInstanceList(this.objects),
      peers: this.peers,
      clock: this.clock,
      random: this.random,
      counters: this.metrics,
      policy: createPolicy(this.settings.budgetPolicy),
      resourceKinds: FOLLOWED_KINDS,
      timings: {
        fleetJournalWritesPerSecond: timings.journalWritesPerSecond,
        holdAfterMilliseconds: timings.holdAfterMilliseconds,
        heartbeatMilliseconds: timings.heartbeatMilliseconds,
        configurationMilliseconds: timings.configurationMilliseconds,
        listLagMilliseconds: timings.listLagMilliseconds,
        claimTimeoutMilliseconds: timings.claimMilliseconds,
      },
      journalLimits: { ...DEFAULT_JOURNAL_LIMITS, maximumBacklog: limits.journalBacklog },
      inFlight: () => this.path.pipeline.inFlight,
      leavingEndpoints: () => this.endpoints.leaving,
      onCrashGossip: gossip => this.crashes.guard.applyGossip(gossip),
      onAdviceGossip: gossip => this.advice.observe(gossip),
      onHeartbeat: () => this.afterHeartbeat(),
      onInstancesListed: listed => this.noteListed(listed),
      onSealed: () => this.stopSealed(),
      onFault: error => this.noteFault(error),
    })
  }

  private createPath(): RequestPath {
    return createRequestPath({
      node: this.node,
      catalogue: this.catalogue,
      endpoints: this.endpoints,
      client: this.client,
      crashes: this.crashes.guard,
      advices: this.advice.advices,
      clock: this.clock,
      random: this.random,
      logger: this.logger,
      metrics: this.metrics,
      limits: this.settings.limits,
      bodies: this.bodies,
      reachability: this.reachability,
      chatRelay: this.chatRelay,
      onRecord: record => this.archiveRecord(record),
      onFault: error => this.noteFault(error),
    })
  }

  private createAdviceTask(): AdviceTask {
    const { clock, logger, metrics, peers } = this
    const membership = () => this.node.membership
    const endpoints = () => this.endpoints
    return new AdviceTask({ membership, endpoints, peers, clock, logger, metrics })
  }

  private createEndpoints(): EndpointTable {
    const { catalogue, clock, advice, logger } = this
    return new EndpointTable(catalogue, clock, advice.permits, (endpoint, change) =>
      logger.info('endpoint_state', { endpoint, change }),
    )
  }

  private createCrashTask(): CrashTask {
    const { table, clock, random, logger, metrics, peers } = this
    return new CrashTask({
      membership: () => this.node.membership,
      peers,
      table,
      reachability: this.reachability,
      clock,
      random,
      logger,
      metrics,
      onUnreachable: endpoint => this.endpoints.noteUnreachable(endpoint),
      onKnownTermination: (id, end) =>
        this.client.noteTermination(id, end, this.endpoints.lastHeard(id).askedAt),
      onFault: error => this.noteFault(error),
    })
  }

  private createMalformedInputLog(): MalformedInputLog {
    return new MalformedInputLog(this.logger, () => this.metrics.increment('malformed_forms'))
  }

  private createRelay(): ChatRelay {
    const { identity, node, clock, random, metrics } = this
    return createChatRelay(identity, node, { clock, random, metrics })
  }

  private createReachability(): EndpointReachabilityTask {
    const { catalogue, clock, random, logger } = this
    return new EndpointReachabilityTask({ catalogue, clock, random, logger })
  }

  private createMonitor(): EndpointMonitor {
    return new EndpointMonitor({
      catalogue: this.catalogue,
      endpoints: this.endpoints,
      client: this.client,
      admit: this.path.admit,
      reachability: this.reachability,
      clock: this.clock,
      periodMilliseconds: this.settings.timings.reportMilliseconds,
      onFault: error => this.noteFault(error),
    })
  }

  private createPlacementTask(): PlacementTask {
    const { settings, identity, table, clock, random, catalogue, endpoints, client, logger } = this
    return createPlacementTask({
      ...{ table, clock, random, catalogue, endpoints, client, logger },
      ...settings.placement,
      incarnation: identity.incarnation,
      loadedModels: endpointId => this.monitor.loadedModels(endpointId),
      onFault: error => this.noteFault(error),
    })
  }

  private createCallerServer(refusedBodies: RefusedBodyHandler): CallerServer {
    return new CallerServer({
      acceptQueue: createAcceptQueue(this.metrics, this.logger),
      pipeline: this.path.pipeline,
      catalogue: this.catalogue,
      addresses: () => this.addresses(),
      explain: requestId => this.recordFinder.find(requestId),
      limits: this.settings.limits,
      refusedBodies,
      unserved: unservedObserver(this.metrics, this.logger),
    })
  }

  private createOperatorServer(refusedBodies: RefusedBodyHandler): OperatorServer {
    const store = new ResourceStore(this.table, this.clock, this.random)
    const routes = new OperatorRoutes({
      resources: new ResourceApi(store, this.table, this.random),
      store,
      table: this.table,
      configuration: this.node.configuration,
      membership: this.node.membership,
      rollouts: this.rollouts,
      peers: this.peers,
      clock: this.clock,
      addresses: () => this.addresses(),
      explain: requestId => this.recordFinder.find(requestId),
      drainHere: () => this.node.drain(),
      status: () => this.status(),
      crashes: this.crashes.guard,
      bodies: this.bodies,
    })
    return new OperatorServer({
      routes,
      registry: this.metrics.registry,
      operators: this.settings.operators,
      isServing: () => this.isServing,
      refusedBodies,
    })
  }

  private observe(): void {
    this.metrics.observe({
      inFlight: () => this.path.pipeline.inFlight,
      queued: () => this.path.admit.queuedRequests,
      journalBacklog: () => this.node.journal.backlog,
      liveInstances: () => this.node.membership.liveMembers().length,
      configurationRevision: () => this.node.configuration.revision,
      serving: () => (this.isServing ? 1 : 0),
      crashingRequests: () => this.crashes.guard.refusedCount,
    })
    this.node.configuration.subscribe(() => void this.node.warm(this.catalogue.teamBudgets))
  }

  private addresses() {
    return chooseAddresses(this.node.membership.liveInRegion(this.identity.region), this.random)
  }

  private status(): JsonValue {
    return {
      ...this.node.describe(),
      isServing: this.isServing,
      journalBacklog: this.node.journal.backlog,
      heldBudgets: this.node.ledger.heldBudgets.length,
      liveInstances: this.node.membership.liveMembers().length,
    } as unknown as JsonValue
  }

  private afterHeartbeat(): void {
    this.rollouts.refresh()
    this.monitor.notePeers(this.node.membership.liveMembers())
    void this.node.warm(this.catalogue.teamBudgets)
  }

  private async noteListed(listed: readonly ListedInstance[]): Promise<void> {
    this.monitor.noteListed(listed)
    const known = new Set(this.node.membership.liveMembers().map(member => member.peerAddress))
    const listedAddresses = listed.map(({ peerAddress }) => peerAddress)
    await this.findPeers(listedAddresses.filter(address => !known.has(address)))
  }

  /** Sends a heartbeat to instances of which only the address is known. */
  private async findPeers(addresses: readonly string[]): Promise<void> {
    const others = addresses.filter(address => address !== this.identity.peerAddress)
    const request = { sender: this.node.describe(), digests: this.node.membership.digests() }
    await Promise.all(
      others.map(async address => {
        try {
          const reply = await this.peers.callAddress(address, 'heartbeat', request)
          this.node.membership.mergeMember(reply.receiver)
        } catch {
          // Not reachable (yet); the platform's list or a heartbeat will name the instance again.
        }
      }),
    )
  }

  private archiveRecord(record: DecisionRecord): void {
    this.metrics.noteRecord(record)
    const { requestId } = record
    this.node.archive.add({ requestId, record: record as unknown as JsonValue })
    if (record.code !== ResultCode.Ok) {
      this.logger.info('request_not_completed', failedRequestFields(record))
    }
  }

  private stopSealed(): void {
    this.logger.warn('incarnation_sealed', { incarnation: this.identity.incarnation })
    this.callerServer.stop()
    this.options.onSealed?.()
  }

  /** Reports an internal error: the operation that failed is abandoned and the process continues. */
  noteFault(error: unknown): void {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error)
    this.logger.warn('fault', { error: text })
  }
}
