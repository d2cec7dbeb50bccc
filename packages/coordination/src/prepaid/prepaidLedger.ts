import type { Clock, Milliseconds, Timer, TokenCount } from '@rackwalk/shared'
import type { ChangedRow, RowStore } from '@rackwalk/platform'
import type { StoreClock } from '../rows/storeClock.js'
import type { HoldingPolicy } from './holdingPolicy.js'
import { PrepaidAccount } from './prepaidAccount.js'
import type { PrepaidOutcome, PrepaidReservation } from './prepaidAccount.js'

/** All prepaid budgets on one instance. */

export interface PrepaidLedgerParts {
  readonly instance: string
  readonly incarnation: string
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  readonly startedAt: Milliseconds
  readonly policy: HoldingPolicy
  readonly otherInstances: () => readonly string[]
  readonly limits: LedgerLimits
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

/** What the store bears; from it follows how often holdings are recorded. */
export interface LedgerLimits {
  readonly writesPerSecond: number
  readonly partitionWritesPerSecond: number
  /** Part of a prepaid limit that is never handed out: the margin for counting errors. */
  readonly reserveShare: number
}

/** A budget as the configuration gives it. */
export interface PrepaidLimit {
  readonly budget: string
  readonly limit: TokenCount
}

const MAINTAIN_MILLISECONDS = 125
const SHORTEST_RECORD_MILLISECONDS = 500
/** Part of the store's writes that periodic records may take. */
const RECORD_SHARE = 0.3

export class PrepaidLedger {
  private readonly accounts = new Map<string, PrepaidAccount>()
  private timer: Timer | undefined

  constructor(private readonly parts: PrepaidLedgerParts) {}

  /** Budgets in force; one that is no longer named is kept, since its rows still count. */
  configure(limits: readonly PrepaidLimit[], configurationVersion: number): void {
    for (const { budget, limit } of limits) {
      const usable = Math.floor(limit * (1 - this.parts.limits.reserveShare))
      this.accountOf(budget).setLimit(usable, configurationVersion)
    }
  }

  /** Names of all budgets known here, each a partition of the table. */
  get budgets(): readonly string[] {
    return [...this.accounts.keys()]
  }

  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    const byBudget = new Map<string, ChangedRow[]>()
    for (const row of rows) {
      const list = byBudget.get(row.partition) ?? []
      byBudget.set(row.partition, list)
      list.push(row)
    }
    for (const [budget, list] of byBudget) this.accounts.get(budget)?.observe(list, isWhole)
  }

  reserve(budget: string, tokens: TokenCount, patience: Milliseconds): Promise<PrepaidOutcome> {
    return this.accountOf(budget).reserve(tokens, patience)
  }

  settle(reservation: PrepaidReservation, spent: TokenCount): void {
    this.accounts.get(reservation.budget)?.settle(reservation, spent)
  }

  describe(budget: string): Readonly<Record<string, unknown>> {
    return this.accounts.get(budget)?.describe() ?? {}
  }

  start(): void {
    this.timer = this.parts.clock.after(MAINTAIN_MILLISECONDS, () => {
      for (const account of this.accounts.values()) account.maintain()
      this.start()
    })
  }

  stop(): void {
    this.timer?.cancel()
  }

  /** Settles and gives back everything; false where the store did not take all of it. */
  async leave(): Promise<boolean> {
    this.stop()
    const results = await Promise.all([...this.accounts.values()].map(account => account.leave()))
    return results.every(Boolean)
  }

  /** All instances and budgets together stay below their part of what the store takes. */
  private recordMilliseconds(): Milliseconds {
    const instances = this.parts.otherInstances().length + 1
    const { writesPerSecond, partitionWritesPerSecond } = this.parts.limits
    const all = (instances * this.accounts.size * 1000) / (RECORD_SHARE * writesPerSecond)
    const each = (instances * 1000) / (RECORD_SHARE * partitionWritesPerSecond)
    return Math.max(SHORTEST_RECORD_MILLISECONDS, all, each)
  }

  private accountOf(budget: string): PrepaidAccount {
    const known = this.accounts.get(budget)
    if (known !== undefined) return known
    const account = new PrepaidAccount({
      ...this.parts,
      budget,
      recordMilliseconds: () => this.recordMilliseconds(),
    })
    this.accounts.set(budget, account)
    return account
  }
}
