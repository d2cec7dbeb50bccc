/**
 * Commits a journal's batch to the table: the interface, and an implementation that writes each
 * batch directly.
 */

import type { TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService, TransactResult } from '@rackwalk/stores'

/**
 * Commits a journal's transaction to the table. Which instance sends the transaction matters only
 * for efficiency: the conditions of its writes make it safe on any instance.
 */
export interface BatchCommitter {
  commit(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult>
}

/** Writes each batch in its own transaction; suits small fleets. */
export class DirectCommitter implements BatchCommitter {
  constructor(private readonly table: TableService) {}

  commit(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.table.transact(id, writes)
  }
}
