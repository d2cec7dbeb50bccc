/**
 * Replays on virtual time what a cut from the store and a death of all instances cost one prepaid budget:
 * what its callers get during the cut, what of the tokens can be spent again, and what callers get then.
 */

import { SeededRandom, VirtualClock, randomBelow } from '@rackwalk/shared'
import type { Milliseconds, RandomSource, TokenCount } from '@rackwalk/shared'
import { POOL_KEY, PREPAID_TABLE, poolRowCodec } from '@rackwalk/coordination'
import { MemoryRowStore } from '../platform/memoryRowStore.js'
import { loanChannelTo, startPrepaidMember } from './prepaidMember.js'
import type { PrepaidMember } from './prepaidMember.js'

/** What happens to the instances and to the budget. */
export interface RestartScenario {
  readonly seed: number
  /** Time for which all instances are cut off from the store before all of them die. */
  readonly cutMilliseconds: Milliseconds
  /** Whether instances reach each other during the cut. */
  readonly hasPeers: boolean
  /** Seconds for which the budget would last at its callers' demand when the cut begins. */
  readonly secondsLeft: number
  /** Demand during the cut, as a share of that before. */
  readonly demandInCut: number
}

/** What came of it; shares are 0 to 1. */
export interface RestartOutcome {
  /** Requests served during the cut, of those made. */
  readonly servedInCut: number
  /** Tokens that can be spent after all instances have restarted, of those unspent at their death. */
  readonly regained: number
  /** Requests served in the seconds after the restart, of those made. */
  readonly servedAfterwards: number
}

/** The load before the cut: callers of one team ask several instances. */
const INSTANCES = 7
const REQUESTS_PER_SECOND = 10
/** Three in ten requests are large. */
const LARGE_REQUEST: TokenCount = 9_000
const SMALL_REQUEST: TokenCount = 900
const LARGE_SHARE = 0.3
const MEAN_REQUEST = LARGE_SHARE * LARGE_REQUEST + (1 - LARGE_SHARE) * SMALL_REQUEST
const REQUEST_MILLISECONDS = 500
const PATIENCE_MILLISECONDS = 100
const WARM_UP_MILLISECONDS = 10_000
const DARK_MILLISECONDS = 1_000
/** Long enough for each new instance to end its predecessor's holding. */
const TAKEOVER_MILLISECONDS = 2_000
const AFTERWARDS_MILLISECONDS = 5_000
const LIMITS = { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 }
const LOAN_TIMES = { oneWayMilliseconds: 2, timeoutMilliseconds: 90 }

interface ReplayedInstance extends PrepaidMember {
  isDead: boolean
}

/** Plays the scenario once. */
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
  /** Tokens handed out or reserved, over all incarnations. */
  private spent: TokenCount = 0

  constructor(private readonly scenario: RestartScenario) {
    this.random = new SeededRandom(scenario.seed)
    const seconds = WARM_UP_MILLISECONDS / 1_000 + scenario.secondsLeft
    this.limit = Math.round(seconds * REQUESTS_PER_SECOND * MEAN_REQUEST)
  }

  async run(): Promise<RestartOutcome> {
    const { cutMilliseconds, demandInCut } = this.scenario
    this.startAll()
    await this.ask(WARM_UP_MILLISECONDS, 1)
    this.cutAll()
    const servedInCut = await this.ask(cutMilliseconds, demandInCut)
    this.killAll()
    const unspent = this.limit - this.spent
    await this.clock.advance(DARK_MILLISECONDS)
    this.startAll()
    await this.clock.advance(TAKEOVER_MILLISECONDS)
    const regained = (this.limit - this.settled) / unspent
    const servedAfterwards = await this.ask(AFTERWARDS_MILLISECONDS, 1)
    this.killAll()
    return { servedInCut, regained, servedAfterwards }
  }

  /** Sends requests to instances at random; the share that is served. */
  private async ask(milliseconds: Milliseconds, demand: number): Promise<number> {
    const asked = Math.floor((milliseconds * REQUESTS_PER_SECOND * demand) / 1_000)
    let served = 0
    for (let request = 0; request < asked; request += 1) {
      void this.serve().then(isServed => (served += isServed ? 1 : 0))
      await this.clock.advance(milliseconds / asked)
    }
    if (asked === 0) await this.clock.advance(milliseconds)
    return asked === 0 ? 1 : served / asked
  }

  private async serve(): Promise<boolean> {
    const instance = this.instances[randomBelow(this.random, INSTANCES)]
    const tokens = this.random.next() < LARGE_SHARE ? LARGE_REQUEST : SMALL_REQUEST
    const outcome = await instance?.ledger.reserve(BUDGET, tokens, PATIENCE_MILLISECONDS)
    if (outcome?.kind !== 'reserved' || instance?.isDead !== false) return false
    this.spent += tokens
    this.clock.after(REQUEST_MILLISECONDS, () => {
      if (!instance.isDead) instance.ledger.settle(outcome.reservation, tokens)
    })
    return true
  }

  /** Tokens that count as spent once all holdings of the dead were ended. */
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
    this.instances = NAMES.map((_, index) => this.start(index))
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
      limits: LIMITS,
      isActive: true,
      others: () => NAMES.filter(name => name !== nameOf(index)),
      loanChannel: loanChannelTo(clock, LOAN_TIMES, lender => this.find(lender)),
    })
    return { ...member, isDead: false }
  }

  private find(lender: string) {
    const peer = this.instances[NAMES.indexOf(lender)]
    return this.arePeersReachable && peer?.isDead === false ? peer.ledger : undefined
  }
}

const BUDGET = 'team'
const NAMES = Array.from({ length: INSTANCES }, (_, index) => nameOf(index))

function nameOf(index: number): string {
  return `instance-${index + 1}`
}
