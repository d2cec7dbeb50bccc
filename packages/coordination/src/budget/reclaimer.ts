/**
 * Returns the tokens that a sealed incarnation still held to their budgets. An incarnation is one
 * run of an instance's process; sealing ends its journal, so that it can write no more bills.
 * Without reclaiming, tokens held by a crashed instance would be lost to its budgets. Keeps no
 * state; may run on several instances at once.
 */

import { RackwalkError, asId } from '@rackwalk/shared'
import type { BudgetId, IncarnationId, RandomSource, TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import { decodeRowValue } from '../rowCodecs.js'
import { entriesAfter } from '../journal/journalEntry.js'
import type { JournalEntry, JournalSlot } from '../journal/journalEntry.js'
import { readJournal } from '../journal/journalReader.js'
import { budgetKey, holdingPartition, incarnationKey, retiredKey } from '../tableKeys.js'
import type { FoldedTransfer } from './budgetRow.js'
import { budgetRowCodec, reclaimHolding } from './budgetRow.js'

/**
 * `unsealed`: refused, since the incarnation could still write bills. `retry`: the table did not
 * answer; the same call may be repeated.
 */
export type ReclaimOutcome = 'reclaimed' | 'unsealed' | 'retry'

/**
 * Returns the tokens that a sealed incarnation still held to their budgets. The journal, which is
 * complete after sealing, shows what the incarnation spent and lent beyond what the rows already
 * include.
 */
export class Reclaimer {
  constructor(
    private readonly table: TableService,
    private readonly random: RandomSource,
    private readonly counters: Counters,
  ) {}

  /**
   * Reclaims all holdings of an incarnation. May be repeated, and may run on several instances at
   * once.
   */
  async reclaim(incarnation: IncarnationId): Promise<ReclaimOutcome> {
    try {
      const journal = await readJournal(this.table, incarnation)
      if (!journal.sealed) return 'unsealed'
      for (const budgetId of await this.heldBudgets(incarnation)) {
        await this.reclaimBudget(incarnation, budgetId, journal.slots)
      }
      await this.retire(incarnation)
      return 'reclaimed'
    } catch (thrown) {
      if (thrown instanceof RackwalkError) return 'retry'
      throw thrown
    }
  }

  private async heldBudgets(incarnation: IncarnationId): Promise<readonly BudgetId[]> {
    const markers = await this.table.query(holdingPartition(incarnation))
    return markers.map(marker => asId<BudgetId>(marker.key.sort))
  }

  private async reclaimBudget(
    incarnation: IncarnationId,
    budgetId: BudgetId,
    slots: readonly JournalSlot[],
  ): Promise<void> {
    for (;;) {
      const stored = await this.table.get(budgetKey(budgetId))
      if (stored === undefined) return
      const row = decodeRowValue(budgetRowCodec, stored)
      const holding = row.holders[incarnation]
      if (holding === undefined || holding.sealed) return
      const rest = entriesAfter(slots, holding.foldedIndex, budgetId)
      const reclaimed = reclaimHolding(row, incarnation, spentIn(rest), transfersIn(rest))
      const result = await this.table.transact(this.newId(), [
        {
          kind: 'put',
          key: budgetKey(budgetId),
          condition: { kind: 'version', version: stored.version },
          value: budgetRowCodec.toJson(reclaimed),
        },
      ])
      if (result.committed) return
    }
  }

  /**
   * Moves the incarnation's record to the retired ones, so that the list of incarnations is only as
   * long as the fleet.
   */
  private async retire(incarnation: IncarnationId): Promise<void> {
    const record = await this.table.get(incarnationKey(incarnation))
    if (record === undefined) return
    const writes: readonly RowWrite[] = [
      {
        kind: 'delete',
        key: incarnationKey(incarnation),
        condition: { kind: 'version', version: record.version },
      },
      {
        kind: 'put',
        key: retiredKey(incarnation),
        condition: { kind: 'absent' },
        value: record.value,
      },
    ]
    const result = await this.table.transact(this.newId(), writes)
    if (result.committed) this.counters.increment('incarnations_reclaimed')
  }

  private newId(): TransactionId {
    return asId<TransactionId>(this.random.uniqueId())
  }
}

function spentIn(entries: readonly JournalEntry[]): number {
  return entries.reduce((sum, entry) => sum + (entry.kind === 'settle' ? entry.billedTokens : 0), 0)
}

function transfersIn(entries: readonly JournalEntry[]): readonly FoldedTransfer[] {
  return entries.flatMap(entry =>
    entry.kind === 'lend' ? [{ borrower: entry.borrower, tokens: entry.tokens }] : [],
  )
}
