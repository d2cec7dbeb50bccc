import { describe, expect, it } from 'vitest'
import { budgetWaitLimit, extendedBudgetWaitLimit } from '@rackwalk/decisions'
import { VirtualClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { MemoryRowStore, loanChannelTo, startPrepaidMember } from '@rackwalk/stand-ins'
import type { PrepaidMember } from '@rackwalk/stand-ins'

const BUDGET = 'team'
const LIMIT = 10_000_000
const TOKENS = 18
const GOAL_MILLISECONDS = 500
const DEADLINE_MILLISECONDS = 4_000
const REQUESTS = 50
const PAUSE_MILLISECONDS = 20
/** All instances have their holdings by then. */
const SETTLED_MILLISECONDS = 1_000
const NAMES = ['instance-0', 'instance-1', 'instance-2']
const LOAN_TIMES = { oneWayMilliseconds: 4, timeoutMilliseconds: 45 }
const LIMITS = { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0.002 }
const PATIENCE = budgetWaitLimit(GOAL_MILLISECONDS)
const LAST_PATIENCE = extendedBudgetWaitLimit(GOAL_MILLISECONDS, DEADLINE_MILLISECONDS)

interface Scenario {
  /** Additional duration of each call to the store. */
  readonly slow: Milliseconds
  /** Whether instances know each other as instances that receive callers. */
  readonly isActive: boolean
  /** Whether loan requests reach no other instance. */
  readonly areLoanRequestsLost: boolean
}

interface Answer {
  readonly isServed: boolean
  readonly waited: Milliseconds
}

class Fleet {
  readonly clock = new VirtualClock()
  readonly answers: Answer[] = []
  readonly members: readonly PrepaidMember[]
  private readonly rows = new MemoryRowStore(this.clock)

  constructor(private readonly scenario: Scenario) {
    this.members = NAMES.map(name => this.start(name))
    for (const { faults } of this.members) faults.slowMilliseconds = scenario.slow
  }

  /** Sends the requests of the first second to the instances in turn. */
  async askInTurn(): Promise<readonly Answer[]> {
    for (let count = 0; count < REQUESTS; count += 1) {
      void this.ask(count % NAMES.length)
      await this.clock.advance(PAUSE_MILLISECONDS)
    }
    await this.clock.advance(DEADLINE_MILLISECONDS)
    return this.answers
  }

  async ask(index: number): Promise<void> {
    const ledger = this.members[index]?.ledger
    const askedAt = this.clock.monotonic()
    const outcome = await ledger?.reserve(BUDGET, TOKENS, PATIENCE, LAST_PATIENCE)
    const isServed = outcome?.kind === 'reserved'
    this.answers.push({ isServed, waited: this.clock.monotonic() - askedAt })
    if (!isServed) return
    this.clock.after(PAUSE_MILLISECONDS, () => ledger?.settle(outcome.reservation, TOKENS))
  }

  private start(instance: string): PrepaidMember {
    const { clock, rows, scenario } = this
    const find = (lender: string) =>
      scenario.areLoanRequestsLost ? undefined : this.members[NAMES.indexOf(lender)]?.ledger
    return startPrepaidMember({
      instance,
      incarnation: 'start-1',
      clock,
      rows,
      budget: BUDGET,
      limit: LIMIT,
      limits: LIMITS,
      isActive: scenario.isActive,
      others: () => (scenario.isActive ? NAMES.filter(other => other !== instance) : []),
      loanChannel: loanChannelTo(clock, LOAN_TIMES, find),
    })
  }
}

/**
 * An instance that has just started holds nothing; its first write conflicts with those of the
 * others and is repeated.
 */
const SCENARIOS: readonly Scenario[] = [20, 40, 60].flatMap(slow => [
  { slow, isActive: false, areLoanRequestsLost: false },
  { slow, isActive: true, areLoanRequestsLost: false },
  { slow, isActive: true, areLoanRequestsLost: true },
])

describe('an ample budget of which no instance holds tokens yet', () => {
  // Guards against refusing callers in the first second although no instance has taken the tokens.
  it.each(SCENARIOS)('serves all requests of the first second: %o', async scenario => {
    const answers = await new Fleet(scenario).askInTurn()
    expect(answers).toHaveLength(REQUESTS)
    expect(answers.filter(({ isServed }) => !isServed)).toEqual([])
    expect(Math.max(...answers.map(({ waited }) => waited))).toBeLessThan(GOAL_MILLISECONDS)
  })

  // Guards against making requests wait for another write although the row just written covers
  // them.
  it('serves requests that arrive during a write as soon as its row covers them', async () => {
    const fleet = new Fleet({ slow: 0, isActive: true, areLoanRequestsLost: false })
    await fleet.clock.advance(SETTLED_MILLISECONDS)
    for (const { faults } of fleet.members) faults.slowMilliseconds = 45
    void fleet.ask(0)
    await fleet.clock.advance(30)
    void fleet.ask(0)
    await fleet.clock.advance(DEADLINE_MILLISECONDS)
    expect(fleet.answers).toEqual([
      { isServed: true, waited: 50 },
      { isServed: true, waited: 20 },
    ])
  })

  // Guards against reporting an unresponsive store to callers only after their latency goal.
  it('refuses within the goal if the store does not answer', async () => {
    const fleet = new Fleet({ slow: 0, isActive: true, areLoanRequestsLost: true })
    for (const { faults } of fleet.members) faults.isCut = true
    const answers = await fleet.askInTurn()
    expect(answers).toHaveLength(REQUESTS)
    expect(Math.max(...answers.map(({ waited }) => waited))).toBeLessThan(GOAL_MILLISECONDS)
  })
})
