/**
 * What operators are told of one budget on one instance: the figures behind a refusal, and
 * episodes in which callers were refused tokens that exist. Decides nothing.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import { BudgetShortage } from './budgetShortage.js'
import type { HoldingState } from './holdingState.js'
import type { PartitionView } from './partitionView.js'
import { freeInPool } from './prepaidRows.js'

/** What a report draws on. */
export interface AccountReportParts {
  readonly budget: string
  readonly clock: Clock
  readonly holding: HoldingState
  readonly view: PartitionView
  readonly limit: () => TokenCount | undefined
  /** Tokens a second that callers here ask for. */
  readonly demandPerSecond: () => number
  /** The other instances among which holdings are divided. */
  readonly others: () => readonly string[]
  /** Time for which a call to the store has been on its way; undefined where none is. */
  readonly callAge: () => Milliseconds | undefined
  readonly onEvent: (event: string, fields: Readonly<Record<string, unknown>>) => void
}

/** Tells of one budget on one instance. */
export class AccountReport {
  private readonly shortage: BudgetShortage
  /** Monotonic time at which rows of the budget were last told here. */
  private rowsSeenAt: Milliseconds | undefined

  constructor(private readonly parts: AccountReportParts) {
    this.shortage = new BudgetShortage(parts.clock)
  }

  /** Whether callers here are being refused tokens that exist. */
  get isShort(): boolean {
    return this.shortage.isShort
  }

  /** Rows of the budget were told here. */
  recordRowsSeen(): void {
    this.rowsSeenAt = this.parts.clock.monotonic()
  }

  /** A caller was refused tokens that other instances hold, or that are out of reach. */
  recordRefusal(): void {
    if (this.shortage.recordRefusal()) this.emitEvent('budget_short', this.describe())
  }

  /** Tells the end of an episode that is over; call it now and then. */
  reportEndedShortage(): void {
    const ended = this.shortage.takeEnded()
    if (ended !== undefined) this.emitEvent('budget_covered', { ...ended })
  }

  /** What is known here, for decision records and logs. */
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
      othersUnspent: view.unspentOf(others),
      demand: Math.round(demandPerSecond()),
      toldDemand: view.totalDemandPerSecond,
      sharers: others.length + 1,
      sightAge: this.rowsAge,
      callAge: callAge(),
    }
  }

  /** Tells an event of this budget. */
  emitEvent(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.parts.onEvent(event, { budget: this.parts.budget, ...fields })
  }

  /** Time since rows of the budget were last told here. */
  get rowsAge(): Milliseconds | undefined {
    if (this.rowsSeenAt === undefined) return undefined
    return Math.round(this.parts.clock.monotonic() - this.rowsSeenAt)
  }
}
