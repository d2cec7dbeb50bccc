/**
 * Replays, on virtual time, a partition from the store followed by a crash of all instances, for one prepaid
 * budget. The outcome shows the share of requests served during the partition, the share of unspent tokens
 * that can still be spent after the restart, and the share of requests served then.
 */

import { SeededRandom, VirtualClock, randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import { POOL_KEY, PREPAID_TABLE, poolRowCodec } from '@rackwalk/coordination'
import { MemoryRowStore } from '../platform/memoryRowStore.js'
import { loanChannelTo, startPrepaidMember } from './prepaidMember.js'
import type { PrepaidMember } from './prepaidMember.js'

/** The faults and the load of a replay. */
export interface RestartScenario {
  readonly seed: number
  /** Time for which all instances are cut off from the store before all of them crash. */
  readonly cutMilliseconds: Milliseconds
  /** Whether instances reach each other during the partition. */
  readonly hasPeers: boolean
  /** Seconds for which the budget lasts at its callers' demand when the partition begins. */
  readonly secondsLeft: number
  /** Demand during the partition, as a share of the demand before. */
  readonly demandInCut: number
}

/** The outcome of a replay. Shares are in [0, 1]. */
export interface RestartOutcome {
  /** Share of the requests that are served during the partition. */
  readonly servedInCut: number
  /** Share of the tokens unspent at the crash that can be spent after all instances have restarted. */
  readonly regained: number
  /** Share of the requests that are served in the five seconds after the restart. */
  readonly servedAfterwards: number
}

/** The load before the partition: callers of one team send requests to several instances. */
const INSTANCES = 7
const REQUESTS_PER_SECOND = 10
/** Three in ten requests are large. */
const LARGE_REQUEST: TokenCount = 9_000
const SMALL_REQUEST: TokenCount = 900
const LARGE_SHARE = 0.3
const MEAN_REQUEST = LARGE_SHARE * LARGE_REQUEST + (1 - LARGE_SHARE) * SMALL_REQUEST
const REQUEST_MILLISECONDS = 500
const RESERVE_TIMEOUT_MILLISECONDS = 100
const WARM_UP_MILLISECONDS = 10_000
const DOWNTIME_MILLISECONDS = 1_000
/** Long enough for each new incarnation to close the holding of its predecessor. */
const TAKEOVER_MILLISECONDS = 2_000
const AFTERWARDS_MILLISECONDS = 5_000
const WRITE_LIMITS = { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 }
const LOAN_TIMES = { oneWayMilliseconds: 2, timeoutMilliseconds: 90 }

interface ReplayedInstance extends PrepaidMember {
  isDead: boolean
}

/** Replays the scenario once. */
export function replayRestart(scenario: RestartScenario): Promise<RestartOutcome> {
  return new RestartReplay(scenario).run()
}

class RestartReplay {
  private readonly clock = new VirtualClock()
  private readonly random: RandomSource
  private readonly rows = new MemoryRowStore(this.clock)
  private readonly limit: TokenCount
  private instances: ReplayedInstance[] = []
  private incarnations = 0
  private arePeersReachable = true
  /** Tokens spent or reserved, over all incarnations. */
  private spent: TokenCount = 0

  constructor(private readonly scenario: RestartScenario) {
    this.random = new SeededRandom(scenario.seed)
    const seconds = WARM_UP_MILLISECONDS / 1_000 + scenario.secondsLeft
    this.limit = Math.round(seconds * REQUESTS_PER_SECOND * MEAN_REQUEST)
  }

  async run(): Promise<RestartOutcome> {
    const { cutMilliseconds, demandInCut } = this.scenario
    this.startAll()
    await this.sendRequests(WARM_UP_MILLISECONDS, 1)
    this.cutAll()
    const servedInCut = await this.sendRequests(cutMilliseconds, demandInCut)
    this.killAll()
    const unspent = this.limit - this.spent
    await this.clock.advance(DOWNTIME_MILLISECONDS)
    this.startAll()
    await this.clock.advance(TAKEOVER_MILLISECONDS)
    const regained = (this.limit - this.settled) / unspent
    const servedAfterwards = await this.sendRequests(AFTERWARDS_MILLISECONDS, 1)
    this.killAll()
    return { servedInCut, regained, servedAfterwards }
  }

  /** Sends requests to random instances. Returns the share that is served. */
  private async sendRequests(milliseconds: Milliseconds, demand: number): Promise<number> {
    const sent = Math.floor((milliseconds * REQUESTS_PER_SECOND * demand) / 1_000)
    let served = 0
    for (let request = 0; request < sent; request += 1) {
      void this.serve().then(isServed => (served += isServed ? 1 : 0))
      await this.clock.advance(milliseconds / sent)
    }
    if (sent === 0) await this.clock.advance(milliseconds)
    return sent === 0 ? 1 : served / sent
  }

  private async serve(): Promise<boolean> {
    const instance = this.instances[randomBelow(this.random, INSTANCES)]
    const tokens = this.random.next() < LARGE_SHARE ? LARGE_REQUEST : SMALL_REQUEST
    const outcome = await instance?.ledger.reserve(BUDGET, tokens, RESERVE_TIMEOUT_MILLISECONDS)
    if (outcome?.kind !== 'reserved' || instance?.isDead !== false) return false
    this.spent += tokens
    this.clock.after(REQUEST_MILLISECONDS, () => {
      if (!instance.isDead) instance.ledger.settle(outcome.reservation, tokens)
    })
    return true
  }

  /** Tokens that count as spent after all holdings of the crashed incarnations are closed. */
  private get settled(): TokenCount {
    const outcome = this.rows.read(PREPAID_TABLE, BUDGET)
    const pool = outcome.kind === 'rows' && outcome.rows.find(({ key }) => key === POOL_KEY)
    if (!pool) throw new Error('the budget has no pool')
    return poolRowCodec.decode(pool.value)?.settled ?? 0
  }

  private cutAll(): void {
    this.arePeersReachable = this.scenario.hasPeers
    for (const { faults } of this.instances) faults.isCut = true
  }

  private killAll(): void {
    for (const instance of this.instances) {
      instance.isDead = true
      instance.faults.isCut = true
      instance.ledger.stop()
      instance.mirror.stop()
    }
  }

  private startAll(): void {
    this.arePeersReachable = true
    this.instances = INSTANCE_NAMES.map((_, index) => this.start(index))
  }

  private start(index: number): ReplayedInstance {
    const { clock, rows, limit } = this
    this.incarnations += 1
    const member = startPrepaidMember({
      instance: nameOf(index),
      incarnation: `start-${this.incarnations}`,
      clock,
      rows,
      budget: BUDGET,
      limit,
      limits: WRITE_LIMITS,
      isActive: true,
      others: () => INSTANCE_NAMES.filter(name => name !== nameOf(index)),
      loanChannel: loanChannelTo(clock, LOAN_TIMES, lender => this.find(lender)),
    })
    return { ...member, isDead: false }
  }

  private find(lender: string) {
    const peer = this.instances[INSTANCE_NAMES.indexOf(lender)]
    return this.arePeersReachable && peer?.isDead === false ? peer.ledger : undefined
  }
}

const BUDGET = 'team'
const INSTANCE_NAMES = Array.from({ length: INSTANCES }, (_, index) => nameOf(index))

function nameOf(index: number): string {
  return `instance-${index + 1}`
}
