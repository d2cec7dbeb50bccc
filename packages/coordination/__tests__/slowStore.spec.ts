import { describe, expect, it } from 'vitest'
import { SeededRandom, VirtualClock, randomBelow } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { MemoryRowStore, loanChannelTo, startPrepaidMember } from '@rackwalk/stand-ins'
import type { PrepaidMember } from '@rackwalk/stand-ins'

/**
 * Guards against refusing callers while calls to the store take 250 to 1,000 ms, although for 95 of
 * 100 of these requests, the instance that receives them holds enough unspent tokens. Twelve
 * instances share a budget that lasts half a minute, so that each receives one large request every
 * two seconds; then the store becomes slow for four seconds.
 */

const BUDGET = 'team'
const LIMIT = 2_000_000
const INSTANCES = 12
const REQUEST_TOKENS = 8_000
const REQUEST_MILLISECONDS = 300
const PATIENCE_MILLISECONDS = 100
/** Six requests per second. */
const PAUSE_MILLISECONDS = 1_000 / 6
const SLOW_MILLISECONDS = 700
/** Durations of a loan request to another instance: one way, and the timeout. */
const LOAN_TIMES = { oneWayMilliseconds: 4, timeoutMilliseconds: 4 }
const LIMITS = { writesPerSecond: 3_200, partitionWritesPerSecond: 150, reserveShare: 0 }
const NAMES = Array.from({ length: INSTANCES }, (_, index) => `instance-${index}`)

class Fleet {
  readonly clock = new VirtualClock()
  private readonly random = new SeededRandom(1)
  private readonly rows = new MemoryRowStore(this.clock)
  private readonly members: readonly PrepaidMember[] = NAMES.map(name => this.start(name))

  /** Sends requests to random instances for the given time and returns the share that is served. */
  async ask(milliseconds: Milliseconds): Promise<number> {
    const asked = Math.floor(milliseconds / PAUSE_MILLISECONDS)
    let served = 0
    for (let request = 0; request < asked; request += 1) {
      void this.serve().then(isServed => (served += isServed ? 1 : 0))
      await this.clock.advance(PAUSE_MILLISECONDS)
    }
    await this.clock.advance(PATIENCE_MILLISECONDS)
    return served / asked
  }

  slow(slowMilliseconds: Milliseconds): void {
    for (const { faults } of this.members) faults.slowMilliseconds = slowMilliseconds
  }

  private async serve(): Promise<boolean> {
    const ledger = this.members[randomBelow(this.random, INSTANCES)]?.ledger
    const outcome = await ledger?.reserve(BUDGET, REQUEST_TOKENS, PATIENCE_MILLISECONDS)
    if (outcome?.kind !== 'reserved') return false
    this.clock.after(REQUEST_MILLISECONDS, () =>
      ledger?.settle(outcome.reservation, REQUEST_TOKENS),
    )
    return true
  }

  private start(instance: string): PrepaidMember {
    const { clock, rows } = this
    return startPrepaidMember({
      instance,
      incarnation: 'start-1',
      clock,
      rows,
      budget: BUDGET,
      limit: LIMIT,
      limits: LIMITS,
      isActive: true,
      others: () => NAMES.filter(other => other !== instance),
      loanChannel: loanChannelTo(clock, LOAN_TIMES, lender => this.find(lender)),
    })
  }

  private find(lender: string) {
    return this.members[NAMES.indexOf(lender)]?.ledger
  }
}

describe('a budget that many instances hold', () => {
  it('serves requests while the store answers', async () => {
    const fleet = new Fleet()
    await fleet.clock.advance(2_000)
    expect(await fleet.ask(6_000)).toBeGreaterThan(0.98)
  })

  it('serves requests while the store answers slowly', async () => {
    const fleet = new Fleet()
    await fleet.clock.advance(2_000)
    await fleet.ask(6_000)
    fleet.slow(SLOW_MILLISECONDS)
    expect(await fleet.ask(4_000)).toBeGreaterThan(0.9)
  })
})
