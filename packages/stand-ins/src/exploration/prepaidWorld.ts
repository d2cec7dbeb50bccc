/** Runs random actions on one prepaid budget of a few instances and checks the spend against its limit. */

import fc from 'fast-check'
import { VirtualClock, sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import {
  DemandHoldingPolicy,
  POOL_KEY,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  holderRowCodec,
  poolRowCodec,
} from '@rackwalk/coordination'
import type { LoanChannel, PrepaidReservation } from '@rackwalk/coordination'
import { MemoryRowStore } from '../platform/memoryRowStore.js'
import type { RowStoreFaults } from '../platform/memoryRowStore.js'
import { GuaranteeViolation } from './checkers.js'
import { NODES, prepaidScriptArbitrary } from './prepaidScript.js'
import type { PeerFault, PrepaidAction, PrepaidFault } from './prepaidScript.js'
import type { PrepaidVariant } from './prepaidVariants.js'

const BUDGET = 'team'
const FIRST_LIMIT: TokenCount = 6_000
const LIMIT_RAISE: TokenCount = 1_500
const RESERVE_TIMEOUT_MILLISECONDS = 100
const READ_INTERVAL_MILLISECONDS = 400
const LATE_WRITE_MILLISECONDS = 2_500
const PEER_ONE_WAY_MILLISECONDS = 2
const PEER_TIMEOUT_MILLISECONDS = 90
const EXHAUST_ROUNDS = 14
const EXHAUST_TOKENS: readonly TokenCount[] = [700, 250, 60]

/** The instance that receives all requests at the end of a run, and those requests. */
const STANDBY_INDEX = 0
const STANDBY_REQUESTS = 20
const STANDBY_REQUEST_TOKENS: TokenCount = 60
const STANDBY_PAUSE_MILLISECONDS = 100
/**
 * The requests are checked only if at least this many times their tokens is left. The margin is needed
 * because other holders keep tokens for their own callers and dead instances leave some tokens stranded.
 */
const STANDBY_MARGIN = 2
/** Requests that may be refused until the other instances have learned of the demand. */
const STANDBY_MAXIMUM_REFUSALS = 3
/** Long enough for every pending write, every retry of a repayment and a few records. */
const SETTLING_MILLISECONDS = 6_000

interface WorldNode {
  readonly ledger: PrepaidLedger
  readonly faults: RowStoreFaults
  readonly reservations: PrepaidReservation[]
  isDead: boolean
  /** Whether callers are sent to this node. The other nodes learn of a change with a delay. */
  isActive: boolean
  peerFault: PeerFault
}

/** The monotonic clock of a process that started at some time of the world's clock. */
class ProcessClock implements Clock {
  private readonly startedAt: Milliseconds

  constructor(private readonly world: Clock) {
    this.startedAt = world.monotonic()
  }

  monotonic(): Milliseconds {
    return this.world.monotonic() - this.startedAt
  }

  sinceStart(): Milliseconds {
    return this.monotonic()
  }

  wallTime(): Milliseconds {
    return this.world.wallTime()
  }

  after(delay: Milliseconds, run: () => void) {
    return this.world.after(delay, run)
  }
}

class PrepaidWorld {
  readonly counts: Record<string, number> = {}
  private readonly clock = new VirtualClock()
  private readonly store = new MemoryRowStore(this.clock)
  private readonly nodes: WorldNode[] = []
  private limit = FIRST_LIMIT
  private version = 1
  private starts = 0
  /** Tokens spent or reserved, over all incarnations of all instances. */
  private spent: TokenCount = 0

  constructor(private readonly variant: PrepaidVariant) {
    for (let index = 0; index < NODES; index += 1) this.nodes.push(this.startNode(index))
  }

  /** Runs the script and throws if the spend exceeds the limit or a standby can't serve its requests. */
  async run(script: readonly PrepaidAction[]): Promise<void> {
    await this.clock.advance(1_000)
    for (const action of script) {
      await this.perform(action)
      this.checkSpend()
    }
    await this.requestAtStandby()
    await this.exhaust()
  }

  /**
   * Sends all requests to one standby instance after all faults are healed and pending work is done. The
   * tokens left by the rows are a lower bound of the tokens left, so the requests must be served.
   */
  private async requestAtStandby(): Promise<void> {
    await this.perform({ kind: 'heal' })
    for (const [index, node] of this.nodes.entries()) node.isActive = index !== STANDBY_INDEX
    await this.clock.advance(SETTLING_MILLISECONDS)
    if (this.remainingByRows() < STANDBY_MARGIN * STANDBY_REQUESTS * STANDBY_REQUEST_TOKENS) return
    this.count('crowded')
    const before = this.counts['refused'] ?? 0
    for (let request = 0; request < STANDBY_REQUESTS; request += 1) {
      await this.reserve(STANDBY_INDEX, STANDBY_REQUEST_TOKENS)
      await this.clock.advance(STANDBY_PAUSE_MILLISECONDS)
    }
    await this.clock.advance(RESERVE_TIMEOUT_MILLISECONDS)
    const refused = (this.counts['refused'] ?? 0) - before
    if (refused > STANDBY_MAXIMUM_REFUSALS) {
      throw new GuaranteeViolation('reach', `${refused} of ${STANDBY_REQUESTS} requests refused`)
    }
  }

  /** Returns the tokens that no row counts as settled or committed. */
  private remainingByRows(): TokenCount {
    const outcome = this.store.read(PREPAID_TABLE, BUDGET)
    if (outcome.kind !== 'rows') return 0
    let left = this.limit
    for (const { key, value } of outcome.rows) {
      if (key === POOL_KEY) left -= poolRowCodec.decode(value)?.settled ?? 0
      else left -= holderRowCodec.decode(value)?.committed ?? 0
    }
    return left
  }

  /** Requests all tokens that are left, so that tokens that were counted twice are also spent twice. */
  private async exhaust(): Promise<void> {
    await this.perform({ kind: 'heal' })
    this.spendReserved()
    for (let round = 0; round < EXHAUST_ROUNDS; round += 1) {
      for (let index = 0; index < NODES; index += 1) {
        for (const tokens of EXHAUST_TOKENS) await this.reserve(index, tokens)
      }
      await this.clock.advance(READ_INTERVAL_MILLISECONDS)
      this.checkSpend()
    }
  }

  /** Settles all reservations at their full size, so that none of their tokens may be spent again. */
  private spendReserved(): void {
    for (const [index, { reservations }] of this.nodes.entries()) {
      while (reservations.length > 0) this.settle(index, 1)
    }
  }

  private async perform(action: PrepaidAction): Promise<void> {
    this.count(action.kind)
    switch (action.kind) {
      case 'reserve':
        return this.reserve(action.node, action.tokens)
      case 'settle':
        return this.settle(action.node, action.share)
      case 'kill':
        return this.kill(action.node, action.downMilliseconds)
      case 'lose-power':
        return this.losePower(action.downMilliseconds)
      case 'leave':
        return this.leave(action.node)
      case 'fault':
        return this.fault(action.node, action.fault)
      case 'heal':
        return this.heal()
      case 'turn':
        this.nodeAt(action.node).isActive = action.isActive
        return
      case 'peer-fault':
        this.nodeAt(action.node).peerFault = action.fault
        return
      case 'forget':
        return this.store.forgetHistory()
      case 'raise':
        return this.raise()
      case 'wait':
        return this.clock.advance(action.milliseconds)
    }
  }

  private reserve(index: number, tokens: TokenCount): Promise<void> {
    const node = this.nodeAt(index)
    void node.ledger.reserve(BUDGET, tokens, RESERVE_TIMEOUT_MILLISECONDS).then(outcome => {
      // The process died meanwhile, so no caller learns the outcome.
      if (node.isDead) return
      this.count(outcome.kind)
      if (outcome.kind !== 'reserved') return
      if (outcome.reservation.loans.length > 0) this.count('borrowed')
      this.spent += tokens
      node.reservations.push(outcome.reservation)
    })
    return this.clock.advance(1)
  }

  private settle(index: number, share: number): void {
    const node = this.nodeAt(index)
    const reservation = node.reservations.shift()
    if (reservation === undefined) return
    const actual = Math.ceil(reservation.tokens * share)
    node.ledger.settle(reservation, actual)
    this.spent -= reservation.tokens - actual
  }

  private async kill(index: number, downMilliseconds: Milliseconds): Promise<void> {
    this.stop(index)
    await this.clock.advance(downMilliseconds)
    this.nodes[index] = this.startNode(index)
  }

  /**
   * Kills all instances at the same time, cut off from the store or not. No instance is left that knows
   * what was spent.
   */
  private async losePower(downMilliseconds: Milliseconds): Promise<void> {
    for (let index = 0; index < NODES; index += 1) this.stop(index)
    await this.clock.advance(downMilliseconds)
    for (let index = 0; index < NODES; index += 1) this.nodes[index] = this.startNode(index)
  }

  private stop(index: number): void {
    const node = this.nodeAt(index)
    node.isDead = true
    node.ledger.stop()
    node.faults.isCut = true
  }

  private async leave(index: number): Promise<void> {
    const node = this.nodeAt(index)
    const left = node.ledger.leave()
    await this.clock.advance(4_000)
    if (await Promise.race([left, Promise.resolve(false)])) this.count('settled')
    node.isDead = true
    node.faults.isCut = true
    this.nodes[index] = this.startNode(index)
  }

  private fault(index: number, fault: PrepaidFault): void {
    const { faults } = this.nodeAt(index)
    faults.isCut = fault === 'cut'
    faults.isUnreachable = fault === 'unreachable'
    faults.isThrottled = fault === 'turned-away'
    faults.losesAnswers = fault === 'lost'
    faults.lateMilliseconds = fault === 'late' ? LATE_WRITE_MILLISECONDS : 0
  }

  private heal(): void {
    for (const node of this.nodes) {
      Object.assign(node.faults, NO_FAULTS)
      node.peerFault = 'none'
    }
  }

  private raise(): void {
    this.limit += LIMIT_RAISE
    this.version += 1
    for (const { ledger } of this.nodes) this.configure(ledger)
  }

  private startNode(index: number): WorldNode {
    this.starts += 1
    const clock = new ProcessClock(this.clock)
    const { store, faults } = this.store.connect()
    const channel = this.channelOf(index)
    const ledger = new PrepaidLedger({
      instance: `node-${index}`,
      incarnation: `start-${this.starts}`,
      store: this.variant.storeOf?.(store) ?? store,
      storeClock: this.variant.clockOf?.(new StoreClock(clock)) ?? new StoreClock(clock),
      clock,
      startedAt: 0,
      policy: new DemandHoldingPolicy(),
      isActive: () => started.isActive,
      otherInstances: () => OTHER_INSTANCES[index] ?? [],
      limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 },
      loanChannel: this.variant.channelOf?.(channel) ?? channel,
      onEvent: event => this.count(event),
      onMalformedRow: ({ key }) => {
        throw new Error(`malformed row ${key}`)
      },
    })
    const started: WorldNode = {
      ledger,
      faults,
      reservations: [],
      isDead: false,
      isActive: true,
      peerFault: 'none',
    }
    this.configure(ledger)
    ledger.start()
    this.scheduleRead(started, store)
    return started
  }

  /** Returns the loan calls of one instance to the others. Calls from or to a dead incarnation time out. */
  private channelOf(index: number): LoanChannel {
    const call = async <Answer>(
      lender: string,
      perform: (peer: WorldNode) => Answer | Promise<Answer>,
    ): Promise<Answer | undefined> => {
      const caller = this.nodeAt(index)
      const peer = this.nodeAt(INSTANCE_NAMES.indexOf(lender))
      await sleep(this.clock, PEER_ONE_WAY_MILLISECONDS)
      if (caller.peerFault === 'cut' || peer.peerFault === 'cut' || peer.isDead || caller.isDead) {
        await sleep(this.clock, PEER_TIMEOUT_MILLISECONDS)
        return undefined
      }
      const answer = await perform(peer)
      await sleep(this.clock, PEER_ONE_WAY_MILLISECONDS)
      return peer.peerFault === 'mute' || peer.isDead ? undefined : answer
    }
    return {
      requestLoan: (lender, request) => call(lender, peer => peer.ledger.lender.lend(request)),
      repay: async (lender, repayment) => {
        const taken = await call(lender, peer => {
          peer.ledger.lender.repay(repayment)
          return true
        })
        return taken === true
      },
    }
  }

  private scheduleRead(node: WorldNode, store: RowStore): void {
    this.clock.after(READ_INTERVAL_MILLISECONDS, () => {
      if (node.isDead) return
      void store.readPartition(PREPAID_TABLE, BUDGET).then(outcome => {
        if (outcome.kind === 'rows') node.ledger.observe(outcome.rows, true)
      })
      this.scheduleRead(node, store)
    })
  }

  private configure(ledger: PrepaidLedger): void {
    ledger.configure([{ budget: BUDGET, limit: this.limit }], this.version)
  }

  private checkSpend(): void {
    if (this.spent <= this.limit) return
    throw new GuaranteeViolation('prepaid', `${this.spent} of ${this.limit} tokens handed out`)
  }

  private nodeAt(index: number): WorldNode {
    const node = this.nodes[index]
    if (node === undefined) throw new Error(`no node ${index}`)
    return node
  }

  private count(name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1
  }
}

const NO_FAULTS: RowStoreFaults = {
  isCut: false,
  isUnreachable: false,
  isThrottled: false,
  losesAnswers: false,
  slowMilliseconds: 0,
  lateMilliseconds: 0,
}

const INSTANCE_NAMES = Array.from({ length: NODES }, (_, index) => `node-${index}`)
const OTHER_INSTANCES = INSTANCE_NAMES.map(own => INSTANCE_NAMES.filter(name => name !== own))

/** The result of exploring the ledger. */
export interface PrepaidExploration {
  readonly counts: Readonly<Record<string, number>>
  readonly failure: string | undefined
}

/** Runs random scripts. The same seed gives the same scripts. */
export async function explorePrepaid(options: {
  readonly runs: number
  readonly seed: number
  readonly variant: PrepaidVariant
}): Promise<PrepaidExploration> {
  const counts: Record<string, number> = {}
  const property = fc.asyncProperty(prepaidScriptArbitrary, async script => {
    const world = new PrepaidWorld(options.variant)
    await world.run(script)
    for (const [name, count] of Object.entries(world.counts)) {
      counts[name] = (counts[name] ?? 0) + count
    }
  })
  const { runs, seed } = options
  const details = await fc.check(property, { numRuns: runs, seed, endOnFailure: true })
  const error = details.errorInstance
  const message = error instanceof Error ? error.message : String(error)
  const failure = details.failed
    ? `${message} [path ${details.counterexamplePath}] ${JSON.stringify(details.counterexample?.[0])}`
    : undefined
  return { counts, failure }
}
