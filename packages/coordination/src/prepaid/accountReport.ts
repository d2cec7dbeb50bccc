/**
 * Reports on one budget of one instance for operators: the figures behind a refusal, and the
 * episodes in which callers were refused tokens that exist. Makes no decisions.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import { BudgetShortage } from './budgetShortage.js'
import type { HoldingState } from './holdingState.js'
import type { PartitionView } from './partitionView.js'
import { freeInPool } from './prepaidRows.js'

/** Dependencies of an `AccountReport`. */
export interface AccountReportParts {
  readonly budget: string
  readonly clock: Clock
  readonly holding: HoldingState
  readonly view: PartitionView
  readonly limit: () => TokenCount | undefined
  /** Tokens per second that callers of this instance request. */
  readonly demandPerSecond: () => number
  /** The other instances with which this one shares the budget. */
  readonly others: () => readonly string[]
  /** Age of the store call in progress; undefined if there is none. */
  readonly callAge: () => Milliseconds | undefined
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

/** Reports on one budget of one instance. */
export class AccountReport {
  private readonly shortage: BudgetShortage
  /** Monotonic time at which rows of the budget were last received. */
  private rowsSeenAt: Milliseconds | undefined

  constructor(private readonly parts: AccountReportParts) {
    this.shortage = new BudgetShortage(parts.clock)
  }

  /** Whether callers of this instance are being refused tokens that exist. */
  get isShort(): boolean {
    return this.shortage.isShort
  }

  /** Records that rows of the budget were received. */
  recordRowsSeen(): void {
    this.rowsSeenAt = this.parts.clock.monotonic()
  }

  /**
   * Records that a caller was refused tokens that other instances hold or that cannot be reached.
   */
  recordRefusal(): void {
    if (this.shortage.recordRefusal()) this.emitEvent('budget_short', this.describe())
  }

  /** Emits an event for an episode of refusals that has ended; to be called periodically. */
  reportEndedShortage(): void {
    const ended = this.shortage.takeEnded()
    if (ended !== undefined) this.emitEvent('budget_covered', { ...ended })
  }

  /** Returns the state of the budget as this instance knows it, for decision records and logs. */
  describe(): Readonly<Record<string, unknown>> {
    const { holding, view, limit, demandPerSecond, callAge } = this.parts
    const others = this.parts.others()
    return {
      limit: limit(),
      granted: holding.granted,
      committed: holding.committed,
      allowance: holding.allowance,
      recordAge: Math.round(holding.recordAge),
      free: view.pool === undefined ? undefined : freeInPool(view.pool),
      assumedSpent: view.pool?.assumedSpent ?? 0,
      provenSpent: view.provenSpent,
      reserved: holding.reserved,
      othersUnspent: view.unspentOf(others),
      demand: Math.round(demandPerSecond()),
      toldDemand: view.totalDemandPerSecond,
      sharers: others.length + 1,
      sightAge: this.rowsAge,
      callAge: callAge(),
    }
  }

  /** Emits an event with the name of this budget added to its fields. */
  emitEvent(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.parts.onEvent(event, { budget: this.parts.budget, ...fields })
  }

  /** Time since rows of the budget were last received; undefined before the first ones. */
  get rowsAge(): Milliseconds | undefined {
    if (this.rowsSeenAt === undefined) return undefined
    return Math.round(this.parts.clock.monotonic() - this.rowsSeenAt)
  }
}
