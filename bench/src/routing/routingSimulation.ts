/** Runs the real routing code of several instances against engine models, on virtual time. */

import { SeededRandom, VirtualClock, asId, randomBelow } from '@rackwalk/shared'
import type { EndpointId, ModelId } from '@rackwalk/shared'
import {
  EndpointTable,
  PREFIX_BLOCK_TOKENS,
  createRoutingPolicy,
  prefixHashes,
  promptTokenEstimate,
} from '@rackwalk/router'
import type {
  ConfiguredEndpoint,
  EndpointCatalogue,
  RoutingPolicy,
  RoutingPolicyName,
} from '@rackwalk/router'
import { EngineModel } from '@rackwalk/stand-ins'
import type { EngineCapacity } from '@rackwalk/stand-ins'
import { Durations } from '../percentile.js'
import { EngineReports } from './engineReports.js'

/** The instances, engines and traffic of one user. */
export interface RoutingProfile {
  readonly instances: number
  readonly engines: number
  readonly requestsPerSecond: number
  /** Length of the prefix that all prompts of a team share, in bytes. */
  readonly teamPrefixBytes: number
  readonly teams: number
  readonly conversations: number
}

/** Results of one policy. Times in milliseconds. */
export interface RoutingOutcome {
  readonly firstToken: Durations
  readonly hitRate: number
  /** Requests to the busiest engine divided by the mean over all engines. */
  readonly busiestOverMean: number
}

const MODEL = asId<ModelId>('assistant')
const REPORT_PERIOD_MILLISECONDS = 250
const MEAN_ANSWER_TOKENS = 120
const BURST_EVERY_MILLISECONDS = 20_000
const BURST_REQUESTS = 24
const CAPACITY: EngineCapacity = {
  slots: 48,
  pieceTokens: 2_048,
  promptTokensPerMillisecond: 9,
  stepMilliseconds: 18,
  answerMilliseconds: 0.4,
  thousandContextMilliseconds: 0,
  millionPairsMilliseconds: 0,
  cacheTokens: 400 * PREFIX_BLOCK_TOKENS,
}

interface RouterInstance {
  readonly table: EndpointTable
  readonly policy: RoutingPolicy
  readonly positions: Map<EndpointId, number>
}

/** Simulates several instances that route one user's traffic to engine models. */
export class RoutingSimulation {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  private readonly engines: readonly EngineModel[]
  private readonly reports: readonly EngineReports[]
  private readonly routers: readonly RouterInstance[]
  private readonly teamPrefix: Buffer
  private readonly turnCounts: number[]
  private readonly firstToken = new Durations()
  private requests = 0

  constructor(
    private readonly profile: RoutingProfile,
    policy: RoutingPolicyName,
    seed: number,
  ) {
    this.random = new SeededRandom(seed)
    const ids = Array.from({ length: profile.engines }, (_, n) => asId<EndpointId>(`engine-${n}`))
    this.reports = ids.map(() => new EngineReports(this.clock))
    this.engines = ids.map(
      (id, index) =>
        new EngineModel(id, CAPACITY, this.clock, change =>
          this.reports[index]?.recordCacheChange(change),
        ),
    )
    for (const [index, engine] of this.engines.entries())
      this.reports[index]?.scheduleReport(engine)
    const source = endpointSource(ids)
    const permits = { allows: () => true, refusalOf: () => undefined }
    this.routers = Array.from({ length: profile.instances }, () => ({
      table: new EndpointTable(source, this.clock, permits, () => undefined),
      policy: createRoutingPolicy(policy),
      positions: new Map<EndpointId, number>(),
    }))
    this.teamPrefix = Buffer.alloc(profile.teamPrefixBytes, 'manual ')
    this.turnCounts = Array.from({ length: profile.conversations }, () => 0)
  }

  async run(milliseconds: number): Promise<RoutingOutcome> {
    for (const router of this.routers) this.scheduleReports(router)
    this.scheduleArrival()
    this.scheduleBurst()
    await this.clock.advance(milliseconds)
    const tokens = this.engines.reduce((sum, engine) => sum + engine.promptTokens, 0)
    const hits = this.engines.reduce((sum, engine) => sum + engine.cacheHitTokens, 0)
    const busiest = Math.max(...this.engines.map(engine => engine.requests))
    return {
      firstToken: this.firstToken,
      hitRate: hits / tokens,
      busiestOverMean: (busiest * this.engines.length) / this.requests,
    }
  }

  private scheduleArrival(): void {
    const delay = (-Math.log(1 - this.random.next()) * 1000) / this.profile.requestsPerSecond
    this.clock.after(delay, () => {
      this.submitRequest(randomBelow(this.random, this.profile.conversations))
      this.scheduleArrival()
    })
  }

  /** Schedules bursts of requests with a hot prefix, as when many users open one page at once. */
  private scheduleBurst(): void {
    this.clock.after(BURST_EVERY_MILLISECONDS, () => {
      const conversation = randomBelow(this.random, this.profile.conversations)
      for (let count = 0; count < BURST_REQUESTS; count += 1) this.submitRequest(conversation)
      this.scheduleBurst()
    })
  }

  private submitRequest(conversation: number): void {
    const prompt = this.promptOf(conversation)
    const hashes = prefixHashes(prompt)
    const promptTokens = promptTokenEstimate(prompt.length)
    const router = this.routers[randomBelow(this.random, this.routers.length)] as RouterInstance
    const views = router.table.modelCandidates(MODEL, hashes)
    const demand = { promptTokens, instances: this.profile.instances }
    const choice = router.policy.choose(views, demand, this.random)
    if (choice === undefined) throw new Error('the routing policy chose no engine')
    const { endpointId } = choice
    router.table.prefixes.noteSent(endpointId, hashes)
    router.table.noteRequestSent(endpointId, promptTokens)
    const arrivedAt = this.clock.monotonic()
    const answerTokens = Math.ceil(-Math.log(1 - this.random.next()) * MEAN_ANSWER_TOKENS)
    const engine = this.engines.find(candidate => candidate.endpointId === endpointId)
    let isBegun = false
    engine?.submit({
      promptTokens,
      answerTokens,
      parts: hashes.map(id => ({ id, tokens: PREFIX_BLOCK_TOKENS })),
      onToken: () => {
        if (!isBegun) this.noteFirstToken(this.clock.monotonic() - arrivedAt)
        isBegun = true
      },
      onEnd: () => router.table.noteRequestEnded(endpointId),
    })
  }

  private noteFirstToken(duration: number): void {
    this.requests += 1
    this.firstToken.add(duration)
  }

  /** Returns the team's shared prefix, then a conversation that grows with each turn. */
  private promptOf(conversation: number): Buffer {
    const team = conversation % this.profile.teams
    const turns = (this.turnCounts[conversation] ?? 0) + 1
    this.turnCounts[conversation] = turns % 12
    const head = Buffer.from(`team ${team} `)
    const turn = Buffer.from(`conversation ${conversation} `.repeat(100 * turns))
    return Buffer.concat([head, this.teamPrefix, turn])
  }

  private scheduleReports(router: RouterInstance): void {
    const delay = REPORT_PERIOD_MILLISECONDS * (0.5 + this.random.next())
    this.clock.after(delay, () => {
      for (const [index, engine] of this.engines.entries()) {
        this.applyReport(router, engine.endpointId, this.reports[index] as EngineReports)
      }
      this.scheduleReports(router)
    })
  }

  private applyReport(
    router: RouterInstance,
    endpointId: EndpointId,
    reports: EngineReports,
  ): void {
    router.table.noteReport(endpointId, reports.load, this.clock.monotonic())
    const events = reports.eventsAfter(router.positions.get(endpointId) ?? 0)
    router.table.prefixes.apply(endpointId, events)
    const last = events.at(-1)
    if (last !== undefined) router.positions.set(endpointId, last.sequence)
  }
}

function endpointSource(ids: readonly EndpointId[]): EndpointCatalogue {
  const endpoints: readonly ConfiguredEndpoint[] = ids.map(endpointId => ({
    endpointId,
    spec: {
      kind: 'model',
      address: 'http://127.0.0.1:1',
      models: [MODEL],
      maximumInFlight: CAPACITY.slots,
      prefillTokensPerSecond: CAPACITY.promptTokensPerMillisecond * 1000,
      checksOrders: true,
    },
  }))
  return {
    endpoints,
    findEndpoint: id => endpoints.find(({ endpointId }) => endpointId === id),
    isEvacuated: () => false,
  }
}
