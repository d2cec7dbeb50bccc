/** Random histories of one prepaid budget on a few instances, checked against its limit. */

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
import { PromiseBroken } from './checkers.js'
import { NODES, prepaidScriptArbitrary } from './prepaidScript.js'
import type { PeerFault, PrepaidAction, PrepaidFault } from './prepaidScript.js'
import type { PrepaidVariant } from './prepaidVariants.js'

const BUDGET = 'team'
const FIRST_LIMIT: TokenCount = 6_000
const RAISE: TokenCount = 1_500
const PATIENCE_MILLISECONDS = 100
const FEED_MILLISECONDS = 400
const LATE_MILLISECONDS = 2_500
const PEER_MILLISECONDS = 2
const PEER_TIMEOUT_MILLISECONDS = 90
const EXHAUST_ROUNDS = 14
const EXHAUST_TOKENS: readonly TokenCount[] = [700, 250, 60]

/** The instance to which all callers come at the end, and what they ask for. */
const CROWDED = 0
const CROWD_REQUESTS = 20
const CROWD_TOKENS: TokenCount = 60
const CROWD_PAUSE_MILLISECONDS = 100
/** Holders keep tokens for their own callers, and deaths strand some: so many times what is asked for. */
const CROWD_SHARE = 2
/** Requests that may be refused while the others learn of the demand. */
const CROWD_REFUSALS = 3
/** Long enough for every write on its way, every repeat of a repayment and some records. */
const REST_MILLISECONDS = 6_000

interface WorldNode {
  readonly ledger: PrepaidLedger
  readonly faults: RowStoreFaults
  readonly reservations: PrepaidReservation[]
  isDead: boolean
  /** Whether callers are sent there; what others know of it comes later. */
  isActive: boolean
  peerFault: PeerFault
}

/** A monotonic clock of a process that began at some moment of the world's clock. */
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
  /** Tokens handed out or reserved, over all instances and their deaths. */
  private spent: TokenCount = 0

  constructor(private readonly variant: PrepaidVariant) {
    for (let index = 0; index < NODES; index += 1) this.nodes.push(this.startNode(index))
  }

  /** Throws where more than the limit was handed out. */
  async run(script: readonly PrepaidAction[]): Promise<void> {
    await this.clock.advance(1_000)
    for (const action of script) {
      await this.perform(action)
      this.check()
    }
    await this.askWhereNobodyAsked()
    await this.exhaust()
  }

  /**
   * All callers come to one instance that stands by, once everything is healed and has come to rest. What
   * the rows say is left is a lower bound of what exists, so each request must find its tokens there.
   */
  private async askWhereNobodyAsked(): Promise<void> {
    await this.perform({ kind: 'heal' })
    for (const [index, node] of this.nodes.entries()) node.isActive = index !== CROWDED
    await this.clock.advance(REST_MILLISECONDS)
    if (this.leftByRows() < CROWD_SHARE * CROWD_REQUESTS * CROWD_TOKENS) return
    this.count('crowded')
    const before = this.counts['refused'] ?? 0
    for (let request = 0; request < CROWD_REQUESTS; request += 1) {
      await this.reserve(CROWDED, CROWD_TOKENS)
      await this.clock.advance(CROWD_PAUSE_MILLISECONDS)
    }
    await this.clock.advance(PATIENCE_MILLISECONDS)
    const refused = (this.counts['refused'] ?? 0) - before
    if (refused > CROWD_REFUSALS) {
      throw new PromiseBroken('reach', `${refused} of ${CROWD_REQUESTS} requests refused`)
    }
  }

  /** Tokens that no row counts as handed out or reserved. */
  private leftByRows(): TokenCount {
    const outcome = this.store.read(PREPAID_TABLE, BUDGET)
    if (outcome.kind !== 'rows') return 0
    let left = this.limit
    for (const { key, value } of outcome.rows) {
      if (key === POOL_KEY) left -= poolRowCodec.decode(value)?.settled ?? 0
      else left -= holderRowCodec.decode(value)?.committed ?? 0
    }
    return left
  }

  /** Asks for all that is left, so that tokens counted twice are also spent twice. */
  private async exhaust(): Promise<void> {
    await this.perform({ kind: 'heal' })
    this.spendReserved()
    for (let round = 0; round < EXHAUST_ROUNDS; round += 1) {
      for (let index = 0; index < NODES; index += 1) {
        for (const tokens of EXHAUST_TOKENS) await this.reserve(index, tokens)
      }
      await this.clock.advance(FEED_MILLISECONDS)
      this.check()
    }
  }

  /** Everything reserved is handed out whole, so that none of it may be given out again. */
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
        return this.kill(action.node, action.darkMilliseconds)
      case 'lose-power':
        return this.losePower(action.darkMilliseconds)
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
    void node.ledger.reserve(BUDGET, tokens, PATIENCE_MILLISECONDS).then(outcome => {
      // An answer to a process that died meanwhile is heard by nobody.
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

  private async kill(index: number, darkMilliseconds: Milliseconds): Promise<void> {
    this.stop(index)
    await this.clock.advance(darkMilliseconds)
    this.nodes[index] = this.startNode(index)
  }

  /** All die at one moment, in a cut or not, and nobody is left who knows what was spent. */
  private async losePower(darkMilliseconds: Milliseconds): Promise<void> {
    for (let index = 0; index < NODES; index += 1) this.stop(index)
    await this.clock.advance(darkMilliseconds)
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
    faults.isTurnedAway = fault === 'turned-away'
    faults.losesAnswers = fault === 'lost'
    faults.lateMilliseconds = fault === 'late' ? LATE_MILLISECONDS : 0
  }

  private heal(): void {
    for (const node of this.nodes) {
      Object.assign(node.faults, NO_FAULTS)
      node.peerFault = 'none'
    }
  }

  private raise(): void {
    this.limit += RAISE
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
      otherInstances: () => OTHERS[index] ?? [],
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
    this.feed(started, store)
    return started
  }

  /** Calls of one instance to others; what a dead incarnation hears no longer matters. */
  private channelOf(index: number): LoanChannel {
    const call = async <Answer>(
      lender: string,
      perform: (peer: WorldNode) => Answer | Promise<Answer>,
    ): Promise<Answer | undefined> => {
      const caller = this.nodeAt(index)
      const peer = this.nodeAt(NAMES.indexOf(lender))
      await sleep(this.clock, PEER_MILLISECONDS)
      if (caller.peerFault === 'cut' || peer.peerFault === 'cut' || peer.isDead || caller.isDead) {
        await sleep(this.clock, PEER_TIMEOUT_MILLISECONDS)
        return undefined
      }
      const answer = await perform(peer)
      await sleep(this.clock, PEER_MILLISECONDS)
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

  private feed(node: WorldNode, store: RowStore): void {
    this.clock.after(FEED_MILLISECONDS, () => {
      if (node.isDead) return
      void store.readPartition(PREPAID_TABLE, BUDGET).then(outcome => {
        if (outcome.kind === 'rows') node.ledger.observe(outcome.rows, true)
      })
      this.feed(node, store)
    })
  }

  private configure(ledger: PrepaidLedger): void {
    ledger.configure([{ budget: BUDGET, limit: this.limit }], this.version)
  }

  private check(): void {
    if (this.spent <= this.limit) return
    throw new PromiseBroken('prepaid', `${this.spent} of ${this.limit} tokens handed out`)
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
  isTurnedAway: false,
  losesAnswers: false,
  slowMilliseconds: 0,
  lateMilliseconds: 0,
}

const NAMES = Array.from({ length: NODES }, (_, index) => `node-${index}`)
const OTHERS = NAMES.map(own => NAMES.filter(name => name !== own))

/** What came of exploring the ledger. */
export interface PrepaidExploration {
  readonly counts: Readonly<Record<string, number>>
  readonly failure: string | undefined
}

/** Runs random histories; the same seed gives the same ones. */
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
