/**
 * Replays a load on virtual time. Requests arrive at several instances, each of which chooses an endpoint
 * with the product's own rule and load data. Engine models serve the requests.
 */

import { rankEndpoints } from '@rackwalk/decisions'
import {
  EndpointDirectory,
  FleetLoad,
  StreamPace,
  sharedPartOf,
  snapshotEndpoint,
} from '@rackwalk/router'
import type { EndpointState } from '@rackwalk/router'
import {
  UNKNOWN_SOFTWARE_VERSION,
  SeededRandom,
  VirtualClock,
  asId,
  endpointStart,
} from '@rackwalk/shared'
import type { EndpointId, Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import { EngineModel } from '../engine/engineModel.js'
import type { EngineCapacity, EnginePromptPart } from '../engine/engineModel.js'
import { StreamMonitor } from './streamWatch.js'

/** A kind of request in a load. */
export interface ReplayedKind {
  readonly name: string
  /** Returns the requests per second at a time since the start. */
  readonly perSecond: (now: Milliseconds) => number
  readonly nextRequest: (random: RandomSource) => ReplayedRequest
  readonly goalMilliseconds: Milliseconds
  readonly pauseGoalMilliseconds: Milliseconds
}

/** The size of one request. Its last prompt part is not shared with other requests. */
interface ReplayedRequest {
  readonly parts: readonly EnginePromptPart[]
  readonly answerTokens: TokenCount
}

/** A load and the engines that serve it. */
export interface ReplayedLoad {
  /** For each instance, the weight with which it receives requests. */
  readonly instances: readonly number[]
  /** Time between two load reports of one instance to the others. */
  readonly reportMilliseconds: Milliseconds
  readonly engines: readonly EngineCapacity[]
  readonly kinds: readonly ReplayedKind[]
  readonly tokensPerEvent: TokenCount
  readonly milliseconds: Milliseconds
  /** Engines, by index, that receive no more requests from the given time on. */
  readonly losses: readonly { readonly engine: number; readonly at: Milliseconds }[]
  /** Which load engines report; none by default. */
  readonly loadReports?: LoadReports
}

/** How engines report their load. */
interface LoadReports {
  /**
   * Time between two reports of each engine to each instance, as with frequent answers. Without it, an instance gets
   * a report as an answer to one of its requests begins.
   */
  readonly everyMilliseconds?: Milliseconds
  /** Largest age of a reported pace when an instance receives it. */
  readonly ageMilliseconds: Milliseconds
  /** Whether a report says how long work takes at the engine. */
  readonly hasPace: boolean
  /** Largest relative error of a reported pace. */
  readonly paceNoise: number
}

/** The outcome of the requests of one kind. */
export interface KindOutcome {
  requests: number
  lateFirstEvents: number
  /** Streams whose first event was in time but that had a later pause above the goal. */
  latePauses: number
  readonly durations: Milliseconds[]
}

interface ReplayedInstance {
  readonly name: string
  readonly directory: EndpointDirectory
  readonly fleetLoad: FleetLoad
}

const SERVICE = 'model'
/** Time between two urgent reports, which tell the home instances of an endpoint about requests sent to it. */
const URGENT_REPORT_MILLISECONDS = 20
const FAILURE_DOMAIN = 'domain-0'
const FAILURE_DOMAINS = 3
const MEMORY_TOKENS = 260_000
const MAXIMUM_CONNECTIONS = 10_000

/** One run of a load. The same seed gives the same run. */
export class Replay {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  /** Draws ages and errors of reports, so that the requests do not depend on them. */
  private readonly reportRandom: SeededRandom
  private readonly engines: readonly EngineModel[]
  private readonly instances: readonly ReplayedInstance[]
  private readonly kinds = new Map<string, KindOutcome>()
  private mostRunning = 0

  constructor(
    private readonly load: ReplayedLoad,
    seed: number,
  ) {
    this.random = new SeededRandom(seed)
    this.reportRandom = new SeededRandom(seed + 1)
    this.engines = load.engines.map(
      (capacity, index) => new EngineModel(engineId(index), capacity, this.clock),
    )
    this.instances = load.instances.map((_, index) => this.createInstance(index))
  }

  /** Runs the load and returns the outcomes of finished requests by kind. */
  async run(): Promise<ReadonlyMap<string, KindOutcome>> {
    for (const kind of this.load.kinds) this.scheduleArrival(kind)
    for (const instance of this.instances) {
      const phase = this.random.next() * this.load.reportMilliseconds
      this.clock.after(phase, () => this.scheduleReport(instance))
      this.scheduleUrgent(instance)
      this.scheduleLoadReports(instance)
    }
    for (const { engine, at } of this.load.losses)
      this.clock.after(at, () => this.removeEngine(engine))
    await this.clock.advance(this.load.milliseconds)
    return this.kinds
  }

  /** The highest number of requests that one engine had at the same time. */
  get mostOnOneEngine(): number {
    return this.mostRunning
  }

  /** The slowness of each engine as the first instance estimates it, by index; 1 is average. */
  get knownSlowness(): readonly number[] {
    const directory = this.instances[0]?.directory
    const known = directory?.available(SERVICE) ?? []
    return known.map(endpoint => directory?.slownessOf(endpoint) ?? 1)
  }

  private createInstance(index: number): ReplayedInstance {
    const { clock } = this
    const directory = new EndpointDirectory({
      clock,
      instances: () => this.load.instances.length,
      maximumConnections: () => MAXIMUM_CONNECTIONS,
      coldMilliseconds: () => 0,
      onChange: () => {},
    })
    for (const [position, { endpointId, capacity }] of this.engines.entries()) {
      directory.set({
        id: endpointId,
        start: endpointStart(endpointId, undefined),
        service: SERVICE,
        address: '127.0.0.1:1',
        failureDomain: `domain-${position % FAILURE_DOMAINS}`,
        softwareVersion: UNKNOWN_SOFTWARE_VERSION,
        slots: capacity.slots,
        isLeaving: false,
        coldMilliseconds: 0,
      })
    }
    const identity = { instance: `instance-${index}`, incarnation: '1' }
    const capacityOf = () => MEMORY_TOKENS
    const isReported = () => true
    const users = () => this.load.instances.length
    return {
      name: identity.instance,
      directory,
      fleetLoad: new FleetLoad({
        ...identity,
        directory,
        clock,
        capacityOf,
        isReported,
        users,
      }),
    }
  }

  private removeEngine(engine: number): void {
    for (const { directory } of this.instances) directory.remove(engineId(engine))
  }

  private scheduleReport(instance: ReplayedInstance): void {
    this.clock.after(this.load.reportMilliseconds, () => {
      const report = instance.fleetLoad.nextReport(true)
      const others = this.instances.filter(other => other !== instance)
      if (report !== undefined) for (const other of others) other.fleetLoad.observe(report)
      this.scheduleReport(instance)
    })
  }

  /** Schedules the urgent reports, at the interval of a small fleet. */
  private scheduleUrgent(instance: ReplayedInstance): void {
    this.clock.after(URGENT_REPORT_MILLISECONDS, () => {
      const reports = instance.fleetLoad.urgentReports(this.instances.map(({ name }) => name))
      for (const other of this.instances) {
        const report = other === instance ? undefined : reports.get(other.name)
        if (report !== undefined) other.fleetLoad.observe(report)
      }
      this.scheduleUrgent(instance)
    })
  }

  private scheduleArrival(kind: ReplayedKind): void {
    const perSecond = kind.perSecond(this.clock.monotonic())
    const delay = (-Math.log(1 - this.random.next()) * 1000) / perSecond
    this.clock.after(delay, () => {
      this.arrive(kind, kind.nextRequest(this.random))
      this.scheduleArrival(kind)
    })
  }

  private arrive(kind: ReplayedKind, request: ReplayedRequest): void {
    const instance = this.drawInstance()
    const endpoint = instance && this.choose(instance, request)
    const engine = this.engines.find(({ endpointId }) => endpointId === endpoint?.record.id)
    if (instance === undefined || endpoint === undefined || engine === undefined) {
      throw new Error('no endpoint is left to choose')
    }
    this.send(kind, request, instance, endpoint, engine)
    this.mostRunning = Math.max(this.mostRunning, engine.runningRequests + engine.waitingRequests)
  }

  private drawInstance(): ReplayedInstance | undefined {
    const weights = this.load.instances
    let position = this.random.next() * weights.reduce((sum, weight) => sum + weight, 0)
    const index = weights.findIndex(weight => (position -= weight) < 0)
    return this.instances[index] ?? this.instances.at(-1)
  }

  private choose(
    { directory, fleetLoad }: ReplayedInstance,
    { parts, answerTokens }: ReplayedRequest,
  ): EndpointState | undefined {
    const now = this.clock.monotonic()
    const tokens = { prompt: promptTokens(parts), maximumOutput: answerTokens }
    const metadata = { tokens, promptParts: parts }
    const available = directory.available(SERVICE)
    const [best] = rankEndpoints({
      open: available.map(endpoint => snapshotEndpoint(endpoint, fleetLoad, metadata, now)),
      serviceIds: available.map(({ record }) => record.id),
      sharedPartId: sharedPartOf(metadata),
      answerTokens,
      pauseStretch: fleetLoad.pauses.stretchOf(SERVICE),
      failureDomain: FAILURE_DOMAIN,
      chance: this.random.next(),
    })
    return available.find(({ record }) => record.id === best?.id)
  }

  private send(
    kind: ReplayedKind,
    { parts, answerTokens }: ReplayedRequest,
    { fleetLoad }: ReplayedInstance,
    endpoint: EndpointState,
    engine: EngineModel,
  ): void {
    const { id } = endpoint.record
    const prompt = promptTokens(parts)
    const uncachedTokens = fleetLoad.uncachedTokens(id, prompt, parts)
    const progress = endpoint.beginRequest(uncachedTokens)
    fleetLoad.noteSent(id, parts, uncachedTokens)
    const pace = new StreamPace({
      clock: this.clock,
      pendingTokens: () => endpoint.pendingTokens + fleetLoad.ofPeers(id).pendingTokens,
      onPace: milliseconds => endpoint.noteEventInterval(milliseconds),
    })
    const monitor = new StreamMonitor(kind, this.load.tokensPerEvent, this.clock)
    let hasBegun = false
    engine.submit({
      parts: parts.slice(0, -1),
      promptTokens: prompt,
      answerTokens,
      onToken: () => {
        if (!monitor.noteToken()) return
        if (!hasBegun) this.reportLoad(endpoint, engine)
        hasBegun = true
        progress.noteBegun()
        pace.noteEvents(1)
      },
      onEnd: () => {
        progress.end()
        const { longestPause } = pace
        const goal = kind.pauseGoalMilliseconds
        if (longestPause !== undefined) fleetLoad.pauses.note(SERVICE, longestPause, goal)
        this.recordOutcome(kind, monitor)
      },
    })
  }

  /** The instance receives the load that the engine reports with an answer. */
  private reportLoad(endpoint: EndpointState, engine: EngineModel): void {
    const reports = this.load.loadReports
    if (reports === undefined) return
    const { slots, slowdown } = engine.capacity
    const at = this.clock.monotonic() - this.reportRandom.next() * reports.ageMilliseconds
    const error = 1 + reports.paceNoise * (2 * this.reportRandom.next() - 1)
    const pace = Math.max(1, Math.round(100 * (slowdown?.(at) ?? 1) * error))
    endpoint.noteLoad({
      running: engine.runningRequests,
      waiting: engine.waitingRequests,
      slots,
      ...(reports.hasPace ? { pace } : {}),
    })
  }

  private scheduleLoadReports({ directory }: ReplayedInstance): void {
    const every = this.load.loadReports?.everyMilliseconds
    if (every === undefined) return
    for (const endpoint of directory.available(SERVICE)) {
      const engine = this.engines.find(({ endpointId }) => endpointId === endpoint.record.id)
      const report = () => {
        if (engine !== undefined) this.reportLoad(endpoint, engine)
        this.clock.after(every, report)
      }
      this.clock.after(this.reportRandom.next() * every, report)
    }
  }

  private recordOutcome({ name }: ReplayedKind, monitor: StreamMonitor): void {
    const known = this.kinds.get(name) ?? emptyOutcome()
    this.kinds.set(name, known)
    known.requests += 1
    known.durations.push(monitor.duration)
    if (monitor.isFirstLate) known.lateFirstEvents += 1
    else if (monitor.isPauseLate) known.latePauses += 1
  }
}

function emptyOutcome(): KindOutcome {
  return { requests: 0, lateFirstEvents: 0, latePauses: 0, durations: [] }
}

function promptTokens(parts: readonly EnginePromptPart[]): TokenCount {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}

function engineId(index: number): EndpointId {
  return asId<EndpointId>(`engine-${index}`)
}
